/** Has weights copied to an engine before it is told to load them. */
import type {WeightStore} from '../platform';
import type {Clock} from '../runtime';

/** Options of a transfer. */
export interface WeightTransferOptions {
  readonly store: WeightStore;
  readonly clock: Clock;
  readonly engine: string;
  readonly weights: string;
  /** Longest wait for the copy, in milliseconds. */
  readonly timeoutMs: number;
  /** Time between two questions, in milliseconds. */
  readonly pollMs: number;
  /** Returns false when the copy is no longer wanted. */
  readonly isWanted: () => boolean;
}

/** Resolves to true when the weights are at the engine. Asking twice starts no second copy. */
export async function waitForWeights(
  options: WeightTransferOptions,
): Promise<boolean> {
  const {store, clock, engine, weights} = options;
  const untilMs = clock.getMonotonicMs() + options.timeoutMs;
  let isAsked = false;
  while (clock.getMonotonicMs() < untilMs && options.isWanted()) {
    if (!isAsked) {
      const asked = await store.prepare(engine, weights);
      isAsked = asked.ok;
      if (asked.ok && asked.val.state === 'done') return true;
    } else {
      const listed = await store.listTransfers(engine);
      const transfer = listed.ok
        ? listed.val.find(item => item.weights === weights)
        : undefined;
      if (transfer?.state === 'done') return true;
      // A store that restarted may have forgotten the copy.
      if (listed.ok && transfer === undefined) isAsked = false;
    }
    await clock.sleep(options.pollMs);
  }
  return false;
}
