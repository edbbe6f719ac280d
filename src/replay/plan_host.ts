/** Runs the role planner of a replay on one node at a time, and sends its commands. */
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

/** Options of the host. */
export interface PlanHostOptions {
  readonly clock: Clock;
  readonly header: TraceHeader;
  readonly planRoles: RolePlanner;
  readonly weights: PlannerWeights;
  /** Live nodes that run, in order: the first holds control. */
  readonly listNodes: () => readonly EntryNode[];
  readonly getDemand: (node: EntryNode) => Demand;
  /** Reports that the holder can have. */
  readonly listReports: (holder: EntryNode) => readonly EngineReport[];
  readonly getEngineClient: (holder: EntryNode, engine: string) => EngineClient;
}

/** The host. */
export interface PlanHost {
  /** Plans once and sends what the plan says. */
  runPlan(): void;
  listEvents(): readonly PlanEvent[];
}

/** How long after a report's lag a step without effect is sent again, in milliseconds. */
const RESEND_MARGIN_MS = 2_000;
/** Declined changes are noted once in this time, in milliseconds. */
const DECLINED_EVENT_INTERVAL_MS = 5_000;

/** Returns the weights of a trace's deployment. */
export function getPlannerWeights(header: TraceHeader): PlannerWeights {
  return header.weight === 'few_changes'
    ? FEW_CHANGES_WEIGHTS
    : GOODPUT_WEIGHTS;
}

/** Creates the host. */
export function createPlanHost(options: PlanHostOptions): PlanHost {
  const {clock, header, weights} = options;
  const resendMs = header.report_lag_ms + RESEND_MARGIN_MS;
  const events: PlanEvent[] = [];
  /** Stands for the intents in the control stream: they outlive their holder. */
  const intents = new Map<string, EngineRole>();
  let term = 0;
  let holder: EntryNode | undefined;
  let state: PlannerState = createPlannerState(0);
  let lastDemands: readonly Demand[] = [];
  /** When each engine was last sent a step, and which. */
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
    // Digests of the nodes' demand are one interval old when the holder has them.
    const demands = lastDemands;
    lastDemands = nodes.map(options.getDemand);
    const reports = options.listReports(holder);
    removeCompletedIntents(reports);
    const plan = options.planRoles(
      state,
      {
        reports,
        arrivals: mergeDemands(demands),
        targetRoles: intents,
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

  function removeCompletedIntents(reports: readonly EngineReport[]): void {
    for (const report of reports) {
      const isDone = intents.get(report.engine) === report.role;
      if (isDone && report.state === 'ready') intents.delete(report.engine);
    }
  }

  /** The intent comes before the command, so that another holder can finish it. */
  function sendChange(node: EntryNode, change: RoleChangeStep): void {
    const {engine, kind, to, cause} = change;
    const atMs = clock.getMonotonicMs();
    const step = `${kind} ${to}`;
    const last = lastSteps.get(engine);
    // A report shows the effect of a step only after its lag.
    const isResendDue = atMs - (last?.atMs ?? 0) > resendMs;
    if (last?.step === step && !isResendDue) return;
    lastSteps.set(engine, {step, atMs});
    if (kind === 'drain') intents.set(engine, to);
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
