/** Runs the role planner of a replay on the node in control, and sends the planned commands. */
import type {EngineClient, EngineReport, EngineRole} from '../backends';
import {
  createPlannerState,
  type Demand,
  FEW_CHANGES_WEIGHTS,
  GOODPUT_WEIGHTS,
  mergeDemands,
  type PlanEvent,
  type PlannerState,
  type PlannerWeights,
  type RolePlanner,
  type RoleChangeStep,
} from '../planning';
import type {Clock} from '../runtime';
import type {EntryNode} from './entry_node';
import type {TraceHeader} from './types';

/** Options of the plan runner. */
export interface PlanRunnerOptions {
  readonly clock: Clock;
  readonly header: TraceHeader;
  readonly planRoles: RolePlanner;
  readonly weights: PlannerWeights;
  /** Lists the running nodes in order; the first one is in control. */
  readonly listNodes: () => readonly EntryNode[];
  readonly getDemand: (node: EntryNode) => Demand;
  /** Lists the engine reports that reach the node in control. */
  readonly listReports: (holder: EntryNode) => readonly EngineReport[];
  readonly getEngineClient: (holder: EntryNode, engine: string) => EngineClient;
}

/** Runs the role planner. */
export interface PlanRunner {
  /** Runs the planner once and sends the commands of its plan. */
  runPlan(): void;
  listEvents(): readonly PlanEvent[];
}

/** Time beyond the report lag before the same step is sent to an engine again, in milliseconds. */
const RESEND_MARGIN_MS = 2_000;
/** Minimum interval between recorded events of declined changes, in milliseconds. */
const DECLINED_EVENT_INTERVAL_MS = 5_000;

/** Returns the planner weights of a trace's deployment. */
export function getPlannerWeights(header: TraceHeader): PlannerWeights {
  return header.weight === 'few_changes'
    ? FEW_CHANGES_WEIGHTS
    : GOODPUT_WEIGHTS;
}

/** Creates the plan runner. */
export function createPlanRunner(options: PlanRunnerOptions): PlanRunner {
  const {clock, header, weights} = options;
  const resendMs = header.report_lag_ms + RESEND_MARGIN_MS;
  const events: PlanEvent[] = [];
  /** Target roles of unfinished changes, by engine. Like the role targets in the control stream, they outlive the node that set them. */
  const targetRoles = new Map<string, EngineRole>();
  let term = 0;
  let holder: EntryNode | undefined;
  let state: PlannerState = createPlannerState(0);
  let lastDemands: readonly Demand[] = [];
  /** The last step sent to each engine, and its time. */
  const lastSteps = new Map<
    string,
    {readonly step: string; readonly atMs: number}
  >();
  let lastDeclinedAtMs = -DECLINED_EVENT_INTERVAL_MS;
  let nextCommand = 0;
  return {runPlan, listEvents: () => events};

  function runPlan(): void {
    const nodes = options.listNodes();
    const firstNode = nodes[0];
    if (firstNode === undefined) return;
    const nowMs = clock.getMonotonicMs();
    if (firstNode !== holder) {
      holder = firstNode;
      term++;
      state = createPlannerState(nowMs);
    }
    // The node in control receives the nodes' demand one plan interval late.
    const demands = lastDemands;
    lastDemands = nodes.map(options.getDemand);
    const reports = options.listReports(holder);
    removeReachedTargets(reports);
    const plan = options.planRoles(
      state,
      {
        reports,
        arrivals: mergeDemands(demands),
        targetRoles,
        roleChangeMs: header.role_change_ms,
        reportLagMs: header.report_lag_ms,
      },
      nowMs,
      weights,
    );
    state = plan.state;
    for (const change of plan.changes) sendChange(holder, change);
    for (const declined of plan.declined)
      recordDeclined(holder, declined.cause);
  }

  function removeReachedTargets(reports: readonly EngineReport[]): void {
    for (const report of reports) {
      const isDone = targetRoles.get(report.engine) === report.role;
      if (isDone && report.state === 'ready') targetRoles.delete(report.engine);
    }
  }

  /** Sets the target role before it sends the command, so that the next node in control can finish the change. */
  function sendChange(node: EntryNode, change: RoleChangeStep): void {
    const {engine, kind, to, cause} = change;
    const atMs = clock.getMonotonicMs();
    const step = `${kind} ${to}`;
    const last = lastSteps.get(engine);
    // Reports show the effect of a step only after their lag.
    const isResendDue = atMs - (last?.atMs ?? 0) > resendMs;
    if (last?.step === step && !isResendDue) return;
    lastSteps.set(engine, {step, atMs});
    if (kind === 'drain') targetRoles.set(engine, to);
    events.push({atMs, node: node.id, kind, engine, cause});
    const order =
      kind === 'set-role'
        ? {kind: 'set-role' as const, role: to}
        : {kind: 'set-draining' as const, isDraining: kind === 'drain'};
    void options.getEngineClient(node, engine).sendCommand({
      id: `plan-${++nextCommand}`,
      fencingNumber: term,
      order,
    });
  }

  function recordDeclined(node: EntryNode, cause: string): void {
    const atMs = clock.getMonotonicMs();
    if (atMs - lastDeclinedAtMs < DECLINED_EVENT_INTERVAL_MS) return;
    lastDeclinedAtMs = atMs;
    events.push({atMs, node: node.id, kind: 'declined', cause});
  }
}
