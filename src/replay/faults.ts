/** Injects the faults listed in a trace's header. */
import type {Clock} from '../runtime';
import type {LogModel} from '../standins';
import type {ReplayFleet} from './fleet';
import type {Network} from './node_environment';
import type {TraceFault} from './types';

/** The parts of a replay that faults act on. */
export interface FaultTargets {
  readonly clock: Clock;
  readonly log: LogModel;
  readonly fleet: ReplayFleet;
  readonly network: Network;
  /** Lists the node with an id, or the nodes of a failure domain. */
  readonly listNodes: (target: string) => readonly string[];
  readonly killNode: (node: string, restartAfterMs: number | undefined) => void;
  readonly setNodePaused: (node: string, isPaused: boolean) => void;
  readonly onFault: (fault: TraceFault) => void;
}

/** Duration of a fault without `for_ms`, in milliseconds; a node killed without it never restarts. */
const DEFAULT_FAULT_DURATION_MS = 10_000;
/** Interval at which a leaving engine is checked for remaining work, in milliseconds. */
const LEAVE_POLL_MS = 500;

/** Schedules every fault. */
export function scheduleFaults(
  faults: readonly TraceFault[],
  targets: FaultTargets,
): void {
  for (const fault of faults) {
    targets.clock.schedule(fault.at_ms, () => {
      targets.onFault(fault);
      applyFault(fault, targets);
    });
  }
}

function applyFault(fault: TraceFault, targets: FaultTargets): void {
  const {clock, log, fleet, network} = targets;
  const target = fault.target ?? '';
  const durationMs = fault.for_ms ?? DEFAULT_FAULT_DURATION_MS;
  switch (fault.kind) {
    case 'engine_crash':
      for (const id of listEngines(fleet, target)) {
        fleet.engines.get(id)?.crash(durationMs);
      }
      return;
    case 'engine_leave':
      for (const id of listServers(fleet, target)) {
        fleet.setLeaving(id, true);
        clock.schedule(durationMs, () => restoreServer(id, targets));
      }
      return;
    case 'log_outage':
      log.setDown(true);
      clock.schedule(durationMs, () => log.setDown(false));
      return;
    case 'log_lost_reply':
      log.loseReplies(Math.max(1, Math.round(fault.for_ms ?? 1)));
      return;
    case 'node_kill':
      for (const node of targets.listNodes(target)) {
        targets.killNode(node, fault.for_ms);
      }
      return;
    case 'node_pause':
      for (const node of targets.listNodes(target)) {
        targets.setNodePaused(node, true);
        clock.schedule(durationMs, () => targets.setNodePaused(node, false));
      }
      return;
    case 'partition': {
      const members = new Set([
        ...targets.listNodes(target),
        ...listServers(fleet, target),
      ]);
      network.setPartition(members, true);
      clock.schedule(durationMs, () => network.setPartition(members, false));
    }
  }
}

/** Replaces a leaving server by a new process once its work in progress has ended. */
function restoreServer(id: string, targets: FaultTargets): void {
  const engine = targets.fleet.engines.get(id);
  if (engine !== undefined && engine.getStatus().isBusy) {
    targets.clock.schedule(LEAVE_POLL_MS, () => restoreServer(id, targets));
    return;
  }
  engine?.crash(0);
  targets.fleet.setLeaving(id, false);
}

function listEngines(fleet: ReplayFleet, target: string): readonly string[] {
  return listServers(fleet, target).filter(id => fleet.engines.has(id));
}

/** Lists the backend server with an id, or those of a failure domain. */
function listServers(fleet: ReplayFleet, target: string): readonly string[] {
  return fleet
    .listServers()
    .filter(item => item.id === target || item.failureDomain === target)
    .map(item => item.id);
}
