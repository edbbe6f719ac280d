/**
 * Divides the engines' time among the accounts. Within a rank, accounts get the same share, and
 * what an account does not use goes to the others (max-min fairness); a more urgent rank is
 * served first. Every account gets a minimum fraction of its work, so that neither its rank nor
 * the amount that it sends leaves it without service.
 */
import type {AccountShare, AccountWork, PoolPlan, PoolReport} from './types';

/** Maximum number of accounts in a plan. */
export const MAX_SHARES = 16;
/**
 * Multiple of the started work that the shares add up to. Above 1, since arrived work includes
 * that of refused callers who come back. In the model, the worst account within its share is
 * served to 0.95 or more up to this value; higher ones serve up to 0.02 more of all requests
 * where prompts differ in size.
 */
const TARGET_MULTIPLE = 1.1;
/** The same for plain services, whose refused requests cost servers nothing: in the model, 1.1 serves 0.01 to 0.04 less of all requests, and accounts within their shares no better. */
export const SERVICE_TARGET_MULTIPLE = 1.3;
/** Least served fraction of an account's work, relative to that of all work: required is a quarter. */
const MIN_RELATIVE_FRACTION = 0.35;
/** Steps of the search for the share; each halves the interval. */
const SEARCH_STEPS = 30;

interface RankWork {
  readonly rank: number;
  readonly accounts: Map<string, number>;
  restMs: number;
  totalMs: number;
}

/** Computes the accounts over their shares from the reports of the nodes; none while engines or servers suffice. */
export function computeSharePlan(
  reports: readonly PoolReport[],
  targetMultiple = TARGET_MULTIPLE,
): PoolPlan {
  const ranks = mergeReports(reports);
  const arrivedMs = ranks.reduce((sum, {totalMs}) => sum + totalMs, 0);
  const startedMs = reports.reduce((sum, report) => sum + report.startedMs, 0);
  const isShort =
    reports.some(report => report.isShort) &&
    startedMs > 0 &&
    arrivedMs > targetMultiple * startedMs;
  if (!isShort) return {shares: [], arrivedMs, startedMs};
  const minFraction = (MIN_RELATIVE_FRACTION * startedMs) / arrivedMs;
  let leftMs = targetMultiple * startedMs;
  let laterMs = arrivedMs;
  const shares: Array<AccountShare & {excessMs: number}> = [];
  for (const work of ranks) {
    laterMs -= work.totalMs;
    const availableMs = Math.max(
      minFraction * work.totalMs,
      leftMs - minFraction * laterMs,
    );
    leftMs -= Math.min(availableMs, work.totalMs);
    if (work.totalMs <= availableMs) continue;
    const shareMs = findShareMs(work, availableMs, minFraction);
    for (const [account, workMs] of work.accounts) {
      const fraction = Math.max(shareMs / workMs, minFraction);
      if (fraction >= 1) continue;
      const excessMs = workMs * (1 - fraction);
      shares.push({account, rank: work.rank, fraction, excessMs});
    }
  }
  shares.sort((left, right) => right.excessMs - left.excessMs);
  return {
    shares: shares.slice(0, MAX_SHARES).map(({account, rank, fraction}) => ({
      account,
      rank,
      fraction: Number(fraction.toFixed(4)),
    })),
    arrivedMs: Math.round(arrivedMs),
    startedMs: Math.round(startedMs),
  };
}

/** Sums up the reports by rank and account, most urgent rank first. */
function mergeReports(reports: readonly PoolReport[]): RankWork[] {
  const ranks = new Map<number, RankWork>();
  for (const {accounts, rest} of reports) {
    for (const work of accounts) addWork(ranks, work);
    for (const work of rest) addWork(ranks, work);
  }
  return [...ranks.values()].sort((left, right) => left.rank - right.rank);
}

function addWork(
  ranks: Map<number, RankWork>,
  work: Omit<AccountWork, 'account'> & {readonly account?: string},
): void {
  const {account, rank, workMs} = work;
  const known = ranks.get(rank) ?? {
    rank,
    accounts: new Map<string, number>(),
    restMs: 0,
    totalMs: 0,
  };
  ranks.set(rank, known);
  known.totalMs += workMs;
  if (account === undefined) known.restMs += workMs;
  else known.accounts.set(account, (known.accounts.get(account) ?? 0) + workMs);
}

/**
 * Finds the work per second that each account of a rank may have so that all of them use what is
 * available. At most `MAX_SHARES` accounts exceed the result: among many equal ones, limiting
 * some and not the others would be unfair.
 */
function findShareMs(
  {accounts, restMs}: RankWork,
  availableMs: number,
  minFraction: number,
): number {
  const works = [...accounts.values()].sort((left, right) => right - left);
  let low = works[MAX_SHARES] ?? 0;
  let high = works[0] ?? 0;
  for (let step = 0; step < SEARCH_STEPS; step++) {
    const middle = (low + high) / 2;
    let usedMs = restMs;
    for (const workMs of works) {
      usedMs += Math.min(workMs, Math.max(middle, minFraction * workMs));
    }
    if (usedMs > availableMs) high = middle;
    else low = middle;
  }
  return high;
}
