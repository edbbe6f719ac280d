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

interface Quantile {
  /** Binary logarithm of the part; 0 or below. */
  logPart: number;
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
  const keys = new Map<string, Quantile>();
  const models = new Map<string, Quantile>();
  return {getTokens, record, getSize: () => keys.size};

  function getTokens(key: string, model: string, maxTokens: number): number {
    const own = keys.get(key);
    const known =
      own !== undefined && own.count >= MIN_COUNT ? own : models.get(model);
    const tokens =
      known === undefined ? DEFAULT_TOKENS : maxTokens * 2 ** known.logPart;
    return Math.max(1, Math.min(maxTokens, Math.round(tokens)));
  }

  function record(
    key: string,
    model: string,
    tokens: number,
    maxTokens: number,
  ): void {
    const logPart = Math.log2(Math.max(1, tokens) / Math.max(1, maxTokens));
    updateQuantile(models, model, logPart);
    updateQuantile(keys, key, logPart);
    if (keys.size <= capacity) return;
    const oldest = keys.keys().next();
    if (!oldest.done) keys.delete(oldest.value);
  }

  /** Moves the estimate up by more than down, so that it rests at the quantile. */
  function updateQuantile(
    map: Map<string, Quantile>,
    key: string,
    logPart: number,
  ): void {
    const item = map.get(key) ?? {logPart, count: 0};
    item.count++;
    const step = Math.max(MIN_STEP, MAX_STEP / item.count);
    if (logPart > item.logPart) item.logPart += step * quantile;
    else if (logPart < item.logPart) {
      item.logPart -= step * (1 - quantile);
    }
    map.delete(key);
    map.set(key, item);
  }
}
