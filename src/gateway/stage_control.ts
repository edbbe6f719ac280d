/** Switches engines to their planned stages; only the node that holds the authority sends orders. */
import type {Logger} from '../diagnostics/log';
import type {StageLoad} from '../planning/stage_split';
import type {Clock, Timer} from '../runtime/types';
import type {Authority, Grant} from '../duties';
import type {Connections} from './connections';
import type {FleetState} from './fleet_state';
import {sendControlCall} from './control_call';
import type {ServerLimits} from './server_limits';
import type {ServerPauses} from './server_pauses';
import {planStages, type StageChange, type StagePlan} from './stage_plan';
import {
  type BackendEntry,
  type BackendProtocol,
  type EngineLimits,
  EngineStage,
  type StageReport,
} from './types';

/** Controls the engines' stages. */
export interface StageControl {
  start(): void;
  /** Records an order that another node sent. */
  recordOrder(serverId: string, stage: EngineStage): void;
  /** True while an engine has been ordered to a stage that service discovery does not show yet. */
  isChanging(serverId: string): boolean;
  stop(): void;
}

/** Options of the stage control. */
export interface StageControlOptions {
  readonly nodeName: string;
  readonly state: FleetState;
  readonly authority: Pick<Authority, 'tryAcquire'>;
  readonly connections: Connections;
  readonly pauses: Pick<ServerPauses, 'isPaused'>;
  readonly limits: Pick<ServerLimits, 'canSend' | 'tryGetLimitPerS'>;
  readonly protocol: BackendProtocol;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Counts the known nodes whose names sort before this node's. */
  readonly countNodesBefore: () => number;
  /** True while this node's copy of the store's state is recent enough to plan with. */
  readonly isStateCurrent: () => boolean;
  /** Returns the number of engines that the arriving work keeps busy; undefined when unknown. */
  readonly tryGetLoad: (
    service: string,
    engine: EngineLimits,
  ) => StageLoad | undefined;
  /** Returns an engine's prefill time relative to its service's; undefined when it was not measured. */
  readonly tryGetTimeFactor: (engine: BackendEntry) => number | undefined;
  readonly onOrder: (serverId: string, stage: EngineStage) => void;
}

/** Interval at which the plan is checked, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** How long a change must stay planned before it is ordered during start-up, in milliseconds: the list of engines is still filling up. */
const STARTUP_SETTLE_MS = 1_500;
/** Nodes send orders in the order of their names: extra delay for each node that sorts before this one, and the maximum of their sum, in milliseconds. */
const NODE_DELAY_MS = 700;
const MAX_NODE_DELAY_MS = 5_000;
/** Length of the start-up phase, in milliseconds. Until its end even a change of a single engine is worth its cost. */
const STARTUP_MS = 9_000;
/** Fraction of the wanted decode engines that may be missing while requests are served. */
const SERVING_MAX_MISSING_FRACTION = 0.4;
/** How long a change must stay planned after start-up, in milliseconds: engines that start or crash do so one after another. */
const SERVING_SETTLE_MS = 2_500;
/** How long a change must stay planned where servers are ordered by the load, in milliseconds: new servers are ordered when they are needed, and all of them decode at first. */
const SCALED_SETTLE_MS = 500;
/** Number of engines of a service from which on they keep their stages unless the load requires a change: a fixed fraction would change over a hundred idle engines. Where servers are ordered by the load, there are few idle ones, and the new ones, which all decode, are needed for prefill. */
const MIN_KEPT_ENGINES = 100;
/** Utilization from which on a stage is busy where servers are ordered by the load, whose number is chosen for a utilization of 0.5 to 0.6, and where engines keep their stages until then: a change takes some 5 s. */
const EARLY_BUSY_UTILIZATION = 0.65;
/** Time after the latest order in which no engines are exchanged, in milliseconds: with the settling time, two engines in 7.5 s are out of service for 3 s. */
const EXCHANGE_INTERVAL_MS = 5_000;
/** Change of an engine's time factor that is taken into account: smaller ones would change the planned engines before the settling time is over. */
const MIN_FACTOR_CHANGE = 1.15;
/** Time-out for an engine's response, in milliseconds. */
const ORDER_TIMEOUT_MS = 500;
/** Time after which an order without visible effect is dropped, in milliseconds: the length of a stage change plus some heartbeats. */
const ORDER_EXPIRY_MS = 9_000;
/** Delay before the next attempt after the authority was denied, in milliseconds. */
const DENIED_RETRY_MS = 1_000;

/** Creates the stage control. */
export function createStageControl(options: StageControlOptions): StageControl {
  const {state, clock, logger} = options;
  const orders = new Map<string, {stage: EngineStage; atMs: number}>();
  const startedAtMs = clock.getMonotonicMs();
  /** When each change that is currently planned was first planned, by its formatted text. */
  const plannedSinceMs = new Map<string, number>();
  /** The split that was last logged for each service. */
  const loggedSplits = new Map<string, string>();
  /** Time factors with which the plan was made. */
  const timeFactors = new Map<string, number>();
  let lastOrderMs = Number.NEGATIVE_INFINITY;
  let isApplying = false;
  let pausedUntilMs = 0;
  let timer: Timer | undefined;
  return {
    start: checkPlan,
    recordOrder,
    isChanging,
    stop: () => timer?.cancel(),
  };

  function recordOrder(serverId: string, stage: EngineStage): void {
    lastOrderMs = clock.getMonotonicMs();
    orders.set(serverId, {stage, atMs: lastOrderMs});
  }

  function checkPlan(): void {
    timer = clock.schedule(CHECK_INTERVAL_MS, checkPlan);
    if (isApplying || !options.isStateCurrent()) return;
    const nowMs = clock.getMonotonicMs();
    expireOrders(nowMs);
    const plans = listPlans();
    const changes = plans.flatMap(plan => plan.changes);
    const due = listSettled(changes, nowMs);
    if (due.length === 0 || nowMs < pausedUntilMs) return;
    isApplying = true;
    void applyChanges(due, plans).finally(() => {
      isApplying = false;
    });
  }

  /** Lists the changes that have stayed planned for long enough; each change is timed separately. */
  function listSettled(
    changes: readonly StageChange[],
    nowMs: number,
  ): StageChange[] {
    const keys = new Set(changes.map(formatChange));
    for (const key of plannedSinceMs.keys()) {
      if (!keys.has(key)) plannedSinceMs.delete(key);
    }
    const delayMs = getNodeDelayMs();
    return changes.filter(change => {
      const key = formatChange(change);
      const sinceMs = plannedSinceMs.get(key) ?? nowMs;
      plannedSinceMs.set(key, sinceMs);
      return nowMs - sinceMs >= getSettleMs(change.server) + delayMs;
    });
  }

  function listPlans(): StagePlan[] {
    const services = state.getConfig()?.services ?? [];
    return services.flatMap(({name, engine, scaling}) =>
      engine === undefined
        ? []
        : [createPlan(name, engine, scaling !== undefined)],
    );
  }

  function createPlan(
    service: string,
    engine: EngineLimits,
    isScaled: boolean,
  ): StagePlan {
    const load = options.tryGetLoad(service, engine);
    const engines = state.listUsable(service).map(applyOrder);
    const keepsStages = !isScaled && engines.length >= MIN_KEPT_ENGINES;
    const changesEarly = isScaled || keepsStages;
    const plan = planStages(engines, {
      keepsStages,
      ...(changesEarly ? {busyUtilization: EARLY_BUSY_UTILIZATION} : {}),
      maxMissingFraction: isStarting() ? 0 : SERVING_MAX_MISSING_FRACTION,
      tryGetLimitPerS: options.limits.tryGetLimitPerS,
      tryGetTimeFactor,
      canExchange: canExchange(),
      ...(load === undefined ? {} : {load}),
    });
    logSplit(service, plan);
    return plan;
  }

  /** Returns the factor that was last planned with unless it has changed much since. */
  function tryGetTimeFactor(engine: BackendEntry): number | undefined {
    const current = options.tryGetTimeFactor(engine);
    if (current === undefined) {
      timeFactors.delete(engine.id);
      return undefined;
    }
    const known = timeFactors.get(engine.id) ?? 0;
    const isClose =
      Math.max(current / known, known / current) < MIN_FACTOR_CHANGE;
    if (isClose) return known;
    timeFactors.set(engine.id, current);
    return current;
  }

  function canExchange(): boolean {
    const sinceMs = clock.getMonotonicMs() - lastOrderMs;
    return !isStarting() && orders.size === 0 && sinceMs > EXCHANGE_INTERVAL_MS;
  }

  /** Logs the planned split when it or its cause has changed. */
  function logSplit(service: string, {split, limitedCount}: StagePlan): void {
    if (split === undefined) return;
    const key = `${split.best} ${split.generating} ${split.cause}`;
    if (loggedSplits.get(service) === key) return;
    loggedSplits.set(service, key);
    logger.log('info', 'engine split planned', {
      service,
      limitedCount,
      ...split,
    });
  }

  /** Replaces an engine's reported stage by the one that it was ordered to. */
  function applyOrder(entry: BackendEntry): BackendEntry {
    const order = orders.get(entry.id);
    return order === undefined ? entry : {...entry, stage: order.stage};
  }

  function isStarting(): boolean {
    return clock.getMonotonicMs() - startedAtMs < STARTUP_MS;
  }

  function getNodeDelayMs(): number {
    return Math.min(
      MAX_NODE_DELAY_MS,
      NODE_DELAY_MS * options.countNodesBefore(),
    );
  }

  function getSettleMs({service}: BackendEntry): number {
    if (isStarting()) return STARTUP_SETTLE_MS;
    const isScaled = state.tryGetService(service)?.scaling !== undefined;
    return isScaled ? SCALED_SETTLE_MS : SERVING_SETTLE_MS;
  }

  async function applyChanges(
    changes: readonly StageChange[],
    plans: readonly StagePlan[],
  ): Promise<void> {
    const grant = await options.authority.tryAcquire();
    if (grant.err) {
      pausedUntilMs = clock.getMonotonicMs() + DENIED_RETRY_MS;
      logger.log('info', 'authority over stages not granted', {
        reason: grant.val.reason,
        detail: grant.val.message,
      });
      return;
    }
    logger.log('info', 'authority over stages granted', {
      fencingNumber: grant.val.fencingNumber,
      plan: plans.map(formatPlan).join(' '),
    });
    await Promise.all(changes.map(change => sendOrder(change, grant.val)));
  }

  async function sendOrder(change: StageChange, grant: Grant): Promise<void> {
    const {server, stage} = change;
    if (options.pauses.isPaused(server)) {
      logger.log('info', 'stage order not sent: engine requested a pause', {
        serverId: server.id,
      });
      return;
    }
    if (!options.limits.canSend(server)) {
      logger.log('info', 'stage order not sent: engine limits its requests', {
        serverId: server.id,
      });
      return;
    }
    const report = await readReport(server);
    if (report === undefined || report.isBusy || report.stage === stage) {
      logger.log(
        'info',
        'stage order not sent: engine gave no report, is busy or already in the stage',
        {
          serverId: server.id,
          report: report === undefined ? 'none' : {...report},
        },
      );
      return;
    }
    if (!grant.isValid()) {
      logger.log(
        'warn',
        'stage order not sent: authority over stages expired',
        {
          fencingNumber: grant.fencingNumber,
        },
      );
      return;
    }
    recordOrder(server.id, stage);
    options.onOrder(server.id, stage);
    const answer = await sendControlCall(
      options.connections,
      clock,
      server,
      options.protocol.buildStageOrderCall({
        serverId: server.id,
        stage,
        holder: options.nodeName,
        fencingNumber: grant.fencingNumber,
        acceptedOrders: report.acceptedOrders,
      }),
      ORDER_TIMEOUT_MS,
    );
    logger.log('info', 'stage order sent', {
      serverId: server.id,
      stage,
      fencingNumber: grant.fencingNumber,
      acceptedOrders: report.acceptedOrders,
      status: answer?.status ?? 'no answer',
    });
    // Without a response the engine may still carry out the order, so it is kept.
    const isRefused =
      answer !== undefined && answer.status !== 200 && answer.status !== 202;
    if (isRefused) orders.delete(server.id);
  }

  async function readReport(
    server: BackendEntry,
  ): Promise<StageReport | undefined> {
    const answer = await sendControlCall(
      options.connections,
      clock,
      server,
      options.protocol.buildReportCall(server.id),
      ORDER_TIMEOUT_MS,
    );
    if (answer?.status !== 200) return undefined;
    return options.protocol.parseReport(answer.body);
  }

  function expireOrders(nowMs: number): void {
    for (const [id, order] of orders) {
      const entry = state.tryGetUsable(id);
      const isEffective = entry?.stage === order.stage;
      if (isEffective || nowMs - order.atMs > ORDER_EXPIRY_MS)
        orders.delete(id);
    }
  }

  function isChanging(serverId: string): boolean {
    const order = orders.get(serverId);
    return (
      order !== undefined && state.tryGetUsable(serverId)?.stage !== order.stage
    );
  }
}

function formatChange({server, stage}: StageChange): string {
  return `${server.id}>${stage}`;
}

function formatPlan(plan: StagePlan): string {
  const ids = plan.changes.map(formatChange);
  return `decode ${plan.currentDecode}/${plan.wantedDecode} ${ids.join(',')}`;
}
