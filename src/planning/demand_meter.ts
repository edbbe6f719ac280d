/** Measures the load that a node admits, in prompt and output tokens per second. */
import type {Clock} from '../runtime';
import type {Demand} from './types';

/** Sizes of a request that are known on admission. */
export interface AdmittedRequest {
  readonly promptTokens: number;
  /** Upper bound of the output, in tokens. */
  readonly maxTokens: number;
}

/** Sizes of a request that are known when it has ended. */
export interface EndedRequest extends AdmittedRequest {
  readonly cachedTokens: number;
  readonly generatedTokens: number;
}

/** Measures the demand of one node. */
export interface DemandMeter {
  recordAdmitted(request: AdmittedRequest): void;
  /**
   * Updates the estimates of the output length relative to its limit and of the cached part of
   * prompts.
   */
  recordEnded(request: EndedRequest): void;
  /** Returns the demand admitted during the window, per second. */
  getDemand(): Demand;
}

/** Options of `createDemandMeter`. */
export interface DemandMeterOptions {
  readonly clock: Clock;
  /** Length of the sliding window over which arrivals are averaged, in milliseconds. */
  readonly windowMs?: number;
}

const DEFAULT_WINDOW_MS = 5_000;
const SLOT_COUNT = 10;
/** Weight of one ended request in the exponential moving averages. */
const LEARNING_RATE = 0.15;
/** Assumed ratio of output tokens to the limit until a request of the size class has ended. */
const INITIAL_OUTPUT_RATIO = 0.7;
/** Output ratios are averaged per size class of the limit: one class for each power of two. */
const getSizeClass = (maxTokens: number): number =>
  Math.ceil(Math.log2(Math.max(1, maxTokens)));

interface Slot {
  index: number;
  prompt: number;
  output: number;
}

/** Creates a meter without any recorded requests. */
export function createDemandMeter(options: DemandMeterOptions): DemandMeter {
  const {clock} = options;
  const windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
  const slotMs = windowMs / SLOT_COUNT;
  const slots: Slot[] = Array.from({length: SLOT_COUNT}, () => ({
    index: -1,
    prompt: 0,
    output: 0,
  }));
  const outputRatios = new Map<number, number>();
  let uncachedRatio = 1;
  return {recordAdmitted, recordEnded, getDemand};

  function recordAdmitted(request: AdmittedRequest): void {
    const slot = getSlot();
    slot.prompt += request.promptTokens;
    slot.output += request.maxTokens * getOutputRatio(request.maxTokens);
  }

  function recordEnded(request: EndedRequest): void {
    const {promptTokens, maxTokens} = request;
    const estimate = getOutputRatio(maxTokens);
    const observed = request.generatedTokens / Math.max(1, maxTokens);
    outputRatios.set(
      getSizeClass(maxTokens),
      estimate + LEARNING_RATE * (observed - estimate),
    );
    // Long prompts make up most of the prefill load, so they get a higher weight.
    const uncached = 1 - request.cachedTokens / Math.max(1, promptTokens);
    const weight = Math.min(1, promptTokens / 1_000) * LEARNING_RATE;
    uncachedRatio += weight * (uncached - uncachedRatio);
  }

  function getDemand(): Demand {
    const newest = getSlotIndex();
    let prompt = 0;
    let output = 0;
    for (const slot of slots) {
      if (slot.index <= newest - SLOT_COUNT) continue;
      prompt += slot.prompt;
      output += slot.output;
    }
    const perS = 1_000 / windowMs;
    return {
      prefillTokensPerS: prompt * uncachedRatio * perS,
      decodeTokensPerS: output * perS,
    };
  }

  function getOutputRatio(maxTokens: number): number {
    return outputRatios.get(getSizeClass(maxTokens)) ?? INITIAL_OUTPUT_RATIO;
  }

  function getSlotIndex(): number {
    return Math.floor(clock.getMonotonicMs() / slotMs);
  }

  function getSlot(): Slot {
    const index = getSlotIndex();
    const slot = slots[index % SLOT_COUNT];
    if (slot.index !== index) {
      slot.index = index;
      slot.prompt = 0;
      slot.output = 0;
    }
    return slot;
  }
}

/** Returns the sum of the demands of several nodes. */
export function mergeDemands(demands: readonly Demand[]): Demand {
  return {
    prefillTokensPerS: demands.reduce(
      (sum, demand) => sum + demand.prefillTokensPerS,
      0,
    ),
    decodeTokensPerS: demands.reduce(
      (sum, demand) => sum + demand.decodeTokensPerS,
      0,
    ),
  };
}
