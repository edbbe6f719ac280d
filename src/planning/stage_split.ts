/**
 * Plans how many engines of a service prefill and how many decode, from the load on each stage.
 * Pure functions.
 */

/** Arriving load of each stage, as the number of engines that it keeps busy. */
export interface StageLoad {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  /** Arriving requests to the engines of each stage, per second; absent when unknown. */
  readonly requests?: {
    readonly prefillPerS: number;
    readonly decodePerS: number;
  };
}

/** Number of engines of each stage; an engine that can be used only in part counts as a fraction. */
export interface StageCapacity {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
}

/** Input of `planSplit`. */
export interface SplitInput {
  readonly load: StageLoad;
  /** Number of engines of both stages, including those that are changing their stage. */
  readonly engines: number;
  /** Number of engines that decode now. */
  readonly currentDecode: number;
  /** Number of engines that decode in the default split, kept unless a stage is short of them. */
  readonly defaultDecode: number;
  /** Least number of engines that decode. */
  readonly minDecode: number;
  /** Utilization below which a stage keeps up with the arriving load. */
  readonly busyUtilization?: number;
  /** Returns the capacity of the stages for a number of decode engines; by default all engines can be used fully. */
  readonly getCapacity?: (decodeCount: number) => StageCapacity;
}

/** A planned split. */
export interface SplitPlan {
  /** Number of engines that are to decode. */
  readonly generating: number;
  /** Number of decode engines in the best split, whether or not it is worth the changes. */
  readonly best: number;
  /** Utilization of the busier stage with the default split; 1 is full. */
  readonly usualUse: number;
  /** Utilization of the busier stage with the best split; 1 is full. */
  readonly bestUse: number;
  /** Reason, for operators. */
  readonly cause: string;
}

/**
 * Factor by which decode capacity exceeds the decode load: streams hold their slots for long, and a
 * stream without a slot waits until another one ends.
 */
const DECODE_HEADROOM = 1.2;
/** Default of `busyUtilization`. */
const BUSY_UTILIZATION = 0.8;
/**
 * Least relative decrease of the utilization for a change: a change makes each engine unavailable
 * for seconds, and the load shifts by itself.
 */
const MIN_GAIN = 0.3;
/** Least relative decrease of the utilization for a change while a stage is overloaded. */
const MIN_OVERLOAD_GAIN = 0.2;
/** Largest fraction of the engines that change their stage at once; at least one engine may. */
const MAX_CHANGE_FRACTION = 0.13;

/** Plans the split: the default one, unless a stage would be short of engines. */
export function planSplit(input: SplitInput): SplitPlan {
  const {engines, minDecode, currentDecode, defaultDecode} = input;
  const least = Math.min(minDecode, engines - 1);
  let best = least;
  for (let count = least; count < engines; count++) {
    if (
      computeStageUtilization(input, count) <
      computeStageUtilization(input, best)
    )
      best = count;
  }
  const usualUse = computeStageUtilization(input, defaultDecode);
  const bestUse = computeStageUtilization(input, best);
  const plan = {best, usualUse, bestUse};
  const keep = (cause: string): SplitPlan => ({
    ...plan,
    generating: defaultDecode,
    cause,
  });
  if (best === defaultDecode) return keep('the default split fits the load');
  const {busyUtilization = BUSY_UTILIZATION} = input;
  if (usualUse < busyUtilization) return keep('no stage is busy');
  const minGain = usualUse > 1 ? MIN_OVERLOAD_GAIN : MIN_GAIN;
  if (bestUse > usualUse * (1 - minGain)) {
    return keep('another split gains too little');
  }
  const maxChange = Math.max(1, Math.round(MAX_CHANGE_FRACTION * engines));
  const change = Math.min(
    maxChange,
    Math.max(-maxChange, best - currentDecode),
  );
  const generating = Math.max(least, currentDecode + change);
  return {...plan, generating, cause: 'the load has moved'};
}

/** Returns the utilization of the busier stage; above 1 its requests queue. */
function computeStageUtilization(
  {load, engines, getCapacity}: SplitInput,
  generating: number,
): number {
  const capacity = getCapacity?.(generating) ?? {
    prefillEngines: engines - generating,
    decodeEngines: generating,
  };
  const prefillUse =
    load.prefillEngines / Math.max(capacity.prefillEngines, Number.EPSILON);
  const decodeUse =
    (DECODE_HEADROOM * load.decodeEngines) /
    Math.max(capacity.decodeEngines, Number.EPSILON);
  return Math.max(prefillUse, decodeUse);
}
