/** Arrivals and events of the model in `prompt_messages_model.ts`. */
import {computePrefillMs} from '../src/gateway/engine_costs';
import type {ModelRequest, PromptPart} from '../src/gateway/types';
import type {SimEngine, SimNode} from './prompt_messages_fleet';
import type {ModelOptions} from './prompt_messages_types';

const OBJECTIVES_MS = [300, 500, 1_000];
const MEAN_TOKENS = 4_000;

/** Creates arrivals: accounts of very different sizes with shared prompt parts, at nodes with different loads. */
export function createWorkload(
  options: ModelOptions,
  nodes: readonly SimNode[],
  engines: readonly SimEngine[],
  getRandom: () => number,
) {
  const meanMs = computePrefillMs(MEAN_TOKENS, 0);
  const capacity = engines.reduce((sum, {factor}) => sum + 1 / factor, 0);
  const gapMs = meanMs / (options.load * capacity);
  const accountCount = Math.max(4, Math.round(nodes.length * 0.7));
  const pickAccount = createPicker(
    Array.from({length: accountCount}, (_, index) => 1 / (index + 1) ** 0.8),
  );
  const pickNode = createPicker(
    nodes.map(() => Math.exp((options.skew ?? 0.7) * getNormal())),
  );
  const parts = Array.from({length: accountCount}, (_, account) =>
    Array.from({length: 3}, (_, index): PromptPart => ({
      id: `part-${account}-${index}`,
      tokens: Math.round(300 + 1_500 * getRandom()),
    })),
  );
  let serial = 0;
  return {
    nextGapMs: () => -Math.log(1 - getRandom()) * gapMs,
    next: () => {
      const account = pickAccount();
      const shared = getRandom() < 0.7 ? parts[account].slice(0, 2) : [];
      const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
      const ownTokens = Math.round(
        (MEAN_TOKENS - 0.7 * 2_100) * Math.exp(0.8 * getNormal() - 0.32),
      );
      const model: ModelRequest = {
        promptTokens: sharedTokens + ownTokens,
        maxOutputTokens: 100,
        parts: [...shared, {id: `own-${serial++}`, tokens: ownTokens}],
      };
      return {
        node: nodes[pickNode()],
        model,
        objectiveMs:
          OBJECTIVES_MS[Math.floor(getRandom() * OBJECTIVES_MS.length)],
      };
    },
  };

  function getNormal(): number {
    return (
      Math.sqrt(-2 * Math.log(1 - getRandom())) *
      Math.cos(2 * Math.PI * getRandom())
    );
  }

  function createPicker(weights: readonly number[]): () => number {
    const sums: number[] = [];
    let total = 0;
    for (const weight of weights) sums.push((total += weight));
    return () => {
      const target = getRandom() * total;
      let low = 0;
      let high = sums.length - 1;
      while (low < high) {
        const middle = (low + high) >> 1;
        if (sums[middle] < target) low = middle + 1;
        else high = middle;
      }
      return low;
    };
  }
}

/** Events in slots of a tenth of a millisecond; those of one slot run in the order in which they were added. */
export function createEvents() {
  const slots: Array<Array<() => void> | undefined> = [];
  const SLOTS_PER_MS = 10;
  let current = 0;
  return {
    nowMs: () => current / SLOTS_PER_MS,
    add: (atMs: number, callback: () => void) => {
      const slot = Math.max(current, Math.round(atMs * SLOTS_PER_MS));
      const events = slots[slot];
      if (events === undefined) slots[slot] = [callback];
      else events.push(callback);
    },
    run: (untilMs: number) => {
      const last = untilMs * SLOTS_PER_MS;
      for (current = 0; current <= last; current++) {
        const events = slots[current];
        if (events === undefined) continue;
        for (let index = 0; index < events.length; index++) events[index]();
        slots[current] = undefined;
      }
    },
  };
}
