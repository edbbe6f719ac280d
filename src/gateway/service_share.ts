/**
 * The place of a request to a plain service among the client accounts. Nothing waits for servers
 * at a node, so requests beyond their account's share are refused as soon as all slots seem to be
 * in use, while the others are still sent: a slot may get free, and servers may queue.
 */
import {computeSpreadRetryMs, type KnownShare} from '../shares';
import {Verdict} from '../verdict';
import type {FlowContext} from './flow_context';
import {formatShare, SHARE_REASON} from './prompt_share';
import type {RequestTask} from './request_task';
import {MIN_RETRY_AFTER_MS} from './stream_admission';
import type {BackendEntry} from './types';

/** The share of one request. */
export interface ServiceShare {
  /** Records that the request arrived, the first time; returns true, and ends it, when it must leave the servers to other accounts. */
  tryRefuse(servers: readonly BackendEntry[]): boolean;
  /** Records that a server has run the request. */
  recordRun(): void;
  /** Records that the servers are full. */
  recordShortage(): void;
}

/** What the room at the servers depends on. */
export interface ServiceRoom {
  /** Returns the estimated requests of all nodes, with one more, as a fraction of the server's slots. */
  readonly computeLoad: (server: BackendEntry) => number;
  readonly isLimited: (server: BackendEntry) => boolean;
}

/** Load of the least loaded server, with the request, up to which requests beyond a share are sent. In the model, 0.9 serves 0.05 less of all requests at a load of 1.3; 1.1 takes 0.04 from accounts within their shares. */
const MAX_LOAD = 1;
/** Time over which the retries of refused callers are spread, in milliseconds: over a third of the callers' time, fewer of their attempts find a free slot. */
export const RETRY_SPREAD_MS = 500;

/** Returns whether one of the servers has room for requests beyond their account's share; one that states a limit has no slots to leave free. */
export function hasRoomOverShare(
  servers: readonly BackendEntry[],
  {computeLoad, isLimited}: ServiceRoom,
): boolean {
  return servers.some(
    server => !isLimited(server) && computeLoad(server) <= MAX_LOAD,
  );
}

/** Creates the share of a request. */
export function createServiceShare(
  context: Pick<
    FlowContext,
    'shares' | 'serviceTimes' | 'metrics' | 'getRandom'
  >,
  task: RequestTask,
  room: ServiceRoom,
): ServiceShare {
  const {metrics, serviceTimes} = context;
  const shares = context.shares.getService(task.service);
  let workMs: number | undefined;
  return {
    tryRefuse,
    recordRun: () => {
      if (task.hasAccounts()) shares.recordStart(workMs ?? 0);
      // A second try that also runs is not another request that was served.
      workMs = 0;
    },
    recordShortage: () => {
      if (task.hasAccounts()) shares.recordShortage();
    },
  };

  function tryRefuse(servers: readonly BackendEntry[]): boolean {
    if (workMs !== undefined || !task.hasAccounts()) return false;
    workMs = serviceTimes.getAnswerMs(task.service, task.route.name);
    const account = task.account?.name ?? '';
    const work = {account, rank: task.rank, workMs};
    shares.recordArrival(work);
    const exceeded = shares.tryGetExceeded(work);
    if (exceeded === undefined) return false;
    metrics.recordOverShare('exceeded', exceeded.source);
    if (servers.length === 0 || hasRoomOverShare(servers, room)) return false;
    refuse(exceeded);
    return true;
  }

  function refuse(exceeded: KnownShare): void {
    // Otherwise the shares would end, and the servers be full again, every few seconds.
    shares.recordShortage();
    const retryAfterMs = computeSpreadRetryMs({
      predictedMs: RETRY_SPREAD_MS,
      remainingMs: task.getRemainingMs(),
      minMs: MIN_RETRY_AFTER_MS,
      random: context.getRandom(),
    });
    metrics.recordOverShare('refused', exceeded.source, exceeded.account);
    task.log(`refused: ${SHARE_REASON}`, {
      service: task.service,
      retryAfterMs,
      ...formatShare(exceeded),
    });
    task.fail(Verdict.NotRun, SHARE_REASON, retryAfterMs);
  }
}
