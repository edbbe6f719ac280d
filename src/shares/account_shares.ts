/**
 * The accounts' shares as one node knows them, of the engines and of each plain service. Nodes
 * report arriving work to the planning nodes; the first of those announces the accounts over their
 * shares while engines or servers are short.
 */
import type {Logger} from '../diagnostics/log';
import type {Clock, Timer} from '../runtime/types';
import {isSharePlan, isShareReport, MAX_SERVICES} from './check_shares';
import {computeSharePlan, SERVICE_TARGET_MULTIPLE} from './plan_shares';
import {
  createSharePool,
  PLAN_INTERVAL_MS,
  type PlannedPool,
  type SharePool,
} from './share_pool';
import {createToldCallers, type ToldCallers} from './told_callers';
import type {PoolPlan, SharePlan, ShareReport} from './types';

/** The shares at one node; those of a pool are the engines'. */
export interface AccountShares extends SharePool {
  /** The callers that this node refused. */
  readonly told: ToldCallers;
  start(): void;
  /** Returns the shares of a plain service. */
  getService(service: string): SharePool;
  /** Returns the same if there have been requests of the service. */
  tryGetService(service: string): SharePool | undefined;
  /** Creates this node's report; undefined without accounts or while engines and servers suffice. */
  tryCreateReport(): ShareReport | undefined;
  /** Handles a plan that another node has announced. */
  handlePlan(from: string, plan: unknown): void;
  stop(): void;
}

/** Options of the shares. */
export interface AccountSharesOptions {
  readonly nodeName: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /** True when the configuration has client accounts. */
  readonly hasAccounts: () => boolean;
  /** Counts the nodes that announce plans before this one; undefined when this node receives no reports. */
  readonly tryCountPlannersBefore: () => number | undefined;
  /** Lists the recent reports of all nodes, this one included. */
  readonly listReports: () => readonly unknown[];
  /** Announces a plan to the other nodes. */
  readonly notify: (plan: SharePlan) => void;
}

/** Silence of the planning nodes before it after which a node announces plans itself, in milliseconds, for each of them: with a check each second, the third begins before plans expire. */
const TAKEOVER_MS = 400;
/** Accounts of each plain service in a report, which goes into the same datagram as that of the engines. */
const MAX_SERVICE_ACCOUNTS = 12;

/** Creates shares without any news. */
export function createAccountShares(
  options: AccountSharesOptions,
): AccountShares {
  const {clock, logger} = options;
  const engines = createSharePool(clock);
  /** By name; the configuration has a few. */
  const services = new Map<string, PlannedPool>();
  /** True when this node announced the last plan. */
  let isOwnPlan = false;
  let invalidCount = 0;
  let timer: Timer | undefined;
  return {
    ...engines,
    told: createToldCallers(),
    getService: getPool,
    tryGetService: service => services.get(service),
    start: runPlanning,
    tryCreateReport,
    handlePlan,
    stop: () => timer?.cancel(),
  };

  function getPool(service: string): PlannedPool {
    const pool =
      services.get(service) ?? createSharePool(clock, SERVICE_TARGET_MULTIPLE);
    services.set(service, pool);
    return pool;
  }

  function tryCreateReport(): ShareReport | undefined {
    if (!options.hasAccounts()) return undefined;
    const report = engines.tryCreateReport();
    const parts = [...services].flatMap(([service, pool]) => {
      const part = pool.tryCreateReport(MAX_SERVICE_ACCOUNTS);
      return part === undefined ? [] : [{service, ...part}];
    });
    if (parts.length === 0) return report;
    return {
      ...(report ?? engines.createReport()),
      services: parts.slice(0, MAX_SERVICES),
    };
  }

  function handlePlan(from: string, plan: unknown): void {
    if (!isSharePlan(plan)) {
      recordInvalid({from});
      return;
    }
    if (!options.hasAccounts()) return;
    applyPlan(from, plan);
  }

  function recordInvalid(fields: Readonly<Record<string, unknown>>): void {
    invalidCount++;
    logger.log('warn', 'account shares of another node are malformed', {
      ...fields,
      invalidCount,
    });
  }

  function applyPlan(from: string, plan: SharePlan): void {
    isOwnPlan = from === options.nodeName;
    if (engines.applyPlan(plan)) logPlan(from, plan);
    for (const part of plan.services ?? []) {
      const {service} = part;
      // Without requests of the service here, nothing depends on its shares.
      if (services.get(service)?.applyPlan(part)) logPlan(from, part, service);
    }
  }

  /** Logs a plan that lists other accounts than the one before. */
  function logPlan(from: string, plan: PoolPlan, service?: string): void {
    logger.log('info', 'account shares applied', {
      from,
      service,
      shares: plan.shares.map(({account, rank, fraction}) => ({
        account,
        rank,
        share: Number(fraction.toFixed(3)),
      })),
      arrivedMs: plan.arrivedMs,
      startedMs: plan.startedMs,
    });
  }

  function runPlanning(): void {
    timer = clock.schedule(PLAN_INTERVAL_MS, runPlanning);
    if (!options.hasAccounts()) return;
    const before = options.tryCountPlannersBefore();
    if (before === undefined) return;
    const silenceMs = PLAN_INTERVAL_MS + before * TAKEOVER_MS;
    if (before > 0 && !isOwnPlan && engines.hasPlan(silenceMs)) return;
    const listed = options.listReports();
    const reports = listed.filter(isShareReport);
    const invalidReports = listed.length - reports.length;
    if (invalidReports > 0) recordInvalid({invalidReports});
    const parts = createServicePlans(reports);
    if (parts.length === 0 && !reports.some(report => report.isShort)) return;
    const plan = {
      ...computeSharePlan(reports),
      ...(parts.length === 0 ? {} : {services: parts}),
    };
    applyPlan(options.nodeName, plan);
    options.notify(plan);
  }
}

/** Creates the plans of the plain services whose servers are short. */
function createServicePlans(
  reports: readonly ShareReport[],
): Array<PoolPlan & {service: string}> {
  const parts = reports.flatMap(report => report.services ?? []);
  const short = parts.filter(({isShort}) => isShort);
  const names = [...new Set(short.map(({service}) => service))];
  return names.slice(0, MAX_SERVICES).map(service => ({
    service,
    ...computeSharePlan(
      parts.filter(part => part.service === service),
      SERVICE_TARGET_MULTIPLE,
    ),
  }));
}
