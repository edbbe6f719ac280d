/** Periodic task that controls the engines of a shard while this process holds its lease. */
import type {EngineReport} from '../backends';
import type {Clock, Timer} from '../runtime';
import type {StreamFollower, StreamWriter} from '../state';
import type {
  Authority,
  CommandSender,
  ControlEntry,
  ControlPolicy,
  ControlState,
  LeaseManager,
} from './types';

/** Options of `createControlLoop`. */
export interface ControlLoopOptions {
  readonly clock: Clock;
  readonly lease: LeaseManager;
  readonly sender: CommandSender;
  readonly follower: StreamFollower<ControlState, ControlEntry>;
  readonly writer: StreamWriter<ControlEntry>;
  readonly policy: ControlPolicy;
  /** Returns the latest reports of the shard's engines. */
  readonly listReports: () => readonly EngineReport[];
  /** How long the log keeps a record, in milliseconds. */
  readonly retentionMs: number;
  /** Time between two decisions, in milliseconds. */
  readonly tickMs?: number;
}

/** Control loop of one shard. */
export interface ControlLoop {
  start(): void;
  /** Stops at once without releasing the lease, as in a crash. */
  stop(): void;
  /** Waits up to 10 s for commands in progress, then releases the lease and stops. */
  drain(): Promise<void>;
}

const DEFAULT_TICK_MS = 1_000;
/** Age at which progress is written to the log again, as a fraction of the log's retention. */
const REWRITE_AGE_FRACTION = 0.25;
/** Largest number of entries that one tick writes again. */
const MAX_REWRITES_PER_TICK = 32;
const WRITE_TIMEOUT_MS = 10_000;
const DRAIN_TIMEOUT_MS = 10_000;
const DRAIN_POLL_MS = 50;

/** Creates the task; it does nothing before `start`. */
export function createControlLoop(options: ControlLoopOptions): ControlLoop {
  const {clock, lease, sender, follower, writer, policy} = options;
  const tickMs = options.tickMs ?? DEFAULT_TICK_MS;
  const rewriteAgeMs = options.retentionMs * REWRITE_AGE_FRACTION;
  let timer: Timer | undefined;
  let isDraining = false;
  return {start, stop, drain};

  function start(): void {
    lease.start();
    timer = clock.schedule(tickMs, runTick);
  }

  function stop(): void {
    timer?.cancel();
    lease.stop();
    sender.close();
  }

  async function drain(): Promise<void> {
    isDraining = true;
    const untilMs = clock.getMonotonicMs() + DRAIN_TIMEOUT_MS;
    while (sender.countBusy() > 0 && clock.getMonotonicMs() < untilMs) {
      await clock.sleep(DRAIN_POLL_MS);
    }
    // While a command is in progress the lease is not released, so that a successor has to wait
    // until it has lapsed.
    if (sender.countBusy() === 0) await lease.release();
    stop();
  }

  function runTick(): void {
    timer = clock.schedule(tickMs, runTick);
    const authority = lease.tryGetAuthority();
    if (authority === undefined || isDraining) return;
    void sender.settleIntents();
    const state = follower.getState();
    writeExpiringProgress(state, authority);
    const reports = options.listReports();
    for (const item of policy.decide(state, reports, clock.getWallMs())) {
      if (sender.isBusy(item.engine)) continue;
      void sender.submit(item.engine, item.order);
    }
    sender.retryLastOrders(reports);
  }

  /** Writes old progress entries again before the log drops them. */
  function writeExpiringProgress(
    state: ControlState,
    authority: Authority,
  ): void {
    const {shard, term} = authority;
    const rewriteBeforeMs = state.nowMs - rewriteAgeMs;
    const expiring = [...state.moves.values()]
      .filter(move => move.shard === shard && move.loggedAtMs < rewriteBeforeMs)
      .slice(0, MAX_REWRITES_PER_TICK);
    for (const move of expiring) {
      void writer.write(
        {
          kind: 'move-progress',
          shard,
          term,
          holder: writer.writer,
          progress: {
            clientAccount: move.clientAccount,
            templateVersion: move.templateVersion,
            stage: move.stage,
            enteredAtMs: move.enteredAtMs,
            isComplete: move.isComplete,
            cause: move.cause,
          },
        },
        WRITE_TIMEOUT_MS,
      );
    }
  }
}
