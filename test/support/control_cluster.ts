/**
 * Test cluster of processes that compete for one shard's lease over a shared log, each with its own
 * clock.
 */
import type {EngineRole} from '../../src/backends';
import {
  type CommandSender,
  type ControlEntry,
  type ControlPolicy,
  type ControlLoop,
  type ControlState,
  controlStream,
  createCommandSender,
  createControlLoop,
  createLeaseManager,
  type LeaseManager,
} from '../../src/authority';
import type {WeightStore} from '../../src/control_services';
import {
  type Clock,
  createVirtualClock,
  type VirtualClock,
} from '../../src/runtime';
import {
  createStreamFollower,
  createStreamWriter,
  type StreamFollower,
} from '../../src/state';
import {
  createLocalLog,
  createLogModel,
  type LogModel,
} from '../../src/standins';
import {
  createFakeClient,
  createFakeEngine,
  type FakeEngine,
} from './fake_engine';
import {type AppendFault, createFaultyLog} from './faulty_log';
import {createProcessClock, type ProcessClock} from './process_clock';

export const SHARD = 'domain-1';

export interface ControlProcess {
  readonly name: string;
  readonly clock: ProcessClock;
  readonly lease: LeaseManager;
  readonly sender: CommandSender;
  readonly loop: ControlLoop;
  readonly follower: StreamFollower<ControlState, ControlEntry>;
  readonly faults: Array<AppendFault | undefined>;
  /** The role that this process orders for all engines; undefined for no orders. */
  wantedRole: EngineRole | undefined;
  /** False while the process is partitioned from the log and the engines. */
  isReachable: boolean;
  /** While true, commands wait between the check of the authority and the write to the engine. */
  isHeldBeforeWrite: boolean;
  /**
   * Suspends or resumes the process: while paused none of its callbacks run, but its clock goes on.
   */
  setPaused(isPaused: boolean): void;
  /** Stops the process without releasing its lease. */
  kill(): void;
  getAppendCount(): number;
}

export interface ControlCluster {
  readonly clock: VirtualClock;
  readonly model: LogModel;
  readonly engines: FakeEngine[];
  readonly processes: ControlProcess[];
  startProcess(options: {
    name: string;
    rank: number;
    rate?: number;
  }): ControlProcess;
  /** Advances virtual time in small steps and calls `check` after each. */
  advance(durationMs: number, check?: () => void): Promise<void>;
  listHolders(): string[];
  stop(): Promise<void>;
}

const STEP_MS = 50;
const HELD_POLL_MS = 10;

export function createControlCluster(options: {
  readonly checksFencing?: boolean;
  readonly engines?: number;
  readonly guardMs?: number;
  readonly weightStore?: (clock: Clock) => WeightStore;
}): ControlCluster {
  const clock = createVirtualClock({wallStartMs: 1_700_000_000_000});
  const model = createLogModel({clock});
  const checksFencing = options.checksFencing ?? true;
  const engines = Array.from({length: options.engines ?? 0}, (_, index) =>
    createFakeEngine({id: `engine-${index}`, clock, checksFencing}),
  );
  const processes: ControlProcess[] = [];
  const weightStore = options.weightStore?.(clock);
  return {
    clock,
    model,
    engines,
    processes,
    startProcess,
    advance,
    listHolders: () =>
      processes
        .filter(process => process.lease.tryGetAuthority() !== undefined)
        .map(process => process.name),
    stop,
  };

  function startProcess(processOptions: {
    name: string;
    rank: number;
    rate?: number;
  }): ControlProcess {
    const processClock = createProcessClock({
      base: clock,
      rate: processOptions.rate,
    });
    const faults: Array<AppendFault | undefined> = [];
    const local = createLocalLog({
      model,
      clock: processClock,
      isReachable: () => process.isReachable,
      timeoutMs: 500,
    });
    const log = createFaultyLog(local, processClock, () => faults.shift());
    const follower = createStreamFollower({
      definition: controlStream,
      log,
      clock: processClock,
      waitMs: 500,
    });
    const writer = createStreamWriter({
      follower,
      log,
      clock: processClock,
      writer: processOptions.name,
    });
    const lease = createLeaseManager({
      shard: SHARD,
      clock: processClock,
      follower,
      writer,
      getRank: () => processOptions.rank,
      onChange: authority => {
        if (authority === undefined) sender.close();
      },
    });
    const sender = createCommandSender({
      clock: processClock,
      lease,
      follower,
      writer,
      checksFencing: () => checksFencing,
      guardMs: options.guardMs,
      weightStore,
      tryCreateClient: id => {
        const engine = engines.find(item => item.id === id);
        return (
          engine &&
          createFakeClient({
            engine,
            clock: processClock,
            isReachable: () => process.isReachable,
            waitBeforeWrite,
          })
        );
      },
    });
    const policy: ControlPolicy = {
      decide: (_state, reports) => {
        const role = process.wantedRole;
        if (role === undefined) return [];
        return reports
          .filter(report => report.role !== role && report.state === 'ready')
          .map(report => ({
            engine: report.engine,
            order: {kind: 'set-role', role},
            cause: 'test',
          }));
      },
    };
    const loop = createControlLoop({
      clock: processClock,
      lease,
      sender,
      follower,
      writer,
      policy,
      retentionMs: 24 * 3_600_000,
      listReports: () =>
        engines
          .filter(engine => process.isReachable && !engine.isCrashed())
          .map(engine => engine.getReport()),
    });
    const process: ControlProcess = {
      name: processOptions.name,
      clock: processClock,
      lease,
      sender,
      loop,
      follower,
      faults,
      wantedRole: undefined,
      isReachable: true,
      isHeldBeforeWrite: false,
      setPaused: processClock.setPaused,
      kill: () => {
        loop.stop();
        writer.stop();
        follower.stop();
        processClock.setPaused(true);
      },
      getAppendCount: writer.getAppendCount,
    };
    processes.push(process);
    follower.start();
    loop.start();
    return process;

    async function waitBeforeWrite(): Promise<void> {
      while (process.isHeldBeforeWrite) await processClock.sleep(HELD_POLL_MS);
    }
  }

  async function advance(
    durationMs: number,
    check?: () => void,
  ): Promise<void> {
    for (let doneMs = 0; doneMs < durationMs; doneMs += STEP_MS) {
      await clock.advance(STEP_MS);
      check?.();
    }
  }

  async function stop(): Promise<void> {
    for (const process of processes) process.kill();
    await clock.advance(5_000);
  }
}
