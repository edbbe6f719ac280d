/** Keeps the state of one scaled service and lists the orders that are due. */
import {createNeedMeter} from './need_meter';
import {createOrderBook} from './order_book';
import {planServers} from './plan_servers';
import {planWanted} from './plan_wanted';
import {getServerPrice} from './scaling_limits';
import type {
  DomainState,
  ListedServer,
  OrderedDomain,
  ScalingLimits,
  ServerLoad,
  ServerNeed,
  ServerOrder,
} from './types';

/** What is known about a service at one moment. */
export interface ServiceView {
  readonly limits: ScalingLimits;
  readonly hasStages: boolean;
  readonly listed: readonly ListedServer[];
  /** Undefined when the load is unknown. */
  readonly load: ServerLoad | undefined;
  /** Number of prefill engines whose KV memory the shared prompt parts in use need. */
  readonly minPrefill: number;
}

/** Orders that are due, with the inputs of the plan. */
export interface ServicePlan {
  readonly orders: readonly ServerOrder[];
  readonly domains: readonly DomainState[];
  readonly need: ServerNeed | undefined;
  readonly minAfterLoss: number;
}

/** State of one scaled service. */
export interface ServiceScaler {
  /** Takes the listed servers and the load into account. */
  update(view: ServiceView, nowMs: number): void;
  /** Starts from the listed servers, unless another node has told its orders. */
  start(nowMs: number): void;
  isStarted(): boolean;
  plan(view: ServiceView, nowMs: number): ServicePlan;
  recordOrder(order: ServerOrder, nowMs: number, isConfirmed: boolean): void;
  recordRefusal(order: ServerOrder, nowMs: number): void;
  listOrdered(): OrderedDomain[];
  list(nowMs: number): readonly DomainState[];
  /** Takes over the numbers of another node. */
  apply(domains: readonly OrderedDomain[], nowMs: number): void;
}

/** Least number of engines in each failure domain: two of each stage. */
const MIN_ENGINES_PER_DOMAIN = 4;
/** Time between two releases, in milliseconds: servers that start one after another are replaced together. */
const RELEASE_INTERVAL_MS = 1_000;
/** Time during which most servers are kept, in milliseconds: the prompt parts that requests share are not known yet. */
const START_PHASE_MS = 30_000;
/** Fraction of the servers present at the start that is kept during that time. */
const START_PHASE_FRACTION = 0.75;
/** Fraction of the servers present at the start that counts as the need while the load is unknown. */
const UNKNOWN_NEED_FRACTION = 0.5;
/** Largest fraction of the wanted servers that must remain after a loss: at the utilization aimed at, it runs the load. Beyond it, as in a burst, more reclaimable servers help sooner than other kinds. */
const MAX_LOSS_FRACTION = 0.625;

/** Creates the state of a service; `service` is its name. */
export function createServiceScaler(service: string): ServiceScaler {
  const book = createOrderBook();
  const meter = createNeedMeter();
  let startedAtMs: number | undefined;
  let startCount = 0;
  let releasedAtMs = Number.NEGATIVE_INFINITY;
  return {
    update,
    start,
    isStarted: () => startedAtMs !== undefined,
    plan,
    recordOrder: (order, nowMs, isConfirmed) => {
      if (book.getDesired(order) > order.count) releasedAtMs = nowMs;
      book.recordOrder(order, nowMs, isConfirmed);
    },
    recordRefusal: book.recordRefusal,
    listOrdered: book.listOrdered,
    list: nowMs => book.list(0, nowMs),
    apply: (domains, nowMs) => {
      book.apply(domains, nowMs);
      if (startedAtMs === undefined) setStarted(nowMs);
    },
  };

  function update(view: ServiceView, nowMs: number): void {
    for (const domain of Object.keys(view.limits.domainPrices)) {
      book.add(domain);
    }
    book.update(view.listed, nowMs);
    meter.record(nowMs, view.load);
  }

  function start(nowMs: number): void {
    if (startedAtMs !== undefined) return;
    book.start(nowMs);
    setStarted(nowMs);
  }

  function setStarted(nowMs: number): void {
    startedAtMs = nowMs;
    startCount = book.listOrdered().reduce((sum, {wanted}) => sum + wanted, 0);
  }

  function plan(view: ServiceView, nowMs: number): ServicePlan {
    const {limits, minPrefill} = view;
    const need = meter.tryGetNeed(nowMs, limits.startupMs, minPrefill);
    if (need === undefined) book.addLateServers(nowMs);
    else updateWanted(view, need, nowMs);
    const domains = book.list(limits.startupMs, nowMs);
    const minAfterLoss = getMinAfterLoss(domains, need);
    const canRelease = nowMs - releasedAtMs >= RELEASE_INTERVAL_MS;
    const orders = planServers({
      service,
      limits,
      domains,
      minAfterLoss,
      canRelease,
    });
    return {orders, domains, need, minAfterLoss};
  }

  function getMinAfterLoss(
    domains: readonly DomainState[],
    need: ServerNeed | undefined,
  ): number {
    const unknownNeed = Math.ceil(UNKNOWN_NEED_FRACTION * startCount);
    if (need?.peak === undefined) return unknownNeed;
    const wanted = domains.reduce((sum, domain) => sum + domain.wanted, 0);
    return Math.min(need.bare, Math.ceil(MAX_LOSS_FRACTION * wanted));
  }

  function updateWanted(
    {limits, hasStages}: ServiceView,
    need: ServerNeed,
    nowMs: number,
  ): void {
    const isStarting = nowMs - (startedAtMs ?? nowMs) < START_PHASE_MS;
    const wanted = planWanted({
      limits,
      need,
      domains: book.listOrdered().map(({failureDomain, wanted: count}) => ({
        failureDomain,
        wanted: count,
        canDecrease: book.canDecrease(failureDomain, nowMs),
      })),
      minPerDomain: hasStages ? MIN_ENGINES_PER_DOMAIN : 0,
      minTotal: isStarting ? Math.ceil(START_PHASE_FRACTION * startCount) : 0,
    });
    for (const [failureDomain, count] of wanted) {
      book.setWanted(failureDomain, count, nowMs);
    }
  }
}

/** Returns the price of all ordered servers for one second. */
export function computeOrderedPrice(
  limits: ScalingLimits,
  domains: readonly DomainState[],
): number {
  return domains.reduce(
    (sum, {failureDomain, ordinary, reclaimable}) =>
      sum +
      ordinary.desired * getServerPrice(limits, failureDomain, false) +
      reclaimable.desired * getServerPrice(limits, failureDomain, true),
    0,
  );
}
