/**
 * Estimates the output tokens of answers, as a learned quantile per key (such as a client
 * account, model and urgency) of the fraction of `maxTokens` that answers use. The fraction is
 * learned rather than the count, since callers who know the length of their answers set
 * `maxTokens` to it.
 */

/** Estimates the length of answers. */
export interface OutputEstimate {
  /** Returns the expected tokens of an answer, at most `maxTokens`. */
  getTokens(key: string, model: string, maxTokens: number): number;
  /** Records the tokens of a complete answer and the `maxTokens` of its request. */
  record(key: string, model: string, tokens: number, maxTokens: number): void;
  /** Returns the number of keys held. */
  getSize(): number;
}

/** Options of an estimate. */
export interface OutputEstimateOptions {
  /** Fraction of the answers that are no longer than the estimate, 0 to 1. */
  readonly quantile?: number;
  /** Most keys held; the least recently recorded is removed first. */
  readonly capacity?: number;
}

interface QuantileEstimate {
  /** Binary logarithm of the fraction; 0 or below. */
  logFraction: number;
  /** Answers recorded. */
  count: number;
}

const DEFAULT_QUANTILE = 0.7;
const DEFAULT_CAPACITY = 40_000;
/** Estimate for a model without recorded answers, in tokens. */
const DEFAULT_TOKENS = 256;
/** Answers of a key needed before its estimate is used in place of its model's. */
const MIN_COUNT = 4;
/** Bounds of the step by which an answer moves the logarithm; steps shrink as answers add up. */
const MIN_STEP = 0.05;
const MAX_STEP = 1;

/** Creates an estimate without recorded answers. */
export function createOutputEstimate(
  options: OutputEstimateOptions = {},
): OutputEstimate {
  const quantile = options.quantile ?? DEFAULT_QUANTILE;
  const capacity = options.capacity ?? DEFAULT_CAPACITY;
  const keys = new Map<string, QuantileEstimate>();
  const models = new Map<string, QuantileEstimate>();
  return {getTokens, record, getSize: () => keys.size};

  function getTokens(key: string, model: string, maxTokens: number): number {
    const keyEstimate = keys.get(key);
    const estimate =
      keyEstimate !== undefined && keyEstimate.count >= MIN_COUNT
        ? keyEstimate
        : models.get(model);
    const tokens =
      estimate === undefined
        ? DEFAULT_TOKENS
        : maxTokens * 2 ** estimate.logFraction;
    return Math.max(1, Math.min(maxTokens, Math.round(tokens)));
  }

  function record(
    key: string,
    model: string,
    tokens: number,
    maxTokens: number,
  ): void {
    const logFraction = Math.log2(Math.max(1, tokens) / Math.max(1, maxTokens));
    updateQuantile(models, model, logFraction);
    updateQuantile(keys, key, logFraction);
    if (keys.size <= capacity) return;
    const oldest = keys.keys().next();
    if (!oldest.done) keys.delete(oldest.value);
  }

  /** Steps up and down in the ratio `quantile` to 1 - `quantile`, which settles at the quantile. */
  function updateQuantile(
    map: Map<string, QuantileEstimate>,
    key: string,
    logFraction: number,
  ): void {
    const item = map.get(key) ?? {logFraction, count: 0};
    item.count++;
    const step = Math.max(MIN_STEP, MAX_STEP / item.count);
    if (logFraction > item.logFraction) item.logFraction += step * quantile;
    else if (logFraction < item.logFraction) {
      item.logFraction -= step * (1 - quantile);
    }
    map.delete(key);
    map.set(key, item);
  }
}
