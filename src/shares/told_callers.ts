/**
 * Remembers which refused callers were told when to retry, so that those who waited can be served
 * before those who did not. A caller is recognized by its account, what it asks for, and its
 * deadline, which stays the same over its attempts while the time left that it states decreases.
 * A caller that comes back early has lost its claim, also for when its time has come.
 */

/** One attempt of a caller; times are on the monotonic clock, in milliseconds. */
export interface CallerAttempt {
  readonly account: string;
  /** Digest of what the caller asks for. */
  readonly key: string;
  /** Absent when the caller states none. */
  readonly deadlineAtMs?: number;
}

/** What is known of an attempt whose caller was refused before. */
export interface KnownReturn {
  /** False for a caller that came back early, now or before. */
  readonly hasWaited: boolean;
  /** Time from when the caller was to return until it did, negative when it came early, in milliseconds. */
  readonly lateMs: number;
}

/** Refused callers that have not returned. */
export interface ToldCallers {
  /** Records that a caller was told to retry after a time, in milliseconds. */
  record(attempt: CallerAttempt, retryAfterMs: number, nowMs: number): void;
  /** Returns what is known of the caller, and forgets it unless it came early. */
  tryTake(attempt: CallerAttempt, nowMs: number): KnownReturn | undefined;
  count(): number;
}

interface ToldCaller extends CallerAttempt {
  readonly dueAtMs: number;
  cameEarly: boolean;
}

/** Fraction of the time left that callers wait at most, whatever they were told. */
export const MAX_REMAINING_FRACTION = 1 / 3;
/** Refusals kept for each account, so that one that sends a lot cannot displace those of the others. */
const MAX_PER_ACCOUNT = 256;
const MAX_TOTAL = 8_192;
/** Time after which a caller that has not returned is forgotten, in milliseconds. */
const EXPIRY_MS = 2_000;
/** Differences between the deadlines of two attempts, from the time that they travel, in milliseconds. */
const DEADLINE_TOLERANCE_MS = 200;
/** Timers fire up to 1 ms early, and times are rounded, in milliseconds. */
const EARLY_TOLERANCE_MS = 2;

/** Creates an empty table. */
export function createToldCallers(): ToldCallers {
  /** By account, the one that was refused last at the end; within each, oldest refusal first. */
  const byAccount = new Map<string, ToldCaller[]>();
  let total = 0;
  return {record, tryTake, count: () => total};

  function record(
    attempt: CallerAttempt,
    retryAfterMs: number,
    nowMs: number,
  ): void {
    removeMatch(attempt);
    const {account, deadlineAtMs = Number.POSITIVE_INFINITY} = attempt;
    const maxWaitMs = (deadlineAtMs - nowMs) * MAX_REMAINING_FRACTION;
    const waitMs = Math.max(0, Math.min(retryAfterMs, maxWaitMs));
    const callers = takeRecent(account, nowMs);
    if (callers.length === MAX_PER_ACCOUNT) callers.shift();
    callers.push({...attempt, dueAtMs: nowMs + waitMs, cameEarly: false});
    replace(account, callers);
    const [oldest] = byAccount.keys();
    if (total > MAX_TOTAL) {
      replace(oldest, (byAccount.get(oldest) ?? []).slice(1));
    }
  }

  function tryTake(
    attempt: CallerAttempt,
    nowMs: number,
  ): KnownReturn | undefined {
    const told = byAccount
      .get(attempt.account)
      ?.find(item => isSameCaller(item, attempt));
    if (told === undefined) return undefined;
    const lateMs = nowMs - told.dueAtMs;
    if (lateMs < -EARLY_TOLERANCE_MS) told.cameEarly = true;
    else removeMatch(attempt);
    if (isExpired(told, nowMs)) return undefined;
    return {hasWaited: !told.cameEarly, lateMs};
  }

  function removeMatch(attempt: CallerAttempt): void {
    const callers = byAccount.get(attempt.account) ?? [];
    const index = callers.findIndex(told => isSameCaller(told, attempt));
    if (index < 0) return;
    total--;
    callers.splice(index, 1);
    if (callers.length === 0) byAccount.delete(attempt.account);
  }

  function takeRecent(account: string, nowMs: number): ToldCaller[] {
    const callers = byAccount.get(account) ?? [];
    replace(account, []);
    return callers.filter(told => !isExpired(told, nowMs));
  }

  function replace(account: string, callers: ToldCaller[]): void {
    total += callers.length - (byAccount.get(account)?.length ?? 0);
    if (callers.length === 0) byAccount.delete(account);
    else byAccount.set(account, callers);
  }
}

function isExpired({dueAtMs}: ToldCaller, nowMs: number): boolean {
  return nowMs > dueAtMs + EXPIRY_MS;
}

function isSameCaller(left: CallerAttempt, right: CallerAttempt): boolean {
  if (left.key !== right.key) return false;
  const {deadlineAtMs: leftMs} = left;
  const {deadlineAtMs: rightMs} = right;
  if (leftMs === undefined || rightMs === undefined) return leftMs === rightMs;
  return Math.abs(leftMs - rightMs) <= DEADLINE_TOLERANCE_MS;
}
