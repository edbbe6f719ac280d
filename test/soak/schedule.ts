/** Random schedule of the faults of a run, determined by its seed. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {FALSE_ANSWERS, type FalseAnswer} from '../platform/false_answers';
import type {ServerFault} from '../platform/server_standin';
import type {StoreFault} from '../platform/store_standin';
import type {ProxyMode} from './tcp_proxy';

/** A fault and what it affects; `node` and `server` are indexes. */
export type Fault =
  | {readonly kind: 'kill' | 'term' | 'pause'; readonly node: number}
  | {readonly kind: 'kill-all'}
  | {readonly kind: 'store'; readonly fault: StoreFault}
  | {readonly kind: 'compact'}
  /** The store is away and then continues from a copy of this age, in milliseconds. */
  | {readonly kind: 'store-copy'; readonly ageMs: number}
  | {readonly kind: 'proxy'; readonly mode: ProxyMode}
  | {
      readonly kind: 'server';
      readonly server: number;
      readonly fault: ServerFault;
    }
  | {readonly kind: 'drain'; readonly server: number}
  | {readonly kind: 'config'}
  | HostileFault;

/**
 * A fault that is played in hostile runs only. `term-kill` and `term-pause` kill or
 * pause a process amid a planned stop, `pause-crash` lets a server crash while a node
 * is paused, `restart` ends a server's process again and again, whose answers may have
 * no length, and `link` sets the mode of the proxy before a server, whose connections
 * may be reset at the end.
 */
export type HostileFault =
  | {readonly kind: 'term-kill' | 'term-pause' | 'hup'; readonly node: number}
  | {
      readonly kind: 'pause-crash';
      readonly node: number;
      readonly server: number;
    }
  | {
      readonly kind: 'restart';
      readonly server: number;
      readonly isUnframed: boolean;
      /** Time away, in milliseconds; 0 when the port accepts connections all the while. */
      readonly downMs: number;
    }
  | {
      readonly kind: 'link';
      readonly server: number;
      readonly mode: ProxyMode;
      readonly isReset: boolean;
    };

/** A fault with its duration and its start, counted from the start of the run. */
export interface TimedFault {
  readonly atMs: number;
  readonly durationMs: number;
  readonly fault: Fault;
}

/** A server that states limits on its requests, the second one from the middle of the time on. */
export interface TimedLimit {
  readonly server: number;
  readonly atMs: number;
  readonly durationMs: number;
  readonly limitsPerS: readonly [number, number];
}

/** A time in which some prompts hold a part that crashes engines. */
export interface TimedDeadlyPart {
  readonly atMs: number;
  readonly durationMs: number;
  /** Time that a crashed engine is away, in milliseconds. */
  readonly downMs: number;
}

/** Draws a random integer from 0 to `below - 1`; the same seed gives the same sequence. */
export type Draw = (below: number) => number;

const STORE_FAULTS: StoreFault[] = [
  'refusing',
  'silent',
  'lost-answers',
  'expired',
];
const PROXY_MODES: ProxyMode[] = ['reset', 'silent', 'one-way', 'slow'];
const SERVER_FAULTS: ServerFault[] = [
  'error',
  'full',
  'reset',
  'reset-midway',
  'mute',
  'other-id',
  'no-seal',
  'no-kv',
];
/** Faults of answers, drawn apart from the others, so that a seed keeps those. */
const ANSWER_FAULTS: ServerFault[] = [
  'refuse-again',
  'refuse-late',
  'unframed',
  'unframed-cut',
  'endless',
];
const INVALID_STATUSES = FALSE_ANSWERS.filter(kind => kind !== 'early');
/** Answers with an invalid status that a run shows, by plain and stream services in turn. */
const STATUS_FAULTS = 8;
/** With this offset, the runs of CI show each false answer by plain and by stream services. */
const FALSE_SEED_OFFSET = 8_000_000;
const HOSTILE_FALSE_OFFSET = 500;
const FALSE_SEED_STRIDE = 1_000;
const LINK_MODES: ProxyMode[] = [
  'reset',
  'hold',
  'hold-requests',
  'hold-answers',
  'split',
  'jitter',
  'reset-some',
];
const HOSTILE_SERVER_FAULTS: ServerFault[] = [
  'answer-twice',
  'answer-late',
  'refuse-again',
  'refuse-late',
  'exit',
  'unframed',
  'unframed-cut',
  'unframed-exit',
  'unframed-crash',
  'unframed-restart',
];
/** Bounds on the mean time between the starts of hostile faults, in milliseconds. */
const MIN_HOSTILE_INTERVAL_MS = 400;
const MAX_HOSTILE_INTERVAL_MS = 2_400;
/** Longest time that a server is away in a series of restarts, in milliseconds. */
const MAX_RESTART_MS = 600;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 2_500;
/** Longest time that the store is away before it returns from a copy, and the ages of copies, in milliseconds. */
const MAX_STORE_AWAY_MS = 1_000;
const MIN_COPY_AGE_MS = 500;
const MAX_COPY_AGE_MS = 10_000;
const MIN_LIMIT_MS = 2_000;
/** Upper bound on the limits of servers, in requests per second: lower than their load without one. */
const MAX_LIMIT_PER_S = 12;

/** Creates a seeded source of random integers. */
export function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed);
  return below => uniformInt(generator, 0, below - 1);
}

/** Draws the faults of a run, ordered by their start; they may overlap. */
export function buildSchedule(options: {
  readonly draw: Draw;
  readonly runDurationMs: number;
  readonly nodes: number;
  readonly servers: number;
}): TimedFault[] {
  const {draw, runDurationMs} = options;
  const count = 4 + draw(9);
  return Array.from({length: count}, () => ({
    atMs: draw(runDurationMs),
    durationMs: MIN_FAULT_MS + draw(MAX_FAULT_MS - MIN_FAULT_MS),
    fault: createFault(options),
  })).sort((left, right) => left.atMs - right.atMs);
}

/** Draws faults of answers and further planned stops, which overlap with the other faults. */
export function buildAnswerFaults(options: {
  readonly draw: Draw;
  readonly runDurationMs: number;
  readonly nodes: number;
  readonly servers: number;
}): TimedFault[] {
  const {draw, runDurationMs, nodes, servers} = options;
  return Array.from({length: 1 + draw(5)}, (): TimedFault => ({
    atMs: draw(runDurationMs),
    durationMs: MIN_FAULT_MS + draw(MAX_FAULT_MS - MIN_FAULT_MS),
    fault:
      draw(4) === 0
        ? {kind: 'term', node: draw(nodes)}
        : {
            kind: 'server',
            server: draw(servers),
            fault: ANSWER_FAULTS[draw(ANSWER_FAULTS.length)],
          },
  }));
}

/** Creates the source of a run's false answers. */
export function createFalseDraw(seed: number, isHostile: boolean): Draw {
  const offset = FALSE_SEED_OFFSET + (isHostile ? HOSTILE_FALSE_OFFSET : 0);
  return createDraw(seed * FALSE_SEED_STRIDE + offset);
}

/** Draws early answers of a plain and of a stream service, and answers with an invalid status; drawn apart from the others, so that a seed keeps those. The servers of plain services come first. */
export function buildFalseAnswers(options: {
  readonly draw: Draw;
  readonly runDurationMs: number;
  readonly servers: number;
  readonly plainServers: number;
}): TimedFault[] {
  const {draw, runDurationMs, servers, plainServers} = options;
  const statuses = Array.from({length: STATUS_FAULTS}, (_, index) =>
    createFalse(INVALID_STATUSES[draw(INVALID_STATUSES.length)], index % 2),
  );
  return [createFalse('early', 0), createFalse('early', 1), ...statuses];

  function createFalse(fault: FalseAnswer, serviceIndex: number): TimedFault {
    const server =
      serviceIndex === 0
        ? draw(plainServers)
        : plainServers + draw(servers - plainServers);
    return {
      atMs: draw(runDurationMs),
      durationMs: MIN_FAULT_MS + draw(MAX_FAULT_MS - MIN_FAULT_MS),
      fault: {kind: 'server', server, fault},
    };
  }
}

/** Draws the faults of links, signals and restarts of a hostile run, which overlap with the other faults. */
export function buildHostileFaults(options: {
  readonly draw: Draw;
  readonly runDurationMs: number;
  readonly nodes: number;
  readonly servers: number;
}): TimedFault[] {
  const {draw, runDurationMs} = options;
  const intervalMs =
    MIN_HOSTILE_INTERVAL_MS +
    draw(MAX_HOSTILE_INTERVAL_MS - MIN_HOSTILE_INTERVAL_MS);
  const count = Math.ceil(runDurationMs / intervalMs);
  return Array.from({length: count}, () => ({
    atMs: draw(runDurationMs),
    durationMs: MIN_FAULT_MS + draw(MAX_FAULT_MS - MIN_FAULT_MS),
    fault: createHostileFault(options),
  })).sort((left, right) => left.atMs - right.atMs);
}

/** Draws returns of the store from an older copy for every third run; drawn apart from the others, so that a seed keeps those. */
export function buildStoreReturns(options: {
  readonly draw: Draw;
  readonly runDurationMs: number;
}): TimedFault[] {
  const {draw, runDurationMs} = options;
  const count = draw(3) === 0 ? 1 + draw(2) : 0;
  return Array.from({length: count}, () => ({
    atMs: draw(runDurationMs),
    durationMs: MIN_FAULT_MS + draw(MAX_STORE_AWAY_MS),
    fault: {
      kind: 'store-copy' as const,
      ageMs: MIN_COPY_AGE_MS + draw(MAX_COPY_AGE_MS - MIN_COPY_AGE_MS),
    },
  }));
}

/** Draws a limit for some of the servers; they hold beside the faults of the schedule. */
export function buildLimits(options: {
  readonly draw: Draw;
  readonly runDurationMs: number;
  readonly servers: number;
}): TimedLimit[] {
  const {draw, runDurationMs} = options;
  return Array.from({length: options.servers}, (_, server) => ({
    server,
    atMs: draw(runDurationMs / 2),
    durationMs: MIN_LIMIT_MS + draw(runDurationMs - MIN_LIMIT_MS),
    limitsPerS: [draw(MAX_LIMIT_PER_S), draw(MAX_LIMIT_PER_S)] as const,
  })).filter(() => draw(3) === 0);
}

/** Draws the time of a deadly part, from early in the run on; undefined for every third run. */
export function buildDeadlyPart(options: {
  readonly draw: Draw;
  readonly runDurationMs: number;
}): TimedDeadlyPart | undefined {
  const {draw, runDurationMs} = options;
  const timed = {
    atMs: draw(runDurationMs / 4),
    durationMs: draw(runDurationMs),
    downMs: MIN_FAULT_MS + draw(MAX_FAULT_MS - MIN_FAULT_MS),
  };
  return draw(3) === 0 ? undefined : timed;
}

function createFault(options: {
  readonly draw: Draw;
  readonly nodes: number;
  readonly servers: number;
}): Fault {
  const {draw} = options;
  const node = draw(options.nodes);
  const server = draw(options.servers);
  switch (draw(10)) {
    case 0:
      return {kind: 'kill', node};
    case 1:
      return {kind: 'term', node};
    case 2:
      return {kind: 'pause', node};
    case 3:
      return draw(2) === 0 ? {kind: 'kill-all'} : {kind: 'compact'};
    case 4:
      return {kind: 'store', fault: STORE_FAULTS[draw(STORE_FAULTS.length)]};
    case 5:
      return {kind: 'proxy', mode: PROXY_MODES[draw(PROXY_MODES.length)]};
    case 6:
      return {kind: 'drain', server};
    case 7:
      return {kind: 'config'};
    default:
      return {
        kind: 'server',
        server,
        fault: SERVER_FAULTS[draw(SERVER_FAULTS.length)],
      };
  }
}

function createHostileFault(options: {
  readonly draw: Draw;
  readonly nodes: number;
  readonly servers: number;
}): Fault {
  const {draw} = options;
  const node = draw(options.nodes);
  const server = draw(options.servers);
  const kind = draw(16);
  switch (kind) {
    case 0:
      return {kind: 'term-kill', node};
    case 1:
      return {kind: 'term-pause', node};
    case 2:
      return {kind: 'hup', node};
    case 3:
    case 4:
      return {kind: 'pause-crash', node, server};
    case 5:
    case 6:
      return {
        kind: 'restart',
        server,
        isUnframed: draw(2) === 0,
        downMs: draw(2) * (1 + draw(MAX_RESTART_MS)),
      };
    case 7:
    case 8:
    case 9:
      return {
        kind: 'server',
        server,
        fault: HOSTILE_SERVER_FAULTS[draw(HOSTILE_SERVER_FAULTS.length)],
      };
    default:
      return {
        kind: 'link',
        server,
        mode: LINK_MODES[draw(LINK_MODES.length)],
        isReset: draw(2) === 0,
      };
  }
}
