/** Brings the engines to the planned stages, one holder of authority at a time. */
import type {Logger} from '../diagnostics/log';
import type {StageLoad} from '../planning/stage_split';
import type {Clock, Timer} from '../runtime/types';
import type {Authority, Grant} from './authority';
import type {Connections} from './connections';
import type {FleetState} from './fleet_state';
import {sendControlCall} from './control_call';
import type {ServerPauses} from './server_pauses';
import {planStages, type StageChange, type StagePlan} from './stage_plan';
import {
  type BackendEntry,
  type BackendProtocol,
  type EngineLimits,
  EngineStage,
  type StageReport,
} from './types';

/** Control of the engines' stages. */
export interface StageControl {
  start(): void;
  /** Takes note of an order that another node gave. */
  recordOrder(serverId: string, stage: EngineStage): void;
  /** True while an engine is on its way to another stage. */
  isChanging(serverId: string): boolean;
  stop(): void;
}

/** Options of the control. */
export interface StageControlOptions {
  readonly nodeName: string;
  readonly state: FleetState;
  readonly authority: Authority;
  readonly connections: Connections;
  readonly pauses: ServerPauses;
  readonly protocol: BackendProtocol;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Number of known nodes whose names come before this node's. */
  readonly countNodesBefore: () => number;
  /** True while this node knows the state of the store. */
  readonly isStateCurrent: () => boolean;
  /** Returns how many engines the work that arrives keeps busy; undefined when unknown. */
  readonly tryGetLoad: (
    service: string,
    engine: EngineLimits,
  ) => StageLoad | undefined;
  readonly onOrder: (serverId: string, stage: EngineStage) => void;
}

/** Interval of looking at the plan, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** How long a plan must stand before orders are given, in milliseconds: the list settles after a start. */
const STARTUP_SETTLE_MS = 1_500;
/** How much later each further node gives orders, in milliseconds, and at most. */
const NODE_DELAY_MS = 700;
const MAX_NODE_DELAY_MS = 5_000;
/** How long after the start of the system changes of single engines are worth their cost, in milliseconds. */
const STARTUP_MS = 9_000;
/** Part of the wanted generating engines that may be missing while requests are served. */
const SERVING_MAX_MISSING_FRACTION = 0.4;
/** How long a plan must stand while requests are served, in milliseconds: new and crashed engines come one after another. */
const SERVING_SETTLE_MS = 2_500;
/** Longest wait for an engine's answer, in milliseconds. */
const ORDER_TIMEOUT_MS = 500;
/** Time after which an order that shows no effect is forgotten, in milliseconds: a change and some heartbeats. */
const ORDER_EXPIRY_MS = 9_000;
/** Pause after authority was denied, in milliseconds. */
const DENIED_RETRY_MS = 1_000;

/** Creates the control. */
export function createStageControl(options: StageControlOptions): StageControl {
  const {state, clock, logger} = options;
  const orders = new Map<string, {stage: EngineStage; atMs: number}>();
  const startedAtMs = clock.getMonotonicMs();
  /** When each planned change was first seen. */
  const plannedSinceMs = new Map<string, number>();
  /** The last split of each service that was logged. */
  const loggedSplits = new Map<string, string>();
  let isApplying = false;
  let pausedUntilMs = 0;
  let timer: Timer | undefined;
  return {
    start: checkPlan,
    recordOrder: (serverId, stage) => {
      orders.set(serverId, {stage, atMs: clock.getMonotonicMs()});
    },
    isChanging,
    stop: () => timer?.cancel(),
  };

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

  /** Lists the changes that have been planned for long enough, each by itself. */
  function listSettled(
    changes: readonly StageChange[],
    nowMs: number,
  ): StageChange[] {
    const keys = new Set(changes.map(formatChange));
    for (const key of plannedSinceMs.keys()) {
      if (!keys.has(key)) plannedSinceMs.delete(key);
    }
    const delayMs = getDelayMs();
    return changes.filter(change => {
      const key = formatChange(change);
      const sinceMs = plannedSinceMs.get(key) ?? nowMs;
      plannedSinceMs.set(key, sinceMs);
      return nowMs - sinceMs >= delayMs;
    });
  }

  function listPlans(): StagePlan[] {
    const services = state.getConfig()?.services ?? [];
    return services.flatMap(({name, engine}) =>
      engine === undefined ? [] : [createPlan(name, engine)],
    );
  }

  function createPlan(service: string, engine: EngineLimits): StagePlan {
    const load = options.tryGetLoad(service, engine);
    const plan = planStages(state.listUsable(service).map(applyOrder), {
      maxMissingFraction: isStarting() ? 0 : SERVING_MAX_MISSING_FRACTION,
      ...(load === undefined ? {} : {load}),
    });
    logSplit(service, plan);
    return plan;
  }

  /** Writes a line when the split that fits the load, or the reason to keep the present one, has changed. */
  function logSplit(service: string, {split}: StagePlan): void {
    if (split === undefined) return;
    const key = `${split.best} ${split.generating} ${split.cause}`;
    if (loggedSplits.get(service) === key) return;
    loggedSplits.set(service, key);
    logger.log('info', 'split of the engines was planned', {
      service,
      ...split,
    });
  }

  /** Counts an engine under the stage that it was ordered to. */
  function applyOrder(entry: BackendEntry): BackendEntry {
    const order = orders.get(entry.id);
    return order === undefined ? entry : {...entry, stage: order.stage};
  }

  function isStarting(): boolean {
    return clock.getMonotonicMs() - startedAtMs < STARTUP_MS;
  }

  function getDelayMs(): number {
    const nodeDelayMs = Math.min(
      MAX_NODE_DELAY_MS,
      NODE_DELAY_MS * options.countNodesBefore(),
    );
    return (isStarting() ? STARTUP_SETTLE_MS : SERVING_SETTLE_MS) + nodeDelayMs;
  }

  async function applyChanges(
    changes: readonly StageChange[],
    plans: readonly StagePlan[],
  ): Promise<void> {
    const grant = await options.authority.tryAcquire();
    if (grant.err) {
      pausedUntilMs = clock.getMonotonicMs() + DENIED_RETRY_MS;
      logger.log('info', 'authority over stages was not granted', {
        reason: grant.val.reason,
        detail: grant.val.message,
      });
      return;
    }
    logger.log('info', 'authority over stages was granted', {
      fencingNumber: grant.val.fencingNumber,
      plan: plans.map(formatPlan).join(' '),
    });
    await Promise.all(changes.map(change => sendOrder(change, grant.val)));
  }

  async function sendOrder(change: StageChange, grant: Grant): Promise<void> {
    const {server, stage} = change;
    if (options.pauses.isPaused(server)) {
      logger.log('info', 'engine gets no order: it asked for a pause', {
        serverId: server.id,
      });
      return;
    }
    const report = await readReport(server);
    if (report === undefined || report.isBusy || report.stage === stage) {
      logger.log('info', 'engine gets no order', {
        serverId: server.id,
        report: report === undefined ? 'none' : {...report},
      });
      return;
    }
    if (!grant.isValid()) {
      logger.log('warn', 'authority over stages has lapsed', {
        fencingNumber: grant.fencingNumber,
      });
      return;
    }
    orders.set(server.id, {stage, atMs: clock.getMonotonicMs()});
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
    logger.log('info', 'stage was ordered', {
      serverId: server.id,
      stage,
      fencingNumber: grant.fencingNumber,
      acceptedOrders: report.acceptedOrders,
      status: answer?.status ?? 'no answer',
    });
    // Without an answer the order may still be carried out, so it is remembered.
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
  return `decode ${plan.presentDecode}/${plan.wantedDecode} ${ids.join(',')}`;
}
