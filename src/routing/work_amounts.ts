/** Amounts of work at engines, and the recent history of this node's own work. */

/** Longest report lag that is corrected for; samples are kept this long, in milliseconds. */
const MAX_REPORT_LAG_MS = 6_000;
/** Changes closer together than this share one sample, in milliseconds. */
const SAMPLE_INTERVAL_MS = 25;

/** Amounts of work at an engine. */
export interface WorkAmounts {
  requests: number;
  /** Prompt tokens not yet prefilled. */
  prefillTokens: number;
  /** The part of `prefillTokens` that belongs to urgent requests. */
  urgentPrefillTokens: number;
  /** Tokens that may still be generated. */
  decodeTokens: number;
  /** KV memory pieces in use. */
  kvPieces: number;
}

/** The node's own work at one point in time. */
interface WorkSample extends WorkAmounts {
  readonly atMs: number;
}

/** This node's own work, now and over the last seconds. */
export interface LocalWork {
  readonly current: WorkAmounts;
  /** Samples of past work, oldest first. */
  readonly history: WorkSample[];
}

/** Returns the work at a past time: the last sample up to then, or no work. */
export function getLocalWorkAt(
  localWork: LocalWork,
  atMs: number,
): Readonly<WorkAmounts> {
  const {history} = localWork;
  let low = 0;
  let high = history.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (history[middle].atMs <= atMs) low = middle + 1;
    else high = middle;
  }
  return low === 0 ? NO_WORK : history[low - 1];
}

/** Samples the current work, against which later reports are corrected. */
export function recordSample(localWork: LocalWork, nowMs: number): void {
  const {history, current} = localWork;
  const last = history[history.length - 1];
  if (last !== undefined && nowMs - last.atMs < SAMPLE_INTERVAL_MS) {
    Object.assign(last, current);
    return;
  }
  history.push({...current, atMs: nowMs});
  while (history.length > 2 && history[1].atMs < nowMs - MAX_REPORT_LAG_MS) {
    history.shift();
  }
}

/** Creates the record of a node without work. */
export function createLocalWork(): LocalWork {
  return {current: createAmounts(), history: []};
}

/** Creates amounts that are all 0. */
export function createAmounts(): WorkAmounts {
  return {
    requests: 0,
    prefillTokens: 0,
    urgentPrefillTokens: 0,
    decodeTokens: 0,
    kvPieces: 0,
  };
}

/** Amounts that are all 0; must not be modified. */
export const NO_WORK: Readonly<WorkAmounts> = createAmounts();

/** Adds `part` to `sum` with a `sign` of 1, or subtracts it with -1. */
export function addAmounts(
  sum: WorkAmounts,
  part: Readonly<WorkAmounts>,
  sign: number,
): void {
  sum.requests += sign * part.requests;
  sum.prefillTokens += sign * part.prefillTokens;
  sum.urgentPrefillTokens += sign * part.urgentPrefillTokens;
  sum.decodeTokens += sign * part.decodeTokens;
  sum.kvPieces += sign * part.kvPieces;
}
