/** A model of the platform and a driver of the plan for the tests of scaling. */
import {
  createServiceScaler,
  type ServiceScaler,
} from '../../src/scaling/service_scaler';
import type {
  ListedServer,
  ScalingLimits,
  ServerLoad,
  ServerOrder,
} from '../../src/scaling/types';

/** Limits like those of the second deployment. */
export const LIMITS: ScalingLimits = {
  minServers: 1,
  maxServers: 28,
  startupMs: 4_000,
  reclaimablePrice: 0.18,
  domainPrices: {a: 1, b: 0.8, c: 1.25},
};

/** Domains of `LIMITS`. */
export const DOMAINS = ['a', 'b', 'c'];

interface ModelServer {
  readonly failureDomain: string;
  readonly isReclaimable: boolean;
  readonly readyAtMs: number;
  leavesAtMs?: number;
  isReclaimed?: boolean;
}

/** Servers of one service as the platform keeps them. */
export interface PlatformModel {
  list(nowMs: number): ListedServer[];
  apply(order: ServerOrder, nowMs: number): void;
  /** Takes all reclaimable servers of a failure domain away; their entries say so unless `isStated` is false. */
  reclaim(failureDomain: string, nowMs: number, isStated: boolean): void;
  computePrice(limits: ScalingLimits, nowMs: number): number;
  /** Counts the servers that accept requests. */
  count(nowMs: number, isReclaimable?: boolean, failureDomain?: string): number;
}

const DRAIN_MS = 2_000;

/** Creates a platform with ordinary servers in each failure domain. */
export function createPlatform(perDomain: number): PlatformModel {
  let servers: ModelServer[] = DOMAINS.flatMap(failureDomain =>
    Array.from({length: perDomain}, () => ({
      failureDomain,
      isReclaimable: false,
      readyAtMs: 0,
    })),
  );
  return {
    list: nowMs =>
      listPresent(nowMs)
        .filter(({readyAtMs}) => readyAtMs <= nowMs)
        .map(({failureDomain, isReclaimable, leavesAtMs, isReclaimed}) => ({
          failureDomain,
          isReclaimable,
          isLeaving: leavesAtMs !== undefined,
          isReclaimed: isReclaimed === true,
        })),
    apply,
    reclaim: (failureDomain, nowMs, isStated) => {
      for (const server of listPresent(nowMs)) {
        if (server.failureDomain !== failureDomain) continue;
        if (!server.isReclaimable) continue;
        server.leavesAtMs ??= nowMs + DRAIN_MS;
        server.isReclaimed = isStated;
      }
    },
    computePrice: (limits, nowMs) =>
      listPresent(nowMs).reduce(
        (sum, {failureDomain, isReclaimable}) =>
          sum +
          limits.domainPrices[failureDomain] *
            (isReclaimable ? (limits.reclaimablePrice ?? 1) : 1),
        0,
      ),
    count: (nowMs, isReclaimable, failureDomain) =>
      listPresent(nowMs).filter(
        server =>
          server.readyAtMs <= nowMs &&
          server.leavesAtMs === undefined &&
          (isReclaimable ?? server.isReclaimable) === server.isReclaimable &&
          (failureDomain ?? server.failureDomain) === server.failureDomain,
      ).length,
  };

  function listPresent(nowMs: number): ModelServer[] {
    servers = servers.filter(({leavesAtMs = Infinity}) => leavesAtMs > nowMs);
    return servers;
  }

  function apply(order: ServerOrder, nowMs: number): void {
    const active = listPresent(nowMs).filter(
      server =>
        server.failureDomain === order.failureDomain &&
        server.isReclaimable === order.isReclaimable &&
        server.leavesAtMs === undefined,
    );
    for (const server of active.slice(order.count)) {
      server.leavesAtMs = nowMs + DRAIN_MS;
    }
    for (let index = active.length; index < order.count; index++) {
      const {failureDomain, isReclaimable} = order;
      const readyAtMs = nowMs + LIMITS.startupMs;
      servers.push({failureDomain, isReclaimable, readyAtMs});
    }
  }
}

/** What a simulated run has done. */
export interface Run {
  readonly platform: PlatformModel;
  readonly scaler: ServiceScaler;
  readonly orders: Array<ServerOrder & {readonly atMs: number}>;
  /** Number of servers that accept requests, by step. */
  readonly readyCounts: number[];
}

/** Options of a simulated run. */
export interface RunOptions {
  readonly durationMs: number;
  readonly limits?: ScalingLimits;
  readonly perDomain?: number;
  readonly getLoad: (nowMs: number) => ServerLoad | undefined;
  /** Called before each step, to disturb the platform. */
  readonly onStep?: (run: Run, nowMs: number) => void;
  /** Returns false when the platform has none to give. */
  readonly canGive?: (order: ServerOrder, nowMs: number) => boolean;
}

const STEP_MS = 250;

/** Runs the plan against the model of the platform; every order is answered immediately. */
export function runPlan(options: RunOptions): Run {
  const {limits = LIMITS, canGive = () => true} = options;
  const platform = createPlatform(options.perDomain ?? 14);
  const scaler = createServiceScaler('llm');
  const run: Run = {platform, scaler, orders: [], readyCounts: []};
  for (let nowMs = 0; nowMs <= options.durationMs; nowMs += STEP_MS) {
    options.onStep?.(run, nowMs);
    const view = {
      limits,
      hasStages: true,
      listed: platform.list(nowMs),
      load: options.getLoad(nowMs),
      minPrefill: 0,
    };
    scaler.update(view, nowMs);
    scaler.start(nowMs);
    for (const order of scaler.plan(view, nowMs).orders) {
      run.orders.push({...order, atMs: nowMs});
      if (canGive(order, nowMs)) {
        platform.apply(order, nowMs);
        scaler.recordOrder(order, nowMs, true);
      } else {
        scaler.recordRefusal(order, nowMs);
      }
    }
    run.readyCounts.push(platform.count(nowMs));
  }
  return run;
}

/** Returns a load that arrives evenly in all failure domains. */
export function createLoad(
  prefillEngines: number,
  decodeEngines: number,
): ServerLoad {
  return {prefillEngines, decodeEngines, domainShares: {a: 1, b: 1, c: 1}};
}
