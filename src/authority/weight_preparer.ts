/** Has weights copied to an engine before it is told to load them. */
import type {WeightStore} from '../control_services';
import type {Clock} from '../runtime';

/** Options of the gate. */
export interface WeightPreparerOptions {
  readonly store: WeightStore;
  readonly clock: Clock;
  /** Shortest time between two questions about the same weights, in milliseconds. */
  readonly pollMs?: number;
}

/** Asks the rate-limited store for copies. */
export interface WeightPreparer {
  /** Asks for the copy, and resolves to true once the weights are at the engine. */
  prepare(engine: string, weights: string): Promise<boolean>;
}

const DEFAULT_POLL_MS = 2_000;

/** Creates a gate that has asked for nothing yet. */
export function createWeightPreparer(
  options: WeightPreparerOptions,
): WeightPreparer {
  const {store, clock} = options;
  const pollMs = options.pollMs ?? DEFAULT_POLL_MS;
  const requestedAtMs = new Map<string, number>();
  return {prepare: prepare};

  async function prepare(engine: string, weights: string): Promise<boolean> {
    const id = `${engine}\n${weights}`;
    const nowMs = clock.getMonotonicMs();
    const lastMs = requestedAtMs.get(id);
    if (lastMs !== undefined && nowMs - lastMs < pollMs) return false;
    requestedAtMs.set(id, nowMs);
    // Asking again starts no second copy, and mends a store that forgot the first.
    const answer = await store.prepare(engine, weights);
    if (answer.err || answer.val.state !== 'done') return false;
    requestedAtMs.delete(id);
    return true;
  }
}
