/** Measures the work that a node admits, as prompt and output tokens a second. */
import type {Clock} from '../runtime';
import type {Demand} from './types';

/** A request as it is admitted. */
export interface AdmittedRequest {
  readonly promptTokens: number;
  /** Most tokens that the answer may have. */
  readonly maxTokens: number;
}

/** A request as it has ended. */
export interface EndedRequest extends AdmittedRequest {
  readonly cachedTokens: number;
  readonly generatedTokens: number;
}

/** The meter of one node. */
export interface DemandMeter {
  recordAdmitted(work: AdmittedRequest): void;
  /** Learns how long answers are against their limit, and how much of a prompt is cached. */
  recordEnded(work: EndedRequest): void;
  /** Returns the work admitted in the window, a second. */
  getDemand(): Demand;
}

/** Options of a meter. */
export interface DemandMeterOptions {
  readonly clock: Clock;
  /** Time over which arrivals are averaged, in milliseconds. */
  readonly windowMs?: number;
}

const DEFAULT_WINDOW_MS = 5_000;
const SLOT_COUNT = 10;
/** Weight of one ended request against all before it. */
const LEARNING_RATE = 0.15;
/** Part of its limit that an answer is taken to have before any has ended. */
const INITIAL_OUTPUT_RATIO = 0.7;
/** Answers are learned by the size of their limit: one class for each power of two. */
const getSizeClass = (maxTokens: number): number =>
  Math.ceil(Math.log2(Math.max(1, maxTokens)));

interface Slot {
  index: number;
  prompt: number;
  output: number;
}

/** Creates a meter that has seen nothing. */
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

  function recordAdmitted(work: AdmittedRequest): void {
    const slot = getSlot();
    slot.prompt += work.promptTokens;
    slot.output += work.maxTokens * getOutputRatio(work.maxTokens);
  }

  function recordEnded(work: EndedRequest): void {
    const {promptTokens, maxTokens} = work;
    const estimate = getOutputRatio(maxTokens);
    const observed = work.generatedTokens / Math.max(1, maxTokens);
    outputRatios.set(
      getSizeClass(maxTokens),
      estimate + LEARNING_RATE * (observed - estimate),
    );
    // Long prompts hold most of the work, so they weigh more.
    const uncached = 1 - work.cachedTokens / Math.max(1, promptTokens);
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

/** Adds the demand of several nodes. */
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
