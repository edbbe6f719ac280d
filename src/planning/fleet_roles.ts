/** Derives the fleet's current and planned roles from engine reports and target roles. */
import {type EngineReport, EngineRole, EngineState} from '../backends';
import type {Observation, RoleChangeStep, RoleCounts} from './types';

/** Roles of the fleet's engines. */
export interface FleetRoles {
  /** Number of engines that are serving, by role. */
  readonly serving: RoleCounts;
  /** Number of engines by role once all changes in progress are complete. */
  readonly planned: RoleCounts;
  /** Engines that are ready and not changing their role. */
  readonly eligible: readonly EngineReport[];
  /** Number of engines with a role change in progress. */
  readonly changing: number;
  /** Number of engines with a report, in any state. */
  readonly size: number;
}

const NO_ENGINES: RoleCounts = {prefill: 0, decode: 0, mixed: 0};

/**
 * Returns the roles of the fleet. Engines that are leaving or loading have no role in the counts.
 */
export function getFleetRoles(observation: Observation): FleetRoles {
  const {reports, targetRoles} = observation;
  let serving = NO_ENGINES;
  let planned = NO_ENGINES;
  let changing = 0;
  const eligible: EngineReport[] = [];
  for (const report of reports) {
    const targetRole = targetRoles.get(report.engine);
    const isChanging =
      report.state === EngineState.ChangingRole ||
      (targetRole !== undefined && targetRole !== report.role);
    if (isChanging) {
      changing++;
      planned = addEngines(planned, targetRole ?? report.role, 1);
      continue;
    }
    if (report.state !== EngineState.Ready) continue;
    eligible.push(report);
    serving = addEngines(serving, report.role, 1);
    planned = addEngines(planned, report.role, 1);
  }
  return {serving, planned, eligible, changing, size: reports.length};
}

/** Returns the counts with `change` engines of one role added, or removed when it is negative. */
export function addEngines(
  counts: RoleCounts,
  role: EngineRole,
  change: number,
): RoleCounts {
  return {...counts, [role]: counts[role] + change};
}

/** Returns how many engines must change their role to get from one set of counts to another. */
export function countChanges(from: RoleCounts, to: RoleCounts): number {
  let added = 0;
  for (const role of Object.values(EngineRole)) {
    added += Math.max(0, to[role] - from[role]);
  }
  return added;
}

/** Formats counts for display, such as `4 prefill + 9 mixed`. */
export function formatCounts(counts: RoleCounts): string {
  return (
    Object.values(EngineRole)
      .filter(role => counts[role] > 0)
      .map(role => `${counts[role]} ${role}`)
      .join(' + ') || 'none'
  );
}

/**
 * Lists the next step of each role change in progress, whichever node began it. An engine whose
 * target role differs from its role is drained, and its role is set once its report shows no
 * requests. An engine that drains without a different target role is put back into service: the
 * holder of the lease crashed before it had recorded the target.
 */
export function listPendingSteps(observation: Observation): RoleChangeStep[] {
  const steps: RoleChangeStep[] = [];
  for (const report of observation.reports) {
    const {engine, role, state} = report;
    const to = observation.targetRoles.get(engine);
    if (state === EngineState.Draining && (to === undefined || to === role)) {
      const cause = 'draining without a target role; returned to service';
      steps.push({kind: 'undrain', engine, from: role, to: role, cause});
    }
    if (to === undefined || to === role) continue;
    if (state === EngineState.Ready) {
      const cause = `target role is ${to}; drain first`;
      steps.push({kind: 'drain', engine, from: role, to, cause});
    }
    if (
      state === EngineState.Draining &&
      report.running + report.waiting === 0
    ) {
      const cause = `drained; set role to ${to}`;
      steps.push({kind: 'set-role', engine, from: role, to, cause});
    }
  }
  return steps;
}
