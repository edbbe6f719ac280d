/**
 * Control that a node exercises while it holds leases: account moves, engine roles, and the
 * commands to engines of its shards.
 */
import {type Authority, FLEET_SHARD} from '../authority';
import type {BackendServer} from '../backends';
import type {EventRing} from '../diagnostics';
import {createHttpWeightStore} from '../control_services';
import type {Clock} from '../runtime';
import type {Settings} from '../settings';
import {type ControlTasks, createControlTasks} from './control_tasks';
import type {FleetWatch} from './fleet_watch';
import {createMoveTasks, type MoveTasks} from './move_tasks';
import type {NodeStreams} from './node_streams';
import type {PeerTasks} from './peer_tasks';
import {createRoleTasks, type RoleTasks} from './role_tasks';

/** Options of `createNodeControl`. */
export interface NodeControlOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly streams: NodeStreams;
  readonly fleet: FleetWatch;
  /** Returns the peer tasks. They are opened after the control has been created. */
  readonly getPeers: () => PeerTasks;
}

/** The control of one node. */
export interface NodeControl {
  readonly moves: MoveTasks;
  readonly roles: RoleTasks;
  readonly tasks: ControlTasks;
  /** Returns whether the node holds the fleet's lease or that of the server's failure domain. */
  isControlled(server: BackendServer): boolean;
  start(): void;
  /** Stops immediately without releasing leases, as in a crash. */
  stop(): void;
}

/** Creates the control; it does nothing before `start`. */
export function createNodeControl(options: NodeControlOptions): NodeControl {
  const {settings, clock, events, streams, fleet, getPeers} = options;
  const retentionMs = settings.platform.log_retention_s * 1_000;
  const moves = createMoveTasks({
    clock,
    events,
    streams,
    getServers: fleet.getServers,
    listReports: fleet.listReports,
    tryGetAuthority: tryGetFleetAuthority,
    collectPeerWindows: (account, windowMs) =>
      getPeers().reads.collectAccountWindows(account, windowMs),
  });
  const roles = createRoleTasks({
    clock,
    events,
    control: streams.control,
    weights: {
      goodputWeight: settings.planning.goodput_weight,
      roleChangeWeight: settings.planning.role_change_weight,
      safeCapacity: settings.planning.safe_capacity,
    },
    intervalMs: settings.planning.interval_ms,
    roleChangeMs: settings.planning.role_change_ms,
    retentionMs,
    tryGetAuthority: tryGetFleetAuthority,
    listReports: fleet.listReports,
    listPeerDemands: () => getPeers().digests.listDemands(),
  });
  const tasks = createControlTasks({
    node: settings.node.id,
    clock,
    events,
    control: streams.control,
    getVms: fleet.getVms,
    getServers: fleet.getServers,
    listReports: fleet.listReports,
    weightStore: createHttpWeightStore({
      address: settings.platform.weight_store_address,
    }),
    retentionMs,
    guardMs: settings.fencing.guard_time_ms,
    fencingEngines: settings.fencing.checked_by,
    createPolicy: () => ({
      decide: (state, reports, nowMs) => [
        ...moves.listLoadOrders(state, reports, nowMs),
        ...roles.listOrders(state, reports),
      ],
    }),
  });
  return {moves, roles, tasks, isControlled, start, stop};

  function tryGetFleetAuthority(): Authority | undefined {
    return tasks.tryGetAuthority(FLEET_SHARD);
  }

  function isControlled(server: BackendServer): boolean {
    return (
      tryGetFleetAuthority() !== undefined ||
      tasks.tryGetAuthority(server.failureDomain) !== undefined
    );
  }

  function start(): void {
    tasks.start();
    moves.start();
    roles.start();
  }

  function stop(): void {
    tasks.stop();
    moves.stop();
    roles.stop();
  }
}
