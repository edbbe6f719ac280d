/** Has weights copied to an engine before it is told to load them. */
import type {WeightStore} from '../control_services';
import type {Clock} from '../runtime';

/** Options of the gate. */
export interface WeightGateOptions {
  readonly store: WeightStore;
  readonly clock: Clock;
  /** Shortest time between two questions about the same weights, in milliseconds. */
  readonly pollMs?: number;
}

/** Asks the rate-limited store for copies. */
export interface WeightGate {
  /** Asks for the copy, and resolves to true once the weights are at the engine. */
  isPrepared(engine: string, weights: string): Promise<boolean>;
}

const DEFAULT_POLL_MS = 2_000;

/** Creates a gate that has asked for nothing yet. */
export function createWeightGate(options: WeightGateOptions): WeightGate {
  const {store, clock} = options;
  const pollMs = options.pollMs ?? DEFAULT_POLL_MS;
  const askedAtMs = new Map<string, number>();
  return {isPrepared};

  async function isPrepared(engine: string, weights: string): Promise<boolean> {
    const id = `${engine}\n${weights}`;
    const nowMs = clock.getMonotonicMs();
    const lastMs = askedAtMs.get(id);
    if (lastMs !== undefined && nowMs - lastMs < pollMs) return false;
    askedAtMs.set(id, nowMs);
    // Asking again starts no second copy, and mends a store that forgot the first.
    const answer = await store.prepare(engine, weights);
    if (answer.err || answer.val.state !== 'done') return false;
    askedAtMs.delete(id);
    return true;
  }
}
