/** Plans how many engines of a service read prompts and how many generate, by the load on each stage. Pure. */

/** Work that arrives, as the number of engines that it keeps busy. */
export interface StageLoad {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
}

/** What the plan looks at. */
export interface SplitInput {
  readonly load: StageLoad;
  /** Engines of both stages, those on their way included. */
  readonly engines: number;
  readonly currentDecode: number;
  /** Engines that generate while no stage is short of them. */
  readonly usualDecode: number;
  /** Engines that generate at least. */
  readonly minDecode: number;
}

/** A planned split. */
export interface SplitPlan {
  readonly generating: number;
  /** The best split, whether it is worth its changes or not. */
  readonly best: number;
  /** Part of the engines' time that the busier stage takes, with the usual split and with the best one. */
  readonly usualUse: number;
  readonly bestUse: number;
  /** Why, for a person. */
  readonly cause: string;
}

/** Engines to spare for generating: streams hold their slots for long, and one without a slot waits for another's end. */
const DECODE_HEADROOM = 1.2;
/** Use up to which a stage serves what arrives. */
const BUSY_UTILIZATION = 0.8;
/** Part by which the use must fall for a change: it takes each engine away for seconds, and the load moves by itself. */
const MIN_GAIN = 0.3;
/** The same where a stage cannot serve what arrives. */
const MIN_OVERLOAD_GAIN = 0.2;
/** Part of the engines that change at once. */
const MAX_CHANGE_FRACTION = 0.13;

/** Plans the split: the usual one, unless a stage is short of engines with it. */
export function planSplit(input: SplitInput): SplitPlan {
  const {
    engines,
    minDecode: minGenerating,
    currentDecode: presentGenerating,
    usualDecode: usualGenerating,
  } = input;
  const least = Math.min(minGenerating, engines - 1);
  let best = least;
  for (let count = least; count < engines; count++) {
    if (
      computeStageUtilization(input, count) <
      computeStageUtilization(input, best)
    )
      best = count;
  }
  const usualUse = computeStageUtilization(input, usualGenerating);
  const bestUse = computeStageUtilization(input, best);
  const plan = {best, usualUse, bestUse};
  const keep = (cause: string): SplitPlan => ({
    ...plan,
    generating: usualGenerating,
    cause,
  });
  if (best === usualGenerating) return keep('the usual split fits the load');
  if (usualUse < BUSY_UTILIZATION) return keep('no stage is busy');
  const minGain = usualUse > 1 ? MIN_OVERLOAD_GAIN : MIN_GAIN;
  if (bestUse > usualUse * (1 - minGain)) {
    return keep('another split gains too little');
  }
  const maxChange = Math.max(1, Math.round(MAX_CHANGE_FRACTION * engines));
  const change = Math.min(
    maxChange,
    Math.max(-maxChange, best - presentGenerating),
  );
  const generating = Math.max(least, presentGenerating + change);
  return {...plan, generating, cause: 'the load has moved'};
}

/** Returns the part of its engines' time that the busier stage takes; above 1 its work waits. */
function computeStageUtilization(
  {load, engines}: SplitInput,
  generating: number,
): number {
  const prefillCount = engines - generating;
  const prefillUse =
    load.prefillEngines / Math.max(prefillCount, Number.EPSILON);
  const decodeUse =
    (DECODE_HEADROOM * load.decodeEngines) /
    Math.max(generating, Number.EPSILON);
  return Math.max(prefillUse, decodeUse);
}
