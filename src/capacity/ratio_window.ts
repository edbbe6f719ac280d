/**
 * Robust ratio of observed to nominal times: the median of short slices of time,
 * each the median of its latest samples. A spike that covers fewer than half of
 * the slices has no effect, however many samples fall into it. A window is a
 * range of an array, since a server has eight of them and objects take more
 * memory than their values.
 */

/** Values of several windows, one after another. */
export type WindowValues = Float32Array;

/** Minimum length of a slice, in milliseconds: a spike of 600 ms touches four at most. */
const SLICE_MS = 200;
/** Number of closed slices; the median is taken of these and the open one. */
const CLOSED_COUNT = 8;
/** Number of slices that determine the median. */
const MAJORITY = 5;
/** Number of samples of the open slice that are kept. */
const SAMPLE_COUNT = 3;
/** Places within a window: closed slices (0: none), samples of the open slice, and these. */
const SAMPLES_AT = CLOSED_COUNT;
const CLOSED_AT = SAMPLES_AT + SAMPLE_COUNT;
const SAMPLED_AT = CLOSED_AT + 1;
const OPENED_AT = CLOSED_AT + 2;
/** Place of a value that the window's owner may use. */
const NOTE_AT = CLOSED_AT + 3;
/** Number of values of a window. */
export const WINDOW_SIZE = NOTE_AT + 1;
/** Times are kept in units of 10 ms modulo this, which 32-bit floating-point numbers represent exactly; it is 46 hours. */
const TIME_UNIT_MS = 10;
const TIME_PERIOD = 2 ** 24;

const scratch = new Float64Array(CLOSED_COUNT + 1);

/** Adds a sample to a window. */
export function addRatio(
  values: WindowValues,
  window: number,
  ratio: number,
  nowMs: number,
): void {
  const at = window * WINDOW_SIZE;
  const now = Math.floor(nowMs / TIME_UNIT_MS) % TIME_PERIOD;
  const isOpen = values[at + SAMPLED_AT] > 0;
  const isOver = computeAgeMs(values[at + OPENED_AT], now) >= SLICE_MS;
  if (isOpen && isOver) {
    const closed = values[at + CLOSED_AT];
    values[at + (closed % CLOSED_COUNT)] = computeSliceMedian(values, at);
    // Beyond a full window, only the place of the next slice matters.
    values[at + CLOSED_AT] =
      closed + 1 >= 2 * CLOSED_COUNT ? CLOSED_COUNT : closed + 1;
  }
  if (!isOpen || isOver) {
    values[at + SAMPLED_AT] = 0;
    values[at + OPENED_AT] = now;
  }
  const count = values[at + SAMPLED_AT];
  values[at + SAMPLES_AT + (count % SAMPLE_COUNT)] = ratio;
  values[at + SAMPLED_AT] =
    count + 1 >= 2 * SAMPLE_COUNT ? SAMPLE_COUNT : count + 1;
}

/** True when a window has samples. */
export function hasSamples(values: WindowValues, window: number): boolean {
  return values[window * WINDOW_SIZE + SAMPLED_AT] > 0;
}

/** True when samples, not the assumed value, determine the ratio. */
export function hasMajority(values: WindowValues, window: number): boolean {
  return values[window * WINDOW_SIZE + CLOSED_AT] + 1 >= MAJORITY;
}

/** Returns the median of the slices, of which the missing ones count as `assumed`. */
export function getRatio(
  values: WindowValues,
  window: number,
  assumed: number,
): number {
  const at = window * WINDOW_SIZE;
  for (let index = 0; index < CLOSED_COUNT; index++) {
    addSorted(index, values[at + index] || assumed);
  }
  addSorted(CLOSED_COUNT, computeSliceMedian(values, at) || assumed);
  return scratch[CLOSED_COUNT >> 1];
}

/** Returns the time since the latest slice was opened, in milliseconds; its latest sample is less than a slice younger. */
export function getSliceAgeMs(
  values: WindowValues,
  window: number,
  nowMs: number,
): number {
  const now = Math.floor(nowMs / TIME_UNIT_MS) % TIME_PERIOD;
  return computeAgeMs(values[window * WINDOW_SIZE + OPENED_AT], now);
}

/** Returns the value that the owner has set. */
export function getNote(values: WindowValues, window: number): number {
  return values[window * WINDOW_SIZE + NOTE_AT];
}

/** Sets the owner's value. */
export function setNote(
  values: WindowValues,
  window: number,
  note: number,
): void {
  values[window * WINDOW_SIZE + NOTE_AT] = note;
}

/** Removes all samples of a window. */
export function removeSamples(values: WindowValues, window: number): void {
  const at = window * WINDOW_SIZE;
  values.fill(0, at, at + WINDOW_SIZE);
}

/** Returns the median of the open slice; of two samples the lower one, as answers are late more often than early. */
function computeSliceMedian(values: WindowValues, at: number): number {
  const first = values[at + SAMPLES_AT];
  const second = values[at + SAMPLES_AT + 1];
  const third = values[at + SAMPLES_AT + 2];
  const count = values[at + SAMPLED_AT];
  if (count === 0) return 0;
  if (count === 1) return first;
  const lower = Math.min(first, second);
  if (count === 2) return lower;
  return Math.max(lower, Math.min(Math.max(first, second), third));
}

/** Inserts a value into the first `count` sorted ones. */
function addSorted(count: number, value: number): void {
  let index = count;
  for (; index > 0 && scratch[index - 1] > value; index--) {
    scratch[index] = scratch[index - 1];
  }
  scratch[index] = value;
}

function computeAgeMs(then: number, now: number): number {
  return ((now - then + TIME_PERIOD) % TIME_PERIOD) * TIME_UNIT_MS;
}
