/** Checks the requests that reached a server against the limits that it stated. */
import type {Arrival} from './server_standin';

/** A limit that a server states from `atMs` on, in requests per second; undefined when it states none any more. */
export interface LimitChange {
  readonly atMs: number;
  readonly limitPerS: number | undefined;
}

/** The rule's window, factor and constant, and the time that a limit takes to become known, in milliseconds and requests. */
const WINDOW_MS = 4_000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;
const KNOWN_AFTER_MS = 500;

/** Describes, for each period in which the server stated limits, the window that exceeds them most. */
export function listLimitViolations(
  serverId: string,
  arrivals: readonly Arrival[],
  changes: readonly LimitChange[],
): string[] {
  return splitPeriods(changes).flatMap(period =>
    listPeriodViolations(serverId, arrivals, period),
  );
}

/** Splits the changes into periods in which the server states limits all the time; the last change of a period ends it. */
function splitPeriods(changes: readonly LimitChange[]): LimitChange[][] {
  const periods: LimitChange[][] = [];
  let current: LimitChange[] = [];
  for (const change of changes) {
    current.push(change);
    if (change.limitPerS !== undefined) continue;
    periods.push(current);
    current = [];
  }
  const end = {atMs: Number.POSITIVE_INFINITY, limitPerS: undefined};
  return [...periods, [...current, end]].filter(period => period.length > 1);
}

function listPeriodViolations(
  serverId: string,
  arrivals: readonly Arrival[],
  period: readonly LimitChange[],
): string[] {
  const fromMs = period[0].atMs + KNOWN_AFTER_MS;
  const untilMs = period.at(-1)?.atMs ?? 0;
  const counted = arrivals
    .map(({atMs}) => atMs)
    .filter(atMs => atMs >= fromMs && atMs < untilMs);
  let worst: {excess: number; text: string} | undefined;
  for (const [index, endMs] of counted.entries()) {
    const startMs = endMs - WINDOW_MS;
    const first = counted.findIndex(atMs => atMs > startMs);
    const count = index - first + 1;
    const allowed =
      ALLOWED_FACTOR * countAllowed(period, startMs, endMs) + ALLOWED_EXTRA;
    const excess = count - allowed;
    if (excess <= (worst?.excess ?? 0)) continue;
    const offsetMs = Math.round(endMs - period[0].atMs);
    const text = `${serverId} got ${count} requests up to ${offsetMs} ms after it stated a limit; ${allowed.toFixed(1)} are allowed`;
    worst = {excess, text};
  }
  return worst === undefined ? [] : [worst.text];
}

/** Counts the requests that the limits admit in an interval; the first limit also holds before it was stated. */
function countAllowed(
  period: readonly LimitChange[],
  startMs: number,
  endMs: number,
): number {
  let allowed = 0;
  for (const [index, {atMs, limitPerS}] of period.entries()) {
    const fromMs = index === 0 ? startMs : Math.max(atMs, startMs);
    const toMs = Math.min(period[index + 1]?.atMs ?? endMs, endMs);
    allowed += ((limitPerS ?? 0) * Math.max(0, toMs - fromMs)) / 1_000;
  }
  return allowed;
}
