/**
 * Orders backend servers. All nodes know what was ordered; the one with the
 * lowest name acts, and the next ones take over when it is silent and orders
 * stay due.
 */
import type {Logger} from '../diagnostics/log';
import type {Authority} from '../duties';
import {PLANNER_COUNT} from '../planning/planner_count';
import type {Clock, Timer} from '../runtime/types';
import {logServerOrder} from './order_log';
import {isOrderedServers} from './ordered_message';
import {createLimitChecks} from './scaling_limits';
import {
  type OrderOutcome,
  sendOrders,
  type SendServerOrder,
} from './send_orders';
import {
  createServiceScaler,
  type ServicePlan,
  type ServiceScaler,
  type ServiceView,
} from './service_scaler';
import {YIELD_MS} from '../duties/call_failures';
import {createSuccession} from './succession';
import type {
  DomainState,
  ListedServer,
  OrderedServers,
  ScaledService,
  ServerLoad,
  ServerOrder,
} from './types';

/** Orders backend servers. */
export interface Scaling {
  start(): void;
  /** Handles what another node has ordered. */
  handle(message: OrderedServers): void;
  /** Lists the services with their failure domains. */
  list(): Array<{service: string; domains: readonly DomainState[]}>;
  stop(): void;
}

/** Options of scaling. */
export interface ScalingOptions {
  readonly nodeName: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly authority: Pick<Authority, 'tryAcquire'>;
  readonly sendOrder: SendServerOrder;
  /** Minimum time between the orders of two different holders, in milliseconds. */
  readonly leaseMs: number;
  /** True only when the whole system is started for the first time. */
  readonly isFirstStart: boolean;
  readonly listServices: () => readonly ScaledService[];
  readonly listServers: (service: string) => readonly ListedServer[];
  /** Returns the load of the whole fleet; undefined when unknown. */
  readonly tryGetLoad: (service: string) => ServerLoad | undefined;
  /** Returns the number of engines whose KV memory the shared prompt parts in use need; 0 when unknown. */
  readonly countCacheEngines: (service: string) => number;
  /** Returns a text that changes with the configuration and the number of listed servers. */
  readonly getStateKey: () => string;
  /** True while this node's copy of the store's state is recent enough to plan with. */
  readonly isStateCurrent: () => boolean;
  /** Counts the known nodes whose names sort before this node's. */
  readonly countNodesBefore: () => number;
  /** Tells the nodes that may take over, or all of them. */
  readonly notify: (message: OrderedServers, isForAll: boolean) => void;
  readonly onOutcome: (outcome: OrderOutcome | 'denied') => void;
}

/** Interval at which the plan is checked, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** How long the servers and the configuration must be unchanged before the first order, in milliseconds; longer when other nodes may know of earlier orders. */
const FIRST_START_SETTLE_MS = 1_000;
const RESTART_SETTLE_MS = 2_500;
/** Time after which the first order no longer waits for that, in milliseconds: servers may come and go all the time. */
const MAX_SETTLE_MS = 10_000;
/** Interval at which the acting node tells the nodes that may take over what it has ordered, in milliseconds. */
const NOTIFY_INTERVAL_MS = 1_000;

/** Creates the scaling of all services that the configuration lists. */
export function createScaling(options: ScalingOptions): Scaling {
  const {clock, logger, nodeName} = options;
  const startedAtMs = clock.getMonotonicMs();
  const succession = createSuccession({
    nodeName,
    leaseMs: options.leaseMs,
    startedAtMs,
    countNodesBefore: options.countNodesBefore,
  });
  const scalers = new Map<string, ServiceScaler>();
  const limitChecks = createLimitChecks(logger);
  /** When orders of this node became due, by service. */
  const dueSinceMs = new Map<string, number>();
  /** Highest fencing number known for each service. */
  const fencingNumbers = new Map<string, number>();
  let stateKey = '';
  let stateSinceMs = 0;
  let notifiedAtMs = Number.NEGATIVE_INFINITY;
  let isSending = false;
  let timer: Timer | undefined;
  return {
    start: check,
    handle,
    list: () =>
      [...scalers].map(([service, scaler]) => ({
        service,
        domains: scaler.list(clock.getMonotonicMs()),
      })),
    stop: () => timer?.cancel(),
  };

  function check(): void {
    timer = clock.schedule(CHECK_INTERVAL_MS, check);
    const nowMs = clock.getMonotonicMs();
    const isSettled = updateSettled(nowMs);
    if (!options.isStateCurrent()) return;
    for (const service of options.listServices()) {
      const view = tryCreateView(service);
      if (view === undefined) continue;
      const scaler = getScaler(service.name);
      scaler.update(view, nowMs);
      if (isSettled && view.listed.length > 0 && !scaler.isStarted()) {
        scaler.start(nowMs);
        succession.recordReady(nowMs);
      }
      const isActing = scaler.isStarted() && succession.canAct(nowMs);
      if (isActing && !isSending) {
        checkService(service, scaler.plan(view, nowMs), nowMs);
      }
    }
    if (!succession.canNotify(nowMs)) return;
    if (nowMs - notifiedAtMs >= NOTIFY_INTERVAL_MS) {
      notifiedAtMs = nowMs;
      for (const service of scalers.keys()) notify(service, false);
    }
  }

  function updateSettled(nowMs: number): boolean {
    // A node that has not heard of the others yet takes itself for the first one.
    const isFirst = options.countNodesBefore() === 0;
    const key = `${isFirst} ${options.getStateKey()}`;
    if (key !== stateKey) {
      stateKey = key;
      stateSinceMs = nowMs;
    }
    const settleMs = options.isFirstStart
      ? FIRST_START_SETTLE_MS
      : RESTART_SETTLE_MS;
    return (
      nowMs - stateSinceMs >= settleMs || nowMs - startedAtMs >= MAX_SETTLE_MS
    );
  }

  function tryCreateView(service: ScaledService): ServiceView | undefined {
    const {name, hasStages} = service;
    const limits = limitChecks.tryGet(service);
    if (limits === undefined) return undefined;
    // Only the first nodes receive the load of the whole fleet.
    const isPlanner = options.countNodesBefore() < PLANNER_COUNT;
    return {
      limits,
      hasStages,
      listed: options.listServers(name),
      load: isPlanner ? options.tryGetLoad(name) : undefined,
      minPrefill: options.countCacheEngines(name),
    };
  }

  function checkService(
    service: ScaledService,
    {orders}: ServicePlan,
    nowMs: number,
  ): void {
    const {name} = service;
    if (orders.length === 0) {
      dueSinceMs.delete(name);
      if (dueSinceMs.size === 0) succession.recordGranted();
      return;
    }
    const sinceMs = dueSinceMs.get(name) ?? nowMs;
    dueSinceMs.set(name, sinceMs);
    if (!succession.canSend(sinceMs, nowMs)) return;
    isSending = true;
    void sendDueOrders(service).finally(() => {
      isSending = false;
    });
  }

  async function sendDueOrders(service: ScaledService): Promise<void> {
    const grant = await options.authority.tryAcquire();
    if (grant.err) {
      const {reason, message} = grant.val;
      succession.recordDenied(reason, clock.getMonotonicMs());
      options.onOutcome('denied');
      logger.log('info', 'authority over servers not granted', {
        service: service.name,
        reason,
        detail: message,
      });
      return;
    }
    const {fencingNumber} = grant.val;
    succession.recordGranted();
    fencingNumbers.set(service.name, fencingNumber);
    // The store may have taken long to answer.
    const view = tryCreateView(service);
    if (view === undefined) return;
    const scaler = getScaler(service.name);
    const plan = scaler.plan(view, clock.getMonotonicMs());
    await sendOrders(plan.orders, {
      holder: nodeName,
      grant: grant.val,
      send: options.sendOrder,
      onOutcome: (order, outcome, message) => {
        logServerOrder(logger, {
          order,
          outcome,
          detail: message,
          view,
          plan,
          fencingNumber,
        });
        recordOutcome(scaler, order, outcome);
      },
    });
    notify(service.name, true);
  }

  function recordOutcome(
    scaler: ServiceScaler,
    order: ServerOrder,
    outcome: OrderOutcome,
  ): void {
    const nowMs = clock.getMonotonicMs();
    options.onOutcome(outcome);
    if (outcome === 'ordered' || outcome === 'unknown') {
      scaler.recordOrder(order, nowMs, outcome === 'ordered');
    }
    if (outcome === 'none-available') scaler.recordRefusal(order, nowMs);
    if (!succession.recordOutcome(outcome, nowMs)) return;
    logger.log('warn', 'orders of servers left to other nodes', {
      reason: 'the platform does not answer this node',
      durationMs: YIELD_MS,
    });
  }

  function handle(message: OrderedServers): void {
    if (!isOrderedServers(message)) {
      logger.log('warn', 'message about ordered servers is malformed');
      return;
    }
    const {from, service, fencingNumber} = message;
    if (!options.listServices().some(({name}) => name === service)) return;
    const nowMs = clock.getMonotonicMs();
    succession.recordHeard(from, nowMs);
    const known = fencingNumbers.get(service) ?? 0;
    const isNewer =
      fencingNumber > known || (fencingNumber === known && from < nodeName);
    if (!isNewer || isSending) return;
    fencingNumbers.set(service, fencingNumber);
    getScaler(service).apply(message.domains, nowMs);
  }

  function notify(service: string, isForAll: boolean): void {
    const scaler = scalers.get(service);
    if (scaler === undefined || !scaler.isStarted()) return;
    options.notify(
      {
        from: nodeName,
        service,
        fencingNumber: fencingNumbers.get(service) ?? 0,
        domains: scaler.listOrdered(),
      },
      isForAll,
    );
  }

  function getScaler(service: string): ServiceScaler {
    const scaler = scalers.get(service) ?? createServiceScaler(service);
    scalers.set(service, scaler);
    return scaler;
  }
}
