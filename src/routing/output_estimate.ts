/**
 * Learns what part of the tokens asked for the answers of a client account and class
 * have, as a quantile. The part, and not the number, since callers who know the length
 * of their answers ask for no more.
 */

/** Predicts the length of answers. */
export interface OutputEstimate {
  /** Returns the expected tokens of an answer, at most `maxTokens`. */
  getTokens(key: string, model: string, maxTokens: number): number;
  /** Takes the length of a complete answer and the most that was asked for. */
  record(key: string, model: string, tokens: number, maxTokens: number): void;
  /** Returns the number of keys held. */
  getSize(): number;
}

/** Options of an estimate. */
export interface OutputEstimateOptions {
  /** Part of the answers that are no longer than the estimate. */
  readonly quantile?: number;
  /** Most keys held; the one unused for longest goes first. */
  readonly capacity?: number;
}

interface QuantileEstimate {
  /** Binary logarithm of the part; 0 or below. */
  logFraction: number;
  count: number;
}

const DEFAULT_QUANTILE = 0.7;
const DEFAULT_CAPACITY = 40_000;
/** Assumed of a model of which no answer has been seen. */
const DEFAULT_TOKENS = 256;
/** Answers of a key needed before its own estimate is used. */
const MIN_COUNT = 4;
/** Smallest and largest change of the logarithm by one answer. */
const MIN_STEP = 0.05;
const MAX_STEP = 1;

/** Creates an estimate that knows nothing. */
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

  /** Moves the estimate up by more than down, so that it rests at the quantile. */
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
