/**
 * Moves of client accounts on one node: how requests are routed during a move, and the runner that
 * advances moves under the fleet's lease.
 */
import type {Authority, ControlState, PlannedOrder} from '../authority';
import type {BackendServer, EngineReport} from '../backends';
import type {EventRing} from '../diagnostics';
import {
  type AccountWindow,
  createMoveIndex,
  createMoveRunner,
  createMoveTraffic,
  type EngineInventory,
  listMoveLoadOrders,
  listProgressRows,
  mergeWindows,
  type MoveProgress,
  type MoveTraffic,
  type ProgressRow,
} from '../planning/move';
import type {Clock} from '../runtime';
import type {NodeStreams} from './node_streams';

/** Options of the tasks. */
export interface MoveTasksOptions {
  readonly clock: Clock;
  readonly events: EventRing;
  readonly streams: NodeStreams;
  readonly getServers: () => readonly BackendServer[];
  readonly listReports: () => readonly EngineReport[];
  /** Returns the authority over the fleet's shard while this process holds its lease. */
  readonly tryGetAuthority: () => Authority | undefined;
  /**
   * Collects a client account's request windows from the peers; undefined when fewer than half of
   * them answer.
   */
  readonly collectPeerWindows: (
    clientAccount: string,
    windowMs: number,
  ) => Promise<readonly AccountWindow[] | undefined>;
}

/** The move tasks of one node. */
export interface MoveTasks {
  readonly traffic: MoveTraffic;
  listProgress(): readonly ProgressRow[];
  start(): void;
  stop(): void;
  /**
   * Returns the load orders that the moves need for the engines in `reports`; `nowMs` is wall time.
   */
  listLoadOrders(
    state: ControlState,
    reports: readonly EngineReport[],
    nowMs: number,
  ): readonly PlannedOrder[];
}

/** Creates the tasks; they do nothing before `start`. */
export function createMoveTasks(options: MoveTasksOptions): MoveTasks {
  const {clock, events, streams} = options;
  const {config, control} = streams;
  const index = createMoveIndex(config.follower);
  const traffic = createMoveTraffic({
    clock,
    index,
    tryGetProgress,
    getRandom: Math.random,
  });
  const runner = createMoveRunner({
    clock,
    index,
    follower: control.follower,
    writer: control.writer,
    tryGetAuthority: options.tryGetAuthority,
    getInventory: () => createInventory(options.listReports()),
    collectWindow,
    emitEvent: events.emit,
  });
  return {
    traffic,
    listProgress: () =>
      listProgressRows({
        accounts: index.list(),
        tryGetProgress,
        tryGetCause: runner.tryGetCause,
      }),
    listLoadOrders,
    start: runner.start,
    stop: () => {
      runner.stop();
      index.stop();
    },
  };

  function createInventory(reports: readonly EngineReport[]): EngineInventory {
    return {
      servers: options.getServers(),
      reports: new Map(reports.map(report => [report.engine, report])),
    };
  }

  function listLoadOrders(
    state: ControlState,
    reports: readonly EngineReport[],
    nowMs: number,
  ): PlannedOrder[] {
    const inventory = createInventory(reports);
    return index
      .list()
      .flatMap(({template}) =>
        listMoveLoadOrders(
          template,
          state.moves.get(template.client_account),
          nowMs,
          inventory,
        ),
      )
      .filter(order => inventory.reports.has(order.engine));
  }

  function tryGetProgress(clientAccount: string): MoveProgress | undefined {
    return control.follower.getState().moves.get(clientAccount);
  }

  async function collectWindow(
    clientAccount: string,
    windowMs: number,
  ): Promise<AccountWindow | undefined> {
    const peers = await options.collectPeerWindows(clientAccount, windowMs);
    if (peers === undefined) return undefined;
    return mergeWindows([traffic.getWindow(clientAccount, windowMs), ...peers]);
  }
}
