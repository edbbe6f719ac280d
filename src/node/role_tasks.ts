/**
 * Plans the engines' roles while this node holds the fleet's lease, and lists the role orders for
 * its shards.
 */
import type {Authority, ControlState, PlannedOrder} from '../authority';
import type {EngineReport, EngineRole} from '../backends';
import type {EventRing} from '../diagnostics';
import {
  createDemandMeter,
  createPlannerState,
  createPlannerWeights,
  type Demand,
  type DemandMeter,
  listRoleOrders,
  listRoleTargets,
  mergeDemands,
  planBySkiRental,
  type PlannerState,
  type RolePlan,
  type RoleTargetChange,
  type WeightSettings,
} from '../planning';
import type {Clock, Timer} from '../runtime';
import type {NodeStreams} from './node_streams';

/** Options of the tasks. */
export interface RoleTasksOptions {
  readonly clock: Clock;
  readonly events: EventRing;
  readonly control: NodeStreams['control'];
  readonly weights: WeightSettings;
  /** Time between two plans, in milliseconds. */
  readonly intervalMs: number;
  /** Time for which an engine is unavailable during a role change, in milliseconds. */
  readonly roleChangeMs: number;
  /** How long the log keeps a record, in milliseconds. */
  readonly retentionMs: number;
  /** Returns the authority over the fleet's shard while this process holds its lease. */
  readonly tryGetAuthority: () => Authority | undefined;
  readonly listReports: () => readonly EngineReport[];
  /** Returns the work that each peer admits per second. */
  readonly listPeerDemands: () => readonly Demand[];
}

/** The role tasks of one node. */
export interface RoleTasks {
  /** Measures the work that this node admits. */
  readonly meter: DemandMeter;
  /** Returns the next order for each engine in `reports` that does not have its target role yet. */
  listOrders(
    state: ControlState,
    reports: readonly EngineReport[],
  ): readonly PlannedOrder[];
  start(): void;
  stop(): void;
}

const WRITE_TIMEOUT_MS = 10_000;
/**
 * Fraction of the log retention after which a target is written again, before the log drops its
 * record.
 */
const RELOG_AGE_FRACTION = 0.25;
/** Minimum time between two events about declined role changes, in milliseconds. */
const DECLINED_EVENT_INTERVAL_MS = 60_000;

/** Creates the tasks; they plan nothing before `start`. */
export function createRoleTasks(options: RoleTasksOptions): RoleTasks {
  const {clock, control, events} = options;
  const meter = createDemandMeter({clock});
  let timer: Timer | undefined;
  let term: number | undefined;
  let planner: PlannerState = createPlannerState(clock.getMonotonicMs());
  let declinedEventAtMs = -DECLINED_EVENT_INTERVAL_MS;
  return {
    meter,
    listOrders: (state, reports) => listRoleOrders(reports, getTargets(state)),
    start,
    stop: () => timer?.cancel(),
  };

  function start(): void {
    timer = clock.schedule(options.intervalMs, () => {
      start();
      runPlan();
    });
  }

  function runPlan(): void {
    const authority = options.tryGetAuthority();
    if (authority === undefined) return;
    const nowMs = clock.getMonotonicMs();
    if (authority.term !== term) planner = createPlannerState(nowMs);
    term = authority.term;
    const reports = options.listReports();
    const targets = getTargets(control.follower.getState());
    const plan = planBySkiRental(
      planner,
      {
        reports,
        arrivals: mergeDemands([
          meter.getDemand(),
          ...options.listPeerDemands(),
        ]),
        targetRoles: targets,
        roleChangeMs: options.roleChangeMs,
      },
      nowMs,
      createPlannerWeights(options.weights, reports.length),
    );
    planner = plan.state;
    for (const change of listRoleTargets(plan, targets)) {
      void recordTarget(authority, change);
    }
    emitDeclined(plan);
    void recordExpiringTargets(authority, reports);
  }

  async function recordTarget(
    authority: Authority,
    change: RoleTargetChange,
  ): Promise<void> {
    const answer = await writeTarget(authority, change);
    if (!answer) return;
    events.emit({
      kind: 'role-target',
      engine: change.engine,
      cause: `becomes ${change.role}: ${change.cause}`,
    });
  }

  /** Writes old targets of listed engines again, before the log drops their records. */
  async function recordExpiringTargets(
    authority: Authority,
    reports: readonly EngineReport[],
  ): Promise<void> {
    const state = control.follower.getState();
    const cutoffMs = state.nowMs - options.retentionMs * RELOG_AGE_FRACTION;
    const listed = new Set(reports.map(report => report.engine));
    for (const target of state.roles.values()) {
      const isOld = target.loggedAtMs < cutoffMs;
      if (isOld && listed.has(target.engine)) {
        await writeTarget(authority, target);
      }
    }
  }

  async function writeTarget(
    authority: Authority,
    {engine, role, cause}: RoleTargetChange,
  ): Promise<boolean> {
    const answer = await control.writer.write(
      {
        kind: 'role-target',
        shard: authority.shard,
        term: authority.term,
        holder: control.writer.writer,
        engine,
        role,
        cause,
      },
      WRITE_TIMEOUT_MS,
    );
    return answer.ok && answer.val.kind === 'accepted';
  }

  function emitDeclined(plan: RolePlan): void {
    const [declined] = plan.declined;
    const nowMs = clock.getMonotonicMs();
    if (declined === undefined) return;
    if (nowMs - declinedEventAtMs < DECLINED_EVENT_INTERVAL_MS) return;
    declinedEventAtMs = nowMs;
    events.emit({
      kind: 'role-change-declined',
      cause: `${plan.explanation}; ${declined.cause}`,
    });
  }
}

function getTargets(state: ControlState): ReadonlyMap<string, EngineRole> {
  return new Map(
    [...state.roles.values()].map(({engine, role}) => [engine, role]),
  );
}
