/**
 * The accounts' shares of one thing that they compete for, as one node knows them: the engines, or
 * the servers of a plain service. A node without recent news decides by what it has seen itself.
 */
import type {Clock} from '../runtime/types';
import {computeSharePlan} from './plan_shares';
import {createSizeLimits} from './size_limits';
import type {AccountShare, AccountWork, PoolPlan, PoolReport} from './types';
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

/** The shares at one node as requests use them. */
export interface SharePool {
  /** Records the predicted work of a request that arrived. */
  recordArrival(work: AccountWork): void;
  /** Records work that was sent to an engine, or that a server has begun. */
  recordStart(workMs: number): void;
  /** Records that a request waits or was refused because engines or servers are busy. */
  recordShortage(): void;
  /** True when requests waited or were refused in the last seconds. */
  isShort(): boolean;
  /** Returns the share of a request's account when it does not cover the request; called once for each request. */
  tryGetExceeded(work: AccountWork): KnownShare | undefined;
  /** Returns what `tryGetExceeded` would return for a request that arrives now, without recording it. */
  predictExceeded(work: AccountWork): KnownShare | undefined;
}

/** The same with what the planning needs. */
export interface PlannedPool extends SharePool {
  /** Creates this node's report, of so many accounts at most; undefined while there is enough for all. */
  tryCreateReport(maxAccounts?: number): PoolReport | undefined;
  createReport(): PoolReport;
  /** Applies a plan; returns whether it lists other accounts than the one before. */
  applyPlan(plan: PoolPlan): boolean;
  /** True when a plan was applied within the last milliseconds. */
  hasPlan(ageMs: number): boolean;
}

/** A plan in use. */
interface Known {
  readonly source: ShareSource;
  readonly atMs: number;
  readonly plan: PoolPlan;
  readonly shares: ReadonlyMap<string, AccountShare>;
}

/** Interval at which plans are computed, in milliseconds. */
export const PLAN_INTERVAL_MS = 1_000;
/** Time after which a node no longer relies on the last plan, in milliseconds: two lost announcements. */
const PLAN_EXPIRY_MS = 3_000;

/** Creates a pool without any news; `targetMultiple` is that of its plans. */
export function createSharePool(
  clock: Clock,
  targetMultiple?: number,
): PlannedPool {
  const meter = createWorkMeter();
  const limits = createSizeLimits();
  let fleet: Known | undefined;
  let local: Known | undefined;
  return {
    recordArrival: work => meter.recordArrival(work, getNowMs()),
    recordStart: workMs => meter.recordStart(workMs, getNowMs()),
    recordShortage: () => meter.recordShortage(getNowMs()),
    isShort: () => meter.isShort(getNowMs()),
    tryGetExceeded,
    predictExceeded,
    tryCreateReport,
    createReport: () => meter.createReport(getNowMs()),
    applyPlan,
    hasPlan: ageMs => isRecent(fleet, ageMs),
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
    return createKnown(
      'local',
      computeSharePlan(reports, targetMultiple),
      nowMs,
    );
  }

  function tryCreateReport(maxAccounts?: number): PoolReport | undefined {
    const nowMs = getNowMs();
    const isNeeded = meter.isShort(nowMs) || isRecent(fleet, PLAN_EXPIRY_MS);
    return isNeeded ? meter.createReport(nowMs, maxAccounts) : undefined;
  }

  function applyPlan(plan: PoolPlan): boolean {
    const before = isRecent(fleet, PLAN_EXPIRY_MS) ? fleet : undefined;
    const next = createKnown('fleet', plan, getNowMs());
    fleet = next;
    limits.retain(new Set(next.shares.keys()));
    return (
      before?.shares.size !== next.shares.size ||
      [...next.shares.keys()].some(key => !before.shares.has(key))
    );
  }
}

function createKnown(source: ShareSource, plan: PoolPlan, atMs: number): Known {
  const shares = new Map(
    plan.shares.map(share => [formatKey(share.account, share.rank), share]),
  );
  return {source, atMs, plan, shares};
}

function formatKey(account: string, rank: number): string {
  return `${rank} ${account}`;
}
