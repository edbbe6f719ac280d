/** The task that runs a shard's control while its lease is held. */
import type {EngineReport} from '../backends';
import type {Clock, Timer} from '../runtime';
import type {StreamFollower, StreamWriter} from '../state';
import type {
  Authority,
  CommandSender,
  ControlEntry,
  ControlHost,
  ControlState,
  LeaseHolder,
} from './types';

/** Options of the task. */
export interface ControlLoopOptions {
  readonly clock: Clock;
  readonly lease: LeaseHolder;
  readonly sender: CommandSender;
  readonly follower: StreamFollower<ControlState, ControlEntry>;
  readonly writer: StreamWriter<ControlEntry>;
  readonly host: ControlHost;
  /** Lists the last reports of the shard's engines. */
  readonly listReports: () => readonly EngineReport[];
  /** How long the log keeps a record, in milliseconds. */
  readonly retentionMs: number;
  /** Time between two decisions, in milliseconds. */
  readonly tickMs?: number;
}

/** The task. */
export interface ControlLoop {
  start(): void;
  /** Ends at once, as a crash would. */
  stop(): void;
  /** Waits for commands in progress, then hands the lease over. */
  drain(): Promise<void>;
}

const DEFAULT_TICK_MS = 1_000;
/** Part of the retention after which progress is logged anew. */
const LOG_AGAIN_PART = 0.25;
/** Most entries logged anew in one tick. */
const MAX_LOGGED_AGAIN = 32;
const WRITE_TIMEOUT_MS = 10_000;
const DRAIN_TIMEOUT_MS = 10_000;
const DRAIN_POLL_MS = 50;

/** Creates the task; it does nothing before `start`. */
export function createControlLoop(options: ControlLoopOptions): ControlLoop {
  const {clock, lease, sender, follower, writer, host} = options;
  const tickMs = options.tickMs ?? DEFAULT_TICK_MS;
  const logAgainMs = options.retentionMs * LOG_AGAIN_PART;
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
    // With a command in progress the successor has to wait out the lease.
    if (sender.countBusy() === 0) await lease.release();
    stop();
  }

  function runTick(): void {
    timer = clock.schedule(tickMs, runTick);
    const authority = lease.tryGetAuthority();
    if (authority === undefined || isDraining) return;
    void sender.settleIntents();
    const state = follower.getState();
    writeOldProgress(state, authority);
    const reports = options.listReports();
    for (const item of host.decide(state, reports, clock.getWallMs())) {
      if (sender.isBusy(item.engine)) continue;
      void sender.submit(item.engine, item.order);
    }
    sender.sendAgain(reports);
  }

  /** Writes progress anew that would expire. */
  function writeOldProgress(state: ControlState, authority: Authority): void {
    const {shard, term} = authority;
    const horizonMs = state.nowMs - logAgainMs;
    const old = [...state.moves.values()]
      .filter(move => move.shard === shard && move.loggedAtMs < horizonMs)
      .slice(0, MAX_LOGGED_AGAIN);
    for (const move of old) {
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
