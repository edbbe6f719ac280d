/**
 * Simulation of account moves on virtual time: control processes, two buildings, and steady
 * requests.
 */
import {
  type ControlEntry,
  type ControlState,
  controlStream,
  createLeaseManager,
  FLEET_SHARD,
} from '../../src/authority';
import type {BackendServer} from '../../src/backends';
import {
  createMoveIndex,
  createMoveRunner,
  createMoveTraffic,
  type EngineInventory,
  listMoveLoadOrders,
  mergeWindows,
  type MoveTraffic,
} from '../../src/planning/move';
import {isSelected} from '../../src/routing';
import {createVirtualClock, type VirtualClock} from '../../src/runtime';
import {
  type ConfigEntry,
  type ConfigState,
  configStream,
  createStreamFollower,
  createStreamWriter,
  type StreamFollower,
  type StreamWriter,
  type Template,
} from '../../src/state';
import {
  createLocalLog,
  createLogModel,
  type LogModel,
} from '../../src/standins';
import {createTestReport} from './report';

/** Wall-clock time at the start of the simulation, in milliseconds since the Unix epoch. */
export const SIMULATION_START_MS = Date.parse('2026-12-04T18:00:00Z');

const REQUEST_EVERY_MS = 1_000;
const RETENTION_MS = 24 * 3_600_000;

/** One control process of the simulation. */
export interface SimulatedProcess {
  readonly id: string;
  readonly traffic: MoveTraffic;
  readonly config: StreamFollower<ConfigState, ConfigEntry>;
  readonly configWriter: StreamWriter<ConfigEntry>;
  readonly control: StreamFollower<ControlState, ControlEntry>;
  isHolder(): boolean;
  kill(): void;
}

/** One simulated request. */
export interface SimulatedRequest {
  /** Time when it was sent, in milliseconds. */
  readonly atMs: number;
  /** Building that served it, or `none`. */
  readonly building: string;
  /** Stage of the account's move when it was sent. */
  readonly stage: string | undefined;
}

/** A running simulation. */
export interface MoveSimulation {
  readonly clock: VirtualClock;
  readonly log: LogModel;
  readonly processes: SimulatedProcess[];
  readonly requests: SimulatedRequest[];
  /** Stages entered, as `account:stage`, in the order of the log. */
  readonly entered: string[];
  /** Events of the move runners, as `process kind: cause`. */
  readonly events: string[];
  /** Sets how many of 100 requests at a building miss their deadline. */
  setLatePercent(building: string, percent: number): void;
  /** Sets how long the weight store takes for one load, in milliseconds. */
  setLoadMs(loadMs: number): void;
  startProcess(id: string): SimulatedProcess;
  /** Returns how many times a stage was entered or completed. */
  getTransitionCount(): number;
  getStage(account: string): string | undefined;
  isComplete(account: string): boolean;
}

/** Creates a simulation with three processes; virtual time has not advanced yet. */
export function createMoveSimulation(
  accounts: readonly string[],
): MoveSimulation {
  const clock = createVirtualClock({wallStartMs: SIMULATION_START_MS});
  const log = createLogModel({clock, retentionMs: RETENTION_MS});
  const processes: SimulatedProcess[] = [];
  const requests: SimulatedRequest[] = [];
  const entered: string[] = [];
  const events: string[] = [];
  const latePercent = new Map<string, number>();
  const servers = ['old', 'new'].flatMap(building =>
    [1, 2].map(number => createServer(building, number)),
  );
  const reports = new Map(
    servers.map(server => [
      server.id,
      createTestReport(server.id, {
        models: server.building === 'old' ? ['small'] : [],
      }),
    ]),
  );
  let loadMs = 200_000;
  let loading: string | undefined;
  let requestCount = 0;
  let transitionCount = 0;
  let nextIncarnation = 1;
  const inventory: EngineInventory = {servers, reports};
  ['p1', 'p2', 'p3'].forEach(startProcess);
  const observer = createStreamFollower({
    definition: controlStream,
    log: createLocalLog({model: log, clock}),
    clock,
  });
  observer.subscribe((entry, outcome) => {
    if (entry.kind !== 'move-progress' || outcome.kind !== 'accepted') return;
    const {clientAccount, stage, isComplete} = entry.progress;
    transitionCount++;
    if (!isComplete) entered.push(`${clientAccount}:${stage}`);
  });
  observer.start();
  clock.schedule(REQUEST_EVERY_MS, sendRequests);
  return {
    clock,
    log,
    processes,
    requests,
    entered,
    events,
    setLatePercent: (building, percent) =>
      void latePercent.set(building, percent),
    setLoadMs: value => {
      loadMs = value;
    },
    startProcess,
    getTransitionCount: () => transitionCount,
    getStage: account => observer.getState().moves.get(account)?.stage,
    isComplete: account =>
      observer.getState().moves.get(account)?.isComplete === true,
  };

  function startProcess(id: string): SimulatedProcess {
    const local = createLocalLog({model: log, clock});
    const config = createStreamFollower({
      definition: configStream,
      log: local,
      clock,
    });
    const control = createStreamFollower({
      definition: controlStream,
      log: local,
      clock,
    });
    const writer = `${id}.${nextIncarnation++}`;
    const shared = {log: local, clock, writer};
    const configWriter = createStreamWriter({follower: config, ...shared});
    const controlWriter = createStreamWriter({follower: control, ...shared});
    const rank = Number(id.slice(1)) - 1;
    const lease = createLeaseManager({
      shard: FLEET_SHARD,
      clock,
      follower: control,
      writer: controlWriter,
      getRank: () => rank,
    });
    const index = createMoveIndex(config);
    const traffic = createMoveTraffic({
      clock,
      index,
      tryGetProgress: account => control.getState().moves.get(account),
      getRandom: () => (requestCount++ % 20) / 20,
    });
    const runner = createMoveRunner({
      clock,
      index,
      follower: control,
      writer: controlWriter,
      tryGetAuthority: lease.tryGetAuthority,
      getInventory: () => inventory,
      collectWindow: (account, windowMs) =>
        Promise.resolve(
          mergeWindows(
            processes.map(item => item.traffic.getWindow(account, windowMs)),
          ),
        ),
      emitEvent: event =>
        void events.push(`${id} ${event.kind}: ${event.cause}`),
    });
    const process: SimulatedProcess = {
      id,
      traffic,
      config,
      configWriter,
      control,
      isHolder: () => lease.tryGetAuthority() !== undefined,
      kill: () => {
        runner.stop();
        lease.stop();
        config.stop();
        control.stop();
        configWriter.stop();
        controlWriter.stop();
        processes.splice(processes.indexOf(process), 1);
      },
    };
    processes.push(process);
    config.start();
    control.start();
    lease.start();
    runner.start();
    return process;
  }

  /**
   * Sends one request of each account through every process, and starts the next load of weights.
   */
  function sendRequests(): void {
    clock.schedule(REQUEST_EVERY_MS, sendRequests);
    for (const process of [...processes]) {
      for (const account of accounts) sendRequest(process, account);
    }
    startLoad();
  }

  function sendRequest(process: SimulatedProcess, account: string): void {
    const known = process.config.getState().templates.get(account);
    if (known === undefined) return;
    const requestId = `${process.id}-${requests.length}`;
    const choice = process.traffic.selectServers(known.template, requestId);
    const building = chooseBuilding(known.template, choice);
    requests.push({
      atMs: clock.getMonotonicMs(),
      building,
      stage: process.control.getState().moves.get(account)?.stage,
    });
    // 37 and 100 have no common factor, so late answers are spread evenly over any window.
    const isLate =
      (requests.length * 37) % 100 < (latePercent.get(building) ?? 0);
    clock.schedule(500, () =>
      process.traffic.addEnded({
        requestId,
        clientAccount: account,
        isInDeadline: !isLate,
      }),
    );
  }

  /** Returns the building of a server that has the models; the fallback servers are tried last. */
  function chooseBuilding(
    template: Template,
    choice: ReturnType<MoveTraffic['selectServers']>,
  ): string {
    for (const selector of [choice.servers, choice.fallback]) {
      if (selector === undefined) continue;
      const found = servers.find(
        server =>
          isSelected(server, selector) &&
          template.models.every(model =>
            reports.get(server.id)?.models.includes(model),
          ),
      );
      if (found !== undefined) return found.building;
    }
    return 'none';
  }

  /** Simulates the shard's lease holder and the rate-limited weight store: one load at a time. */
  function startLoad(): void {
    const holder = processes.find(process => process.isHolder());
    if (loading !== undefined || holder === undefined) return;
    for (const {template} of holder.config.getState().templates.values()) {
      const progress = holder.control
        .getState()
        .moves.get(template.client_account);
      const [load] = listMoveLoadOrders(
        template,
        progress,
        clock.getWallMs(),
        inventory,
      );
      if (load === undefined || load.order.kind !== 'load-model') continue;
      const {engine, order} = load;
      loading = engine;
      clock.schedule(loadMs, () => {
        reports.set(engine, createTestReport(engine, {models: [order.model]}));
        loading = undefined;
      });
      return;
    }
  }
}

function createServer(building: string, number: number): BackendServer {
  return {
    id: `${building}-${number}`,
    kind: 'model_engine',
    address: '',
    failureDomain: building,
    region: 'sk-west',
    building,
    checksFencing: true,
    isLeaving: false,
  };
}
