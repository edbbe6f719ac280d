/**
 * The accounts' shares as one node knows them. Nodes report arriving work to the planning nodes;
 * the first of those announces the accounts over their shares while engines are short. A node
 * without recent news decides by what it has seen itself.
 */
import type {Logger} from '../diagnostics/log';
import type {Clock, Timer} from '../runtime/types';
import {isSharePlan, isShareReport} from './check_shares';
import {computeSharePlan} from './plan_shares';
import type {AccountShare, AccountWork, SharePlan, ShareReport} from './types';
import {createSizeLimits} from './size_limits';
import {createToldCallers, type ToldCallers} from './told_callers';
import {createWorkMeter, type WorkMeter} from './work_meter';

/** Where a node's knowledge of the shares comes from. */
export type ShareSource = 'fleet' | 'local';

/** An account's share, with what it was derived from. */
export interface KnownShare extends AccountShare {
  readonly source: ShareSource;
  readonly ageMs: number;
  readonly arrivedMs: number;
  readonly startedMs: number;
}

/** The shares at one node. */
export interface AccountShares {
  /** The callers that this node refused. */
  readonly told: ToldCallers;
  start(): void;
  /** Records the predicted work of a prompt that arrived. */
  recordArrival(work: AccountWork): void;
  /** Records work that was sent to an engine. */
  recordStart(workMs: number): void;
  /** Records that a prompt waits or was refused because engines are busy. */
  recordShortage(): void;
  /** True when prompts waited or were refused in the last seconds. */
  isShort(): boolean;
  /** Returns the share of a prompt's account when it does not cover the prompt; called once for each prompt. */
  tryGetExceeded(work: AccountWork): KnownShare | undefined;
  /** Returns what `tryGetExceeded` would return for a prompt that arrives now, without recording it. */
  predictExceeded(work: AccountWork): KnownShare | undefined;
  /** Creates this node's report; undefined without accounts or while engines suffice. */
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

/** A plan in use. */
interface Known {
  readonly source: ShareSource;
  readonly atMs: number;
  readonly plan: SharePlan;
  readonly shares: ReadonlyMap<string, AccountShare>;
}

/** Interval at which a planning node computes and announces a plan, in milliseconds. */
const PLAN_INTERVAL_MS = 1_000;
/** Time after which a node no longer relies on the last plan, in milliseconds: two lost announcements. */
const PLAN_EXPIRY_MS = 3_000;
/** Silence of the planning nodes before it after which a node announces plans itself, in milliseconds, for each of them: with a check each second, the third begins before plans expire. */
const TAKEOVER_MS = 400;

/** Creates shares without any news. */
export function createAccountShares(
  options: AccountSharesOptions,
): AccountShares {
  const {clock, logger} = options;
  const meter = createWorkMeter();
  const limits = createSizeLimits();
  let fleet: Known | undefined;
  let local: Known | undefined;
  /** True when this node announced the last plan. */
  let isOwnPlan = false;
  let invalidCount = 0;
  let timer: Timer | undefined;
  return {
    told: createToldCallers(),
    start: runPlanning,
    recordArrival: work => meter.recordArrival(work, getNowMs()),
    recordStart: workMs => meter.recordStart(workMs, getNowMs()),
    recordShortage: () => meter.recordShortage(getNowMs()),
    isShort: () => meter.isShort(getNowMs()),
    tryGetExceeded,
    predictExceeded,
    tryCreateReport,
    handlePlan,
    stop: () => timer?.cancel(),
  };

  function getNowMs(): number {
    return clock.getMonotonicMs();
  }

  function isRecent(known: Known | undefined, ageMs: number): known is Known {
    return known !== undefined && getNowMs() - known.atMs < ageMs;
  }

  function tryGetExceeded(work: AccountWork): KnownShare | undefined {
    const known = isRecent(fleet, PLAN_EXPIRY_MS) ? fleet : getLocal();
    return tryFindExceeded(known, work, (key, fraction) =>
      limits.admit(key, fraction, work.workMs),
    );
  }

  function predictExceeded(work: AccountWork): KnownShare | undefined {
    const known = isRecent(fleet, PLAN_EXPIRY_MS) ? fleet : predictLocal(work);
    return tryFindExceeded(known, work, key =>
      limits.isCovered(key, work.workMs),
    );
  }

  function tryFindExceeded(
    known: Known,
    work: AccountWork,
    isCovered: (key: string, fraction: number) => boolean,
  ): KnownShare | undefined {
    if (known.shares.size === 0) return undefined;
    const key = formatKey(work.account, work.rank);
    const share = known.shares.get(key);
    if (share === undefined) return undefined;
    if (isCovered(key, share.fraction)) return undefined;
    const {source, atMs, plan} = known;
    const {arrivedMs, startedMs} = plan;
    return {
      ...share,
      source,
      ageMs: Math.round(getNowMs() - atMs),
      arrivedMs,
      startedMs,
    };
  }

  /** Returns the plan by this node's own counts, computed at most once per interval. */
  function getLocal(): Known {
    if (isRecent(local, PLAN_INTERVAL_MS)) return local;
    local = computeLocal(meter);
    return local;
  }

  function predictLocal(work: AccountWork): Known {
    if (isRecent(local, PLAN_INTERVAL_MS)) return local;
    const copy = meter.createCopy();
    copy.recordArrival(work, getNowMs());
    return computeLocal(copy);
  }

  function computeLocal(work: WorkMeter): Known {
    const nowMs = getNowMs();
    const reports = work.isShort(nowMs) ? [work.createReport(nowMs)] : [];
    return createKnown('local', computeSharePlan(reports), nowMs);
  }

  function tryCreateReport(): ShareReport | undefined {
    const nowMs = getNowMs();
    const isNeeded = meter.isShort(nowMs) || isRecent(fleet, PLAN_EXPIRY_MS);
    if (!options.hasAccounts() || !isNeeded) return undefined;
    return meter.createReport(nowMs);
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

  /** Logs a plan that lists other accounts than the one before. */
  function applyPlan(from: string, plan: SharePlan): void {
    const before = isRecent(fleet, PLAN_EXPIRY_MS) ? fleet : undefined;
    const next = createKnown('fleet', plan, getNowMs());
    fleet = next;
    isOwnPlan = from === options.nodeName;
    limits.retain(new Set(next.shares.keys()));
    const isSame =
      before?.shares.size === next.shares.size &&
      [...next.shares.keys()].every(key => before.shares.has(key));
    if (isSame) return;
    logger.log('info', 'account shares applied', {
      from,
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
    if (before > 0 && !isOwnPlan && isRecent(fleet, silenceMs)) return;
    const listed = options.listReports();
    const reports = listed.filter(isShareReport);
    const invalidReports = listed.length - reports.length;
    if (invalidReports > 0) recordInvalid({invalidReports});
    if (!reports.some(report => report.isShort)) return;
    const plan = computeSharePlan(reports);
    applyPlan(options.nodeName, plan);
    options.notify(plan);
  }
}

function createKnown(
  source: ShareSource,
  plan: SharePlan,
  atMs: number,
): Known {
  const shares = new Map(
    plan.shares.map(share => [formatKey(share.account, share.rank), share]),
  );
  return {source, atMs, plan, shares};
}

function formatKey(account: string, rank: number): string {
  return `${rank} ${account}`;
}
