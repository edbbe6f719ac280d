/** What callers got, compared with what servers ran. */
import type {ServerStandin} from '../platform/server_standin';
import type {CallerAnswer} from '../platform/system';

/** A request of the soak. */
export interface SoakRequest {
  readonly id: string;
  readonly kind: 'look' | 'order' | 'ask' | 'resume';
  readonly answer?: CallerAnswer;
}

/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);
const WHOLE_STREAM = ['id: 1', 'id: 2', 'id: 3'];

/** Lists the promises that were broken. */
export function listBrokenPromises(
  requests: readonly SoakRequest[],
  servers: readonly ServerStandin[],
): string[] {
  const runs = new Map<string, number>();
  const known = new Set(requests.map(request => request.id));
  const broken: string[] = [];
  for (const server of servers) {
    for (const run of server.runs) {
      runs.set(run.id, (runs.get(run.id) ?? 0) + 1);
      if (!known.has(run.id)) broken.push(`${run.id} ran, nobody sent it`);
    }
    broken.push(...listOrderFaults(server));
  }
  for (const request of requests) {
    broken.push(...listRequestFaults(request, runs.get(request.id) ?? 0));
  }
  return broken;
}

function listRequestFaults(request: SoakRequest, runCount: number): string[] {
  const {id, kind, answer} = request;
  const mayRepeat = kind === 'look' || kind === 'resume';
  const faults: string[] = [];
  if (!mayRepeat && runCount > 1) faults.push(`${id} ran ${runCount} times`);
  if (mayRepeat && runCount > 2)
    faults.push(`${id} ran on ${runCount} servers`);
  if (answer === undefined) return faults;
  if (!mayRepeat && PROMISES.has(answer.status) && runCount > 0) {
    faults.push(`${id} was refused with ${answer.status} and ran`);
  }
  if (answer.status === 200 && answer.isWhole) {
    faults.push(...listAnswerFaults(request, answer));
  }
  return faults;
}

function listAnswerFaults(
  request: SoakRequest,
  answer: CallerAnswer,
): string[] {
  const {id, kind} = request;
  const seal = String(answer.headers['anvilstack-response-seal'] ?? '');
  if (!seal.startsWith('seal-of-')) return [`${id} has no seal`];
  if (answer.headers['anvilstack-request-id'] !== id) {
    return [`${id} got the answer of another request`];
  }
  if (kind === 'ask' || kind === 'resume') {
    const ids = answer.body.match(/^id: \d+/gm) ?? [];
    return ids.join() === WHOLE_STREAM.join()
      ? []
      : [`${id} got the events ${ids.join()}`];
  }
  const server = seal.slice('seal-of-'.length);
  return answer.body.startsWith(`${server} did `) &&
    answer.body.endsWith(`/${kind}/${id}`)
    ? []
    : [`${id} got the body ${answer.body}`];
}

/** Fencing numbers rise at each engine, and each belongs to one holder. */
function listOrderFaults(server: ServerStandin): string[] {
  const faults: string[] = [];
  const holders = new Map<number, string>();
  let highest = 0;
  for (const order of server.orders) {
    const fence = Number(order['fence']);
    const holder = String(order['holder']);
    if (fence < highest) faults.push(`${server.id}: fence fell to ${fence}`);
    if ((holders.get(fence) ?? holder) !== holder) {
      faults.push(`${server.id}: two holders with fence ${fence}`);
    }
    highest = Math.max(highest, fence);
    holders.set(fence, holder);
  }
  return faults;
}
