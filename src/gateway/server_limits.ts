/**
 * Keeps the requests of all nodes to a server within the limit that the server
 * states in its answers. The nodes tell each other the limits that they see and
 * how many requests they have sent lately, so that a node may use what the others
 * leave.
 */
import type {Logger} from '../diagnostics/log';
import type {Clock, Timer} from '../runtime/types';
import {createFleetRate, type FleetRate} from './fleet_rate';
import type {GatewayMetrics} from './gateway_metrics';
import type {LimitMessage} from './peer_messages';
import {formatProcessKey} from './process_key';
import type {BackendEntry} from './types';

/** Limits that servers state on the rate of requests from all nodes together. */
export interface ServerLimits {
  /** True when the server states no limit or the fleet's rate leaves room for a request. */
  canSend(server: BackendEntry): boolean;
  isLimited(server: BackendEntry): boolean;
  /** Returns the limit that the server states, in requests per second; undefined when there is none. */
  tryGetLimitPerS(server: BackendEntry): number | undefined;
  /** Returns the time until the fleet's rate leaves room for a request if no node sends one meanwhile, in milliseconds; 0 when there is room. */
  getWaitMs(server: BackendEntry): number;
  /** Counts a request that will be sent later; the returned function releases the place if it is not sent. */
  claim(server: BackendEntry): () => void;
  /** Records a request to a server; the returned function records the limit in its answer, in requests per second, or undefined when there is none. */
  recordSend(server: BackendEntry): (limitPerS: number | undefined) => void;
  /** Handles what another node has seen and sent. */
  handle(message: LimitMessage): void;
  /** Lists what this node knows, for a node that has just started. */
  listMessages(): LimitMessage[];
  /** Forgets the limits of all servers but these. */
  retainOnly(serverIds: ReadonlySet<string>): void;
  /** Number of servers that state a limit. */
  count(): number;
  /** Creates a view whose use has no effect: reading the limits themselves measures which nodes are in touch. */
  createView(): LimitsView;
}

/** The limits as a decision sees them. */
export type LimitsView = Pick<
  ServerLimits,
  'canSend' | 'isLimited' | 'tryGetLimitPerS' | 'getWaitMs' | 'count'
>;

/** Options of the limits. */
export interface ServerLimitsOptions {
  readonly nodeName: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, 'recordLimitedSend'>;
  /** Fraction of all nodes that this node is in touch with, itself included. */
  readonly getReach: () => number;
  /** Returns what `getReach` would return, without an effect; `getReach` itself when absent. */
  readonly predictReach?: () => number;
  readonly notify: (message: LimitMessage) => void;
}

interface LimitState {
  readonly serverId: string;
  /** Start time of the server's process, in milliseconds since the Unix epoch. */
  readonly startedAtMs: number;
  limitPerS: number | undefined;
  /** When this was last stated, on the monotonic clock, in milliseconds. */
  statedAtMs: number;
  /** True when this node has seen this in an answer itself. */
  isSeen: boolean;
  readonly rate: FleetRate;
  /** Requests that are counted as sent, but not sent yet. */
  reservedCount: number;
  /** Runs for a while after each report, so that the requests sent meanwhile are reported together. */
  reportTimer: Timer | undefined;
  hasUnreported: boolean;
}

/** What this node may use up of a limit. */
interface Allowance {
  /** Mean number of requests in one time constant. */
  readonly count: number;
  readonly timeConstantMs: number;
}

const MS_PER_S = 1_000;
/** Requests per second that are sent in spite of a lower limit, because only an answer shows that the limit has ended. */
const MIN_LIMIT_PER_S = 0.25;
/** Shortest time constant of the counts, in milliseconds: a server that was idle takes at most one second's worth of requests at once. */
const MIN_TIME_CONSTANT_MS = 1_000;
/** A request may exceed the mean by this much, in requests, so that the mean is reached. */
const COUNT_MARGIN = 0.5;
/** A node that reaches at most this fraction of the nodes uses no more than that fraction of the limit, because the others may use all of it. */
const MAJORITY = 0.5;
/** Minimum interval between reports of this node's requests to one server, in milliseconds. */
const MIN_REPORT_INTERVAL_MS = 20;

/** Creates a list without any limits. */
export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const {clock, logger, metrics, notify} = options;
  const states = new Map<string, LimitState>();
  return {
    ...createReads(options.getReach),
    createView: () => createReads(options.predictReach ?? options.getReach),
    claim,
    recordSend,
    handle,
    listMessages: () => listLimited().map(createMessage),
    retainOnly: serverIds => {
      for (const [key, {serverId}] of states) {
        if (!serverIds.has(serverId)) states.delete(key);
      }
    },
  };

  function createReads(getReach: () => number): LimitsView {
    const read = (server: BackendEntry) => getWaitMs(server, getReach);
    return {
      canSend: server => read(server) === 0,
      isLimited: server => tryFindLimited(server) !== undefined,
      tryGetLimitPerS: server => tryFindLimited(server)?.limitPerS,
      getWaitMs: read,
      count: () => listLimited().length,
    };
  }

  function listLimited(): LimitState[] {
    return [...states.values()].filter(state => state.limitPerS !== undefined);
  }

  function tryFindLimited(server: BackendEntry): LimitState | undefined {
    const state = states.get(formatProcessKey(server.id, server.startedAtMs));
    return state?.limitPerS === undefined ? undefined : state;
  }

  function computeAllowance(
    {limitPerS = 0}: Pick<LimitState, 'limitPerS'>,
    share = getShare(options.getReach),
  ): Allowance {
    const perS = Math.max(MIN_LIMIT_PER_S, limitPerS) * share;
    const timeConstantMs = Math.max(MIN_TIME_CONSTANT_MS, MS_PER_S / perS);
    return {count: (perS * timeConstantMs) / MS_PER_S, timeConstantMs};
  }

  /** Returns the fraction of a limit that this node may use up. */
  function getShare(getReach: () => number): number {
    const reach = getReach();
    return reach > MAJORITY ? 1 : reach;
  }

  function getWaitMs(server: BackendEntry, getReach: () => number): number {
    const state = tryFindLimited(server);
    if (state === undefined) return 0;
    const {count, timeConstantMs} = computeAllowance(state, getShare(getReach));
    const total = state.rate.getTotalCount(
      clock.getMonotonicMs(),
      timeConstantMs,
    );
    const ratio = total / (count - COUNT_MARGIN);
    return ratio <= 1 ? 0 : timeConstantMs * Math.log(ratio);
  }

  function claim(server: BackendEntry): () => void {
    const state = tryFindLimited(server);
    if (state === undefined) return () => undefined;
    state.reservedCount++;
    countSend(state);
    return () => {
      state.reservedCount = Math.max(0, state.reservedCount - 1);
    };
  }

  function recordSend(
    server: BackendEntry,
  ): (limitPerS: number | undefined) => void {
    const sentAtMs = clock.getMonotonicMs();
    const state = tryFindLimited(server);
    if (state !== undefined) {
      metrics.recordLimitedSend(server.id);
      if (state.reservedCount > 0) state.reservedCount--;
      else countSend(state);
    }
    return limitPerS => recordLimit(server, limitPerS, sentAtMs);
  }

  function countSend(state: LimitState): void {
    const {timeConstantMs} = computeAllowance(state);
    state.rate.recordSend(clock.getMonotonicMs(), timeConstantMs);
    report(state);
  }

  function report(state: LimitState): void {
    state.hasUnreported = state.reportTimer !== undefined;
    if (state.hasUnreported) return;
    notify(createMessage(state));
    state.reportTimer = clock.schedule(MIN_REPORT_INTERVAL_MS, () => {
      state.reportTimer = undefined;
      if (state.hasUnreported) report(state);
    });
  }

  function recordLimit(
    server: BackendEntry,
    limitPerS: number | undefined,
    sentAtMs: number,
  ): void {
    // Without a limit, the answer may have been written at any time since its request was sent.
    const statedAtMs =
      limitPerS === undefined ? sentAtMs : clock.getMonotonicMs();
    const {id, startedAtMs} = server;
    const known = states.get(formatProcessKey(id, startedAtMs));
    if (known === undefined && limitPerS === undefined) return;
    const state = known ?? createState(id, startedAtMs);
    const change = applyLimit(state, {limitPerS, statedAtMs}, true);
    if (change === undefined) return;
    logger.log('info', 'backend server states another limit', {
      serverId: id,
      limitPerS: limitPerS ?? null,
      previousPerS: change.previousPerS ?? null,
    });
    notify(createMessage(state));
  }

  /** Applies a limit unless a newer one is known; returns the previous one if it has changed. */
  function applyLimit(
    state: LimitState,
    {limitPerS, statedAtMs}: Pick<LimitState, 'limitPerS' | 'statedAtMs'>,
    isSeen: boolean,
  ): {previousPerS: number | undefined} | undefined {
    if (state.statedAtMs >= statedAtMs) return undefined;
    const previousPerS = state.limitPerS;
    Object.assign(state, {limitPerS, statedAtMs, isSeen});
    if (limitPerS === undefined) state.reservedCount = 0;
    if (previousPerS === limitPerS) return undefined;
    if (previousPerS !== undefined && limitPerS !== undefined) {
      // The share may still be small because probing has just begun.
      const {count, timeConstantMs} = computeAllowance(state, 1);
      const previous = computeAllowance({limitPerS: previousPerS}, 1);
      state.rate.withhold(count - previous.count, statedAtMs, timeConstantMs);
    }
    return {previousPerS};
  }

  function createState(serverId: string, startedAtMs: number): LimitState {
    const state: LimitState = {
      serverId,
      startedAtMs,
      limitPerS: undefined,
      statedAtMs: Number.NEGATIVE_INFINITY,
      isSeen: false,
      rate: createFleetRate(),
      reservedCount: 0,
      reportTimer: undefined,
      hasUnreported: false,
    };
    states.set(formatProcessKey(serverId, startedAtMs), state);
    return state;
  }

  function handle(message: LimitMessage): void {
    const {serverId, startedAtMs, stated, from} = message;
    const nowMs = clock.getMonotonicMs();
    const state =
      states.get(formatProcessKey(serverId, startedAtMs)) ??
      createState(serverId, startedAtMs);
    state.rate.recordReport(from, message.recentCount, nowMs);
    if (stated === undefined) return;
    const {limitPerS, ageMs} = stated;
    const statedAtMs = nowMs - ageMs;
    const change = applyLimit(state, {limitPerS, statedAtMs}, false);
    if (change === undefined) return;
    logger.log('info', 'another node reports the limit of a backend server', {
      serverId,
      limitPerS: limitPerS ?? null,
      previousPerS: change.previousPerS ?? null,
      from,
      ageMs,
    });
  }

  function createMessage(state: LimitState): LimitMessage {
    const {serverId, startedAtMs, limitPerS, statedAtMs} = state;
    const nowMs = clock.getMonotonicMs();
    const {timeConstantMs} = computeAllowance(state);
    const stated = {
      ...(limitPerS === undefined ? {} : {limitPerS}),
      ageMs: Math.round(nowMs - statedAtMs),
    };
    return {
      kind: 'limit',
      from: options.nodeName,
      serverId,
      startedAtMs,
      ...(state.isSeen ? {stated} : {}),
      recentCount: state.rate.getOwnCount(nowMs, timeConstantMs),
    };
  }
}
