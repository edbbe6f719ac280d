/**
 * Robust ratio of observed to nominal times: the median of short slices of time,
 * each the median of its samples. A spike that covers fewer than half of the
 * slices has no effect, however many samples fall into it.
 */

/** Ratios of the latest slices. */
export interface RatioWindow {
  /** Medians of the closed slices; 0 where there is none yet. */
  readonly slices: Float32Array;
  closedCount: number;
  /** Latest samples of the open slice. */
  readonly samples: Float32Array;
  sampleCount: number;
  openedAtMs: number;
  lastSampleMs: number;
}

/** Minimum length of a slice, in milliseconds: a spike of 600 ms touches four at most. */
const SLICE_MS = 200;
/** Number of slices of which the median is taken, the open one included. */
const SLICE_COUNT = 9;
/** Number of slices that determine the median. */
const MAJORITY = 5;
/** Number of samples of a slice that are kept. */
const SAMPLE_COUNT = 7;

/** Creates a window without samples. */
export function createRatioWindow(): RatioWindow {
  return {
    slices: new Float32Array(SLICE_COUNT - 1),
    closedCount: 0,
    samples: new Float32Array(SAMPLE_COUNT),
    sampleCount: 0,
    openedAtMs: 0,
    lastSampleMs: Number.NEGATIVE_INFINITY,
  };
}

/** Adds a sample. */
export function addRatio(
  window: RatioWindow,
  ratio: number,
  nowMs: number,
): void {
  if (window.sampleCount === 0) window.openedAtMs = nowMs;
  else if (nowMs - window.openedAtMs >= SLICE_MS) {
    window.slices[window.closedCount % window.slices.length] =
      computeSliceMedian(window);
    window.closedCount++;
    window.sampleCount = 0;
    window.openedAtMs = nowMs;
  }
  window.samples[window.sampleCount % SAMPLE_COUNT] = ratio;
  window.sampleCount++;
  window.lastSampleMs = nowMs;
}

/** Returns the median of the slices, of which the missing ones count as `assumed`. */
export function getRatio(window: RatioWindow, assumed: number): number {
  const values = Array.from(window.slices, value => value || assumed);
  values.push(computeSliceMedian(window) ?? assumed);
  return getMedian(values);
}

/** True when samples, not the assumed value, determine the ratio. */
export function hasMajority(window: RatioWindow): boolean {
  return window.sampleCount > 0 && window.closedCount + 1 >= MAJORITY;
}

function computeSliceMedian(window: RatioWindow): number {
  const count = Math.min(window.sampleCount, SAMPLE_COUNT);
  return getMedian([...window.samples.subarray(0, count)]);
}

/** Returns the median; the lower one of an even number of values, as answers are late more often than early. */
function getMedian(values: number[]): number {
  values.sort((left, right) => left - right);
  return values[(values.length - 1) >> 1];
}
