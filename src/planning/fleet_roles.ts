/** The fleet's roles as reports and the control stream's intents show them. */
import {type EngineReport, EngineRole, EngineState} from '../backends';
import type {Observation, RoleChangeStep, RoleCounts} from './types';

/** The fleet's roles. */
export interface FleetRoles {
  /** Engines that serve now, by role. */
  readonly serving: RoleCounts;
  /** Engines by role once every change under way has ended. */
  readonly planned: RoleCounts;
  /** Engines that may begin a change. */
  readonly eligible: readonly EngineReport[];
  /** Engines on their way to another role. */
  readonly changing: number;
  readonly size: number;
}

const NO_ENGINES: RoleCounts = {prefill: 0, decode: 0, mixed: 0};

/** Reads the roles. Engines that leave or load count nowhere. */
export function getFleetRoles(observation: Observation): FleetRoles {
  const {reports, targetRoles: intents} = observation;
  let serving = NO_ENGINES;
  let planned = NO_ENGINES;
  let changing = 0;
  const eligible: EngineReport[] = [];
  for (const report of reports) {
    const targetRole = intents.get(report.engine);
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

/** Returns the counts with engines of one role added, or removed when `change` is below 0. */
export function addEngines(
  counts: RoleCounts,
  role: EngineRole,
  change: number,
): RoleCounts {
  return {...counts, [role]: counts[role] + change};
}

/** Returns how many engines must change to come from one set of roles to another. */
export function countChanges(from: RoleCounts, to: RoleCounts): number {
  let added = 0;
  for (const role of Object.values(EngineRole)) {
    added += Math.max(0, to[role] - from[role]);
  }
  return added;
}

/** Formats counts for a person, such as `4 prefill + 9 mixed`. */
export function formatCounts(counts: RoleCounts): string {
  return (
    Object.values(EngineRole)
      .filter(role => counts[role] > 0)
      .map(role => `${counts[role]} ${role}`)
      .join(' + ') || 'none'
  );
}

/**
 * Lists the next step of each change under way, whoever began it: an engine with
 * an intent is drained, then changed once its report shows it empty. One that
 * drains without an intent goes back to work: its holder died before it wrote one.
 */
export function listPendingSteps(observation: Observation): RoleChangeStep[] {
  const steps: RoleChangeStep[] = [];
  for (const report of observation.reports) {
    const {engine, role, state} = report;
    const to = observation.targetRoles.get(engine);
    if (state === EngineState.Draining && (to === undefined || to === role)) {
      const cause = 'drains without an intent to change';
      steps.push({kind: 'undrain', engine, from: role, to: role, cause});
    }
    if (to === undefined || to === role) continue;
    if (state === EngineState.Ready) {
      const cause = `intent to become ${to}; drain first`;
      steps.push({kind: 'drain', engine, from: role, to, cause});
    }
    if (
      state === EngineState.Draining &&
      report.running + report.waiting === 0
    ) {
      const cause = `drained; becomes ${to}`;
      steps.push({kind: 'set-role', engine, from: role, to, cause});
    }
  }
  return steps;
}
