/** Traffic in which some prompts hold a part that crashes engines, and checks of what reached the servers and the callers. */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {NodeProcess} from '../soak/gateway_processes';
import {createDraw} from '../soak/schedule';
import type {LimitedFleet} from './limited_fleet';
import type {ServerStandin} from './server_standin';
import {type CallerAnswer, sendAsCaller} from './system';

/** A request of the traffic. */
export interface TaintedRequest {
  /** The part that crashes engines; undefined for a sound request. */
  readonly deadlyPart: string | undefined;
  readonly firstPart: string;
  readonly node: string;
  readonly sentAtMs: number;
  /** Undefined when the connection broke. */
  answer?: CallerAnswer;
}

/** What the checks need to know of a server. */
export type CrashingServer = Pick<ServerStandin, 'arrivals' | 'partCrashes'>;

/** Options of the traffic. */
export interface TaintedTrafficOptions {
  readonly durationMs: number;
  readonly soundRatePerS: number;
  /** Rate of requests with each deadly part. */
  readonly deadlyRatePerS: number;
  readonly deadlyParts: readonly string[];
  readonly path?: string;
  readonly seed?: number;
}

/** Parts that begin the prompts, and the second parts that follow each of them. */
const FIRST_PARTS = ['f0', 'f1', 'f2', 'f3'];
const SECOND_PARTS_PER_FIRST = 12;
/** The first part of all prompts with a deadly part. */
const SHARED_FIRST_PART = FIRST_PARTS[0];
const FIRST_TOKENS = 600;
const SECOND_TOKENS = 300;
const OWN_TOKENS = 200;
/** Time after which nodes must keep the rules, in milliseconds. */
export const STABILITY_WINDOW_MS = 3_000;
const COUNTED_CRASH = 5;
/** Number of requests with a deadly part that may come later than the rule's bound. */
export const MAX_LATE_REQUESTS = 3;

let requestCount = 0;

/** Sends sound requests and ones with deadly parts to all nodes alike, and resolves with what callers got. */
export async function sendTaintedTraffic(
  fleet: Pick<LimitedFleet, 'processes'>,
  options: TaintedTrafficOptions,
): Promise<TaintedRequest[]> {
  const {nodes} = fleet.processes;
  const draw = createDraw(options.seed ?? 1);
  const agent = new Agent({keepAlive: true});
  const requests: TaintedRequest[] = [];
  const endsAtMs = performance.now() + options.durationMs;
  await Promise.all([
    sendAtRate(options.soundRatePerS, () => undefined),
    ...options.deadlyParts.map(part =>
      sendAtRate(options.deadlyRatePerS, () => part),
    ),
  ]);
  agent.destroy();
  return requests;

  async function sendAtRate(
    ratePerS: number,
    choosePart: () => string | undefined,
  ): Promise<void> {
    const open: Array<Promise<void>> = [];
    while (ratePerS > 0) {
      await sleep((1_000 / ratePerS) * (0.5 + draw(1_000) / 1_000));
      if (performance.now() > endsAtMs) break;
      open.push(sendOne(nodes[draw(nodes.length)], choosePart()));
    }
    await Promise.all(open);
  }

  async function sendOne(
    node: NodeProcess,
    deadlyPart: string | undefined,
  ): Promise<void> {
    const firstPart =
      deadlyPart === undefined
        ? FIRST_PARTS[draw(FIRST_PARTS.length)]
        : SHARED_FIRST_PART;
    const secondPart =
      deadlyPart ?? `${firstPart}s${draw(SECOND_PARTS_PER_FIRST)}`;
    const id = `t${requestCount++}`;
    const request: TaintedRequest = {
      deadlyPart,
      firstPart,
      node: node.name,
      sentAtMs: performance.now(),
    };
    requests.push(request);
    request.answer = await sendAsCaller(node.callersPort, {
      path: options.path ?? '/ask/x',
      id,
      agent,
      abortAfterMs: 4_000,
      tokens: `${FIRST_TOKENS + SECOND_TOKENS + OWN_TOKENS},9`,
      parts: [
        `${firstPart}:${FIRST_TOKENS}`,
        `${secondPart}:${SECOND_TOKENS}`,
        `${id}:${OWN_TOKENS}`,
      ].join(),
    }).catch(() => undefined);
  }
}

/** Describes each deadly part with which too many requests reached servers later than the bound after its fifth crash. */
export function listDeadlyPartViolations(
  servers: Iterable<CrashingServer>,
  partIds: readonly string[],
): string[] {
  const all = [...servers];
  return partIds.flatMap(partId => {
    const crashTimes = listCrashTimes(all, partId);
    const boundMs = computeBoundMs(crashTimes);
    const lateIds = all
      .flatMap(server => server.arrivals)
      .filter(({parts, atMs}) => parts.includes(partId) && atMs > boundMs)
      .map(({id}) => id);
    const lateCount = new Set(lateIds).size;
    return lateCount > MAX_LATE_REQUESTS
      ? [
          `${lateCount} requests with ${partId} reached servers late, after ${crashTimes.length} crashes`,
        ]
      : [];
  });
}

/** Returns the time after which few requests with a deadly part may reach servers, from the times of its crashes, in milliseconds. */
export function computeBoundMs(crashTimes: readonly number[]): number {
  const countedMs = crashTimes[COUNTED_CRASH - 1] ?? Number.POSITIVE_INFINITY;
  return countedMs + STABILITY_WINDOW_MS;
}

/** Lists when servers crashed because of a part, earliest first, on the monotonic clock, in milliseconds. */
export function listCrashTimes(
  servers: Iterable<CrashingServer>,
  partId: string,
): number[] {
  return [...servers]
    .flatMap(server => server.partCrashes)
    .filter(crash => crash.partId === partId)
    .map(crash => crash.atMs)
    .sort((left, right) => left - right);
}

/** Returns the fraction of requests that were served completely; 1 when there are none. */
export function computeServedFraction(
  requests: readonly TaintedRequest[],
): number {
  if (requests.length === 0) return 1;
  const served = requests.filter(
    ({answer}) => answer?.status === 200 && answer.isComplete,
  );
  return served.length / requests.length;
}

/** Lists the sound requests that share the first part with the deadly ones. */
export function listSoundSharing(
  requests: readonly TaintedRequest[],
): TaintedRequest[] {
  return requests.filter(
    ({deadlyPart, firstPart}) =>
      deadlyPart === undefined && firstPart === SHARED_FIRST_PART,
  );
}
