/** Requests copies of weights from the weight store before an engine is ordered to load them. */
import type {WeightStore} from '../control_services';
import type {Clock} from '../runtime';

/** Options of `createWeightPreparer`. */
export interface WeightPreparerOptions {
  readonly store: WeightStore;
  readonly clock: Clock;
  /** Least time between two requests for the same weights, in milliseconds. */
  readonly pollMs?: number;
}

/** Requests copies from the rate-limited weight store. */
export interface WeightPreparer {
  /**
   * Requests the copy unless it was requested within `pollMs`. Resolves to true when the weights are
   * at the engine, and to false when they are not yet or the store does not answer.
   */
  prepare(engine: string, weights: string): Promise<boolean>;
}

const DEFAULT_POLL_MS = 2_000;

/** Creates a preparer without any requests. */
export function createWeightPreparer(
  options: WeightPreparerOptions,
): WeightPreparer {
  const {store, clock} = options;
  const pollMs = options.pollMs ?? DEFAULT_POLL_MS;
  const requestedAtMs = new Map<string, number>();
  return {prepare};

  async function prepare(engine: string, weights: string): Promise<boolean> {
    const id = `${engine}\n${weights}`;
    const nowMs = clock.getMonotonicMs();
    const lastMs = requestedAtMs.get(id);
    if (lastMs !== undefined && nowMs - lastMs < pollMs) return false;
    requestedAtMs.set(id, nowMs);
    // A repeated request does not start a second copy, and restores one that the store has lost.
    const answer = await store.prepare(engine, weights);
    if (answer.err || answer.val.state !== 'done') return false;
    requestedAtMs.delete(id);
    return true;
  }
}
