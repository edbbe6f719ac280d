/** Nodes that claim and run bookings on virtual time, with faults that a test can inject. */
import {Err, type Result} from 'ts-results';
import {
  type LogService,
  type PlatformFailure,
  PlatformFailureKind,
} from '../../src/control_services';
import {createVirtualClock, type VirtualClock} from '../../src/runtime';
import {
  createLocalLog,
  createLogModel,
  type LogModel,
} from '../../src/standins';
import {createStreamFollower, createStreamWriter} from '../../src/state';
import {
  type ClaimResult,
  type ClaimsLedger,
  type ClaimsState,
  createClaimsLedger,
  createClaimsStream,
} from '../../src/claims';
import {createProcessControl, type ProcessControl} from './process_control';

/** The answer that a caller received. */
export interface BookingAnswer {
  readonly request: string;
  readonly key: string;
  readonly atMs: number;
  readonly kind: ClaimResult['kind'] | 'ran' | 'refused';
  /** With `ran` and `answered`: identifies the run. */
  readonly body?: string;
}

/** A booking as a caller sends it. */
export interface Booking {
  readonly key: string;
  readonly content?: string;
  readonly timeoutMs?: number;
  readonly windowMs?: number;
  /** The backend server refuses the booking without running it. */
  readonly isRefused?: boolean;
}

/** One execution of a booking at the backend server. */
export interface BackendRun {
  readonly request: string;
  readonly key: string;
  readonly atMs: number;
}

/** A fault to inject; `cut` separates a node from the log. */
export type Fault =
  | {readonly kind: 'pause'; readonly node: number; readonly forMs: number}
  | {readonly kind: 'kill'; readonly node: number}
  | {readonly kind: 'cut'; readonly node: number; readonly forMs: number}
  | {readonly kind: 'log-outage'; readonly forMs: number}
  | {
      readonly kind: 'log-delay';
      readonly delayMs: number;
      readonly forMs: number;
    }
  | {readonly kind: 'lost-replies'; readonly count: number};

/** A node of the cluster. */
export interface ClaimsNode {
  readonly control: ProcessControl;
  readonly ledger: ClaimsLedger;
  getState(): ClaimsState;
  book(booking: Booking): Promise<BookingAnswer>;
}

/** A running cluster. */
export interface ClaimsCluster {
  readonly clock: VirtualClock;
  readonly log: LogModel;
  readonly answers: readonly BookingAnswer[];
  readonly runs: readonly BackendRun[];
  getNode(index: number): ClaimsNode;
  applyFault(fault: Fault): void;
  /** While set, appends time out without reaching the log; reads still work. */
  setAppendsLost(isLost: boolean): void;
  /** Starts another node and returns its index. */
  addNode(): number;
  stop(): void;
}

/** Options of the cluster. */
export interface ClaimsClusterOptions {
  readonly nodes?: number;
  readonly logRetentionMs?: number;
  /** Minimum time between two appends of a node, in milliseconds. */
  readonly appendIntervalMs?: number;
  /** Time that the backend server takes for a booking, in milliseconds. */
  readonly serviceMs?: number;
  /** Returns the error of a node's wall clock, in milliseconds. */
  readonly wallSkewMs?: (node: number) => number;
}

const WALL_START_MS = Date.UTC(2026, 0, 1);
const ONE_WAY_MS = 1;
const DEFAULT_WINDOW_MS = 3_600_000;
const DEFAULT_TIMEOUT_MS = 2_000;
const LOST_APPEND_TIMEOUT_MS = 500;

export function startClaimsCluster(
  options: ClaimsClusterOptions = {},
): ClaimsCluster {
  const clock = createVirtualClock({wallStartMs: WALL_START_MS});
  const log = createLogModel({clock, retentionMs: options.logRetentionMs});
  const nodes: Array<ClaimsNode & {stop(): void}> = [];
  const partitionedUntilMs: number[] = [];
  const answers: BookingAnswer[] = [];
  const runs: BackendRun[] = [];
  let nextRequest = 1;
  let outageUntilMs = 0;
  let areAppendsLost = false;
  for (let index = 0; index < (options.nodes ?? 3); index++) addNode();
  return {
    clock,
    log,
    answers,
    runs,
    getNode: index => nodes[index],
    applyFault,
    setAppendsLost: value => {
      areAppendsLost = value;
    },
    addNode,
    stop: () => nodes.forEach(node => node.stop()),
  };

  function addNode(): number {
    const index = nodes.length;
    partitionedUntilMs.push(0);
    const control = createProcessControl(clock);
    const node = `node-${index}.1`;
    const nodeLog = createPausableLog(control, index);
    const skewMs = options.wallSkewMs?.(index) ?? 0;
    const nodeClock = {
      ...control.clock,
      getWallMs: () => clock.getWallMs() + skewMs,
    };
    let isLogOut = false;
    const follower = createStreamFollower({
      definition: createClaimsStream({stream: 'claims-0'}),
      log: nodeLog,
      clock: nodeClock,
      onHealthChange: isHealthy => {
        isLogOut = !isHealthy;
      },
    });
    const writer = createStreamWriter({
      follower,
      log: nodeLog,
      clock: nodeClock,
      writer: node,
      getAppendIntervalMs: () => options.appendIntervalMs ?? 0,
    });
    let attempts = 0;
    const ledger = createClaimsLedger({
      node,
      clock: nodeClock,
      follower,
      writer,
      logRetentionMs: options.logRetentionMs,
      isLogUnavailable: () => isLogOut,
      createAttemptId: () => `${node}.${++attempts}`,
    });
    follower.start();
    nodes.push({
      control,
      ledger,
      getState: follower.getState,
      book: booking => runBooking(control, ledger, booking),
      stop: () => {
        follower.stop();
        writer.stop();
      },
    });
    return index;
  }

  /**
   * Returns the log as the process sees it: calls that are on the network complete even while
   * the process is paused or killed.
   */
  function createPausableLog(
    control: ProcessControl,
    index: number,
  ): LogService {
    const network = createLocalLog({
      model: log,
      clock,
      oneWayMs: ONE_WAY_MS,
      isReachable: () => clock.getMonotonicMs() >= partitionedUntilMs[index],
    });
    return {
      append: async (stream, body) => {
        await control.waitUntilRunning();
        if (areAppendsLost) await clock.sleep(LOST_APPEND_TIMEOUT_MS);
        const answer = areAppendsLost
          ? createTimeoutFailure()
          : await network.append(stream, body);
        await control.waitUntilRunning();
        return answer;
      },
      read: async (stream, fromOffset, readOptions) => {
        await control.waitUntilRunning();
        const answer = await network.read(stream, fromOffset, readOptions);
        await control.waitUntilRunning();
        return answer;
      },
    };
  }

  async function runBooking(
    control: ProcessControl,
    ledger: ClaimsLedger,
    booking: Booking,
  ): Promise<BookingAnswer> {
    const request = `request-${nextRequest++}`;
    const {key} = booking;
    await control.waitUntilRunning();
    const result = await ledger.claim({
      clientAccount: 'studio',
      idempotencyKey: key,
      requestHash: booking.content ?? key,
      windowMs: booking.windowMs ?? DEFAULT_WINDOW_MS,
      timeoutMs: booking.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    });
    if (result.kind === 'answered') {
      return addAnswer(request, key, 'answered', result.outcome.body);
    }
    if (result.kind !== 'granted') return addAnswer(request, key, result.kind);
    await control.waitUntilRunning();
    await clock.sleep(ONE_WAY_MS);
    if (booking.isRefused === true) {
      await control.waitUntilRunning();
      ledger.release(result.ticket);
      return addAnswer(request, key, 'refused');
    }
    runs.push({request, key, atMs: clock.getMonotonicMs()});
    const body = `run ${request}`;
    await clock.sleep((options.serviceMs ?? 20) + ONE_WAY_MS);
    await control.waitUntilRunning();
    ledger.settle(result.ticket, {
      verdict: 'ran',
      status: 200,
      contentType: 'text/plain',
      body,
    });
    return addAnswer(request, key, 'ran', body);
  }

  function addAnswer(
    request: string,
    key: string,
    kind: BookingAnswer['kind'],
    body?: string,
  ): BookingAnswer {
    const answer = {request, key, kind, body, atMs: clock.getMonotonicMs()};
    answers.push(answer);
    return answer;
  }

  function applyFault(fault: Fault): void {
    const nowMs = clock.getMonotonicMs();
    switch (fault.kind) {
      case 'pause':
        nodes[fault.node].control.setPause(fault.forMs);
        return;
      case 'kill':
        nodes[fault.node].control.kill();
        return;
      case 'cut':
        partitionedUntilMs[fault.node] = nowMs + fault.forMs;
        return;
      case 'log-outage':
        outageUntilMs = Math.max(outageUntilMs, nowMs + fault.forMs);
        log.setDown(true);
        clock.schedule(fault.forMs, stopOutage);
        return;
      case 'log-delay':
        log.setDelay(fault.delayMs);
        clock.schedule(fault.forMs, () => log.setDelay(0));
        return;
      case 'lost-replies':
        log.loseReplies(fault.count);
    }
  }

  function stopOutage(): void {
    if (clock.getMonotonicMs() >= outageUntilMs) log.setDown(false);
  }
}

function createTimeoutFailure(): Result<number, PlatformFailure> {
  return Err({
    kind: PlatformFailureKind.Timeout,
    mayHaveTakenEffect: true,
    message: 'no answer in time',
  });
}
