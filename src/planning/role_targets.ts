/**
 * Converts role plans to target roles for the log, and target roles to engine orders. Pure
 * functions.
 */
import type {EngineOrder, EngineReport, EngineRole} from '../backends';
import {listPendingSteps} from './fleet_roles';
import type {RoleChangeStep, RolePlan} from './types';

/** New target role of an engine. */
export interface RoleTargetChange {
  readonly engine: string;
  readonly role: EngineRole;
  /** Reason, for operators. */
  readonly cause: string;
}

/** Returns the target roles of a plan that differ from those already in the log. */
export function listRoleTargets(
  plan: RolePlan,
  known: ReadonlyMap<string, EngineRole>,
): RoleTargetChange[] {
  return plan.changes
    .filter(change => change.kind === 'drain')
    .filter(change => known.get(change.engine) !== change.to)
    .map(({engine, to, cause}) => ({engine, role: to, cause}));
}

/** Order for one engine, with its reason. */
interface RoleOrder {
  readonly engine: string;
  readonly order: EngineOrder;
  readonly cause: string;
}

/** Returns the next order for each engine whose report does not yet show its target role. */
export function listRoleOrders(
  reports: readonly EngineReport[],
  targets: ReadonlyMap<string, EngineRole>,
): RoleOrder[] {
  const observation = {
    reports,
    targetRoles: targets,
    arrivals: {prefillTokensPerS: 0, decodeTokensPerS: 0},
    roleChangeMs: 0,
  };
  return listPendingSteps(observation).map(step => ({
    engine: step.engine,
    order: createOrder(step),
    cause: step.cause,
  }));
}

function createOrder(step: RoleChangeStep): EngineOrder {
  if (step.kind === 'set-role') return {kind: 'set-role', role: step.to};
  return {kind: 'set-draining', isDraining: step.kind === 'drain'};
}
