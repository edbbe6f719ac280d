/** Measures the work of each account that arrives at a node, and the work that the node sends to engines. */
import type {AccountWork, PoolReport} from './types';

/** Work of the last seconds at one node. */
export interface WorkMeter {
  recordArrival(work: AccountWork, nowMs: number): void;
  recordStart(workMs: number, nowMs: number): void;
  /** Records that a prompt waits or was refused because engines are busy. */
  recordShortage(nowMs: number): void;
  isShort(nowMs: number): boolean;
  /** Creates a report of the accounts with the most work, so many at most. */
  createReport(nowMs: number, maxAccounts?: number): PoolReport;
  /** Creates an independent meter with the same work. */
  createCopy(): WorkMeter;
}

interface DecayingSum {
  sumMs: number;
  atMs: number;
}

interface MeterState {
  readonly ranks: Map<number, Map<string, DecayingSum>>;
  readonly started: DecayingSum;
  shortAtMs: number;
}

/** Time constant of the exponential averages, in milliseconds: shares follow within seconds, and an account's usual bursts are averaged. */
const TIME_CONSTANT_MS = 5_000;
/** How long engines count as short after a prompt waited or was refused, in milliseconds. */
const SHORTAGE_MS = 2_000;
/** Maximum number of accounts in a report, and of bytes that they take: a report fits into a datagram with the node's demand. */
const MAX_ACCOUNTS = 32;
const MAX_BYTES = 900;
/** Sums below this are forgotten, in milliseconds of work. */
const MIN_SUM_MS = 0.01;
const MS_PER_S = 1_000;

/** Creates a meter without recorded work. */
export function createWorkMeter(): WorkMeter {
  return createMeter({
    ranks: new Map(),
    started: {sumMs: 0, atMs: 0},
    shortAtMs: Number.NEGATIVE_INFINITY,
  });
}

function createMeter(state: MeterState): WorkMeter {
  const {ranks, started} = state;
  return {
    recordArrival,
    recordStart: (workMs, nowMs) => addDecayed(started, workMs, nowMs),
    recordShortage: nowMs => {
      state.shortAtMs = nowMs;
    },
    isShort,
    createReport,
    createCopy: () => createMeter(structuredClone(state)),
  };

  function recordArrival(
    {account, rank, workMs}: AccountWork,
    nowMs: number,
  ): void {
    const accounts = ranks.get(rank) ?? new Map<string, DecayingSum>();
    ranks.set(rank, accounts);
    const sum = accounts.get(account);
    if (sum !== undefined) addDecayed(sum, workMs, nowMs);
    else accounts.set(account, {sumMs: workMs, atMs: nowMs});
  }

  function isShort(nowMs: number): boolean {
    return nowMs - state.shortAtMs < SHORTAGE_MS;
  }

  function createReport(nowMs: number, maxAccounts = MAX_ACCOUNTS): PoolReport {
    const works = listWorks(nowMs);
    const accounts: AccountWork[] = [];
    const rest = new Map<number, number>();
    let bytes = 0;
    for (const work of works) {
      if (accounts.length < maxAccounts && bytes < MAX_BYTES) {
        accounts.push(work);
        bytes += JSON.stringify(work).length;
      } else rest.set(work.rank, (rest.get(work.rank) ?? 0) + work.workMs);
    }
    return {
      accounts,
      rest: [...rest].map(([rank, workMs]) => ({rank, workMs})),
      startedMs: getPerS(started, nowMs),
      isShort: isShort(nowMs),
    };
  }

  /** Lists the work of all accounts, most first. */
  function listWorks(nowMs: number): AccountWork[] {
    const works: AccountWork[] = [];
    for (const [rank, accounts] of ranks) {
      for (const [account, sum] of accounts) {
        if (getDecayed(sum, nowMs) < MIN_SUM_MS) accounts.delete(account);
        else works.push({account, rank, workMs: getPerS(sum, nowMs)});
      }
    }
    return works.sort((left, right) => right.workMs - left.workMs);
  }
}

function getDecayed({sumMs, atMs}: DecayingSum, nowMs: number): number {
  return sumMs * Math.exp((atMs - nowMs) / TIME_CONSTANT_MS);
}

function addDecayed(sum: DecayingSum, workMs: number, nowMs: number): void {
  sum.sumMs = getDecayed(sum, nowMs) + workMs;
  sum.atMs = nowMs;
}

/** Returns the work per second, in tenths of a millisecond to keep reports short. */
function getPerS(sum: DecayingSum, nowMs: number): number {
  const perS = (getDecayed(sum, nowMs) * MS_PER_S) / TIME_CONSTANT_MS;
  return Math.round(perS * 10) / 10;
}
