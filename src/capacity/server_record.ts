/** What one node has learned of one server: the time of its answers by band of load. */
import {
  addRatio,
  getNote,
  getRatio,
  getSliceAgeMs,
  hasMajority,
  hasSamples,
  removeSamples,
  setNote,
  WINDOW_SIZE,
} from './ratio_window';
import type {PooledWindows} from './window_pool';
import type {CapacityEstimate, CapacitySample} from './types';

/** Record of one server. */
export interface ServerRecord {
  readonly startedAtMs: number;
  /**
   * Windows of the bands of load, whose note is the ratio at rest when the band
   * last had a sample; then the window of all samples at loads that the server
   * takes well; the place of the last one holds the cached results.
   */
  readonly windows: PooledWindows;
  /** Time factor that another node told, and when. */
  told: {readonly timeFactor: number; readonly atMs: number} | undefined;
  lastSampleMs: number;
  /** The service's factor for which the results are cached; 0 when they are outdated. */
  cachedFor: number;
}

/** Number of bands below a full server; the last band is that of full servers. */
const BANDS_PER_SERVER = 6;
const BAND_COUNT = BANDS_PER_SERVER + 1;
/** Number of the window of the ratio at rest. */
const REST = BAND_COUNT;
/** Number of the window in whose place the ratios of the bands are cached, relative to the service. */
const CACHE = BAND_COUNT + 1;
/** Number of windows of a record. */
export const WINDOWS_PER_RECORD = BAND_COUNT + 2;
/** Factor by which a ratio must exceed that of the band below to count: the medians of nine slices vary by a tenth. */
const MIN_BAND_INCREASE = 1.2;
/** Factor of the ratio at rest from which on a server no longer performs well. */
const GOOD_FACTOR = 1.4;
/** Deviation from the service's factor that counts as none. */
const EQUAL_FRACTION = 0.1;
/** Time without samples after which a band is dropped while others have samples, in milliseconds. */
const BAND_EXPIRY_MS = 30_000;
/** Change of the ratio at rest after which the samples of other bands no longer apply. */
const MAX_REST_CHANGE = 1.5;
/** Time without samples from which on the excess of a slow server decays, and in which it halves, in milliseconds: a server that gets no requests cannot show that it has recovered. */
const DECAY_DELAY_MS = 5_000;
const DECAY_HALF_LIFE_MS = 5_000;
/** Bounds of one sample. */
const MIN_RATIO = 1 / 16;
const MAX_RATIO = 16;

/** Creates a record without samples. */
export function createServerRecord(
  startedAtMs: number,
  windows: PooledWindows,
): ServerRecord {
  return {
    startedAtMs,
    windows,
    told: undefined,
    lastSampleMs: Number.NEGATIVE_INFINITY,
    cachedFor: 0,
  };
}

/** Adds a sample; `assumed` is the time factor of the service. */
export function addSample(
  record: ServerRecord,
  sample: CapacitySample,
  assumed: number,
  nowMs: number,
): void {
  if (!(sample.ratio > 0)) return;
  const {values, first} = record.windows;
  const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, sample.ratio));
  const band = getBand(sample.load);
  addRatio(values, first + band, ratio, nowMs);
  if (band < findLimit(record.windows)) {
    addRatio(values, first + REST, ratio, nowMs);
  }
  record.lastSampleMs = nowMs;
  record.cachedFor = 0;
  const restRatio = getRestRatio(record, assumed);
  setNote(values, first + band, restRatio);
  removeOutdatedBands(record.windows, restRatio, nowMs);
}

/** Sets the time factor that another node told. */
export function setTold(
  record: ServerRecord,
  told: ServerRecord['told'],
): void {
  record.told = told;
  record.cachedFor = 0;
}

/** Returns the predicted time at a load, relative to the service. */
export function getRelativeFactor(
  record: ServerRecord,
  assumed: number,
  load: number,
  nowMs: number,
): number {
  updateCache(record, assumed);
  const {values, first} = record.windows;
  const factor = values[(first + CACHE) * WINDOW_SIZE + getBand(load)];
  return computeDecayed(record, factor, nowMs);
}

/** Returns both figures of a server. */
export function getEstimate(
  record: ServerRecord,
  assumed: number,
  nowMs: number,
): CapacityEstimate {
  const relativeFactor = getRelativeFactor(record, assumed, 0, nowMs);
  const {values, first} = record.windows;
  const cacheAt = (first + CACHE) * WINDOW_SIZE;
  const ratios = values.subarray(cacheAt, cacheAt + BAND_COUNT);
  const limit = ratios.findIndex(ratio => ratio > GOOD_FACTOR * ratios[0]);
  return {
    timeFactor: relativeFactor * assumed,
    relativeFactor,
    goodLoad: limit < 0 ? Number.POSITIVE_INFINITY : limit / BANDS_PER_SERVER,
    isKnown: isMeasured(record),
  };
}

/** True when samples determine the ratio at rest. */
export function isMeasured({windows}: ServerRecord): boolean {
  return hasMajority(windows.values, windows.first + REST);
}

/** Returns the number of the first band in which the server no longer performs well. */
function findLimit({values, first}: PooledWindows): number {
  let lowest = 0;
  for (let band = 0; band < BAND_COUNT; band++) {
    if (!hasMajority(values, first + band)) continue;
    const ratio = getRatio(values, first + band, lowest || 1);
    if (lowest === 0) lowest = ratio;
    else if (ratio > GOOD_FACTOR * lowest) return band;
  }
  return BAND_COUNT;
}

/** Computes the ratio of each band: at least that of the band below, without the deviations that count as none. */
function updateCache(record: ServerRecord, assumed: number): void {
  if (record.cachedFor === assumed) return;
  const {values, first} = record.windows;
  const rest = getRestRatio(record, assumed);
  const isEqual = Math.abs(rest / assumed - 1) <= EQUAL_FRACTION;
  const limit = findLimit(record.windows);
  let ratio = isEqual ? assumed : rest;
  for (let band = 0; band < BAND_COUNT; band++) {
    const next = band < limit ? ratio : getRatio(values, first + band, ratio);
    if (next > MIN_BAND_INCREASE * ratio) ratio = next;
    values[(first + CACHE) * WINDOW_SIZE + band] = ratio / assumed;
  }
  record.cachedFor = assumed;
}

function getRestRatio(record: ServerRecord, assumed: number): number {
  const {values, first} = record.windows;
  return getRatio(values, first + REST, record.told?.timeFactor ?? assumed);
}

function removeOutdatedBands(
  {values, first}: PooledWindows,
  rest: number,
  nowMs: number,
): void {
  for (let band = first; band < first + BAND_COUNT; band++) {
    if (!hasSamples(values, band)) continue;
    const then = getNote(values, band);
    const isChanged = Math.max(rest / then, then / rest) > MAX_REST_CHANGE;
    const isExpired = getSliceAgeMs(values, band, nowMs) > BAND_EXPIRY_MS;
    if (isExpired || isChanged) removeSamples(values, band);
  }
}

/** Returns the factor with the excess of a slow server reduced when it had no samples lately. */
function computeDecayed(
  record: ServerRecord,
  factor: number,
  nowMs: number,
): number {
  if (factor <= 1) return factor;
  const toldMs = record.told?.atMs ?? Number.NEGATIVE_INFINITY;
  const idleMs = nowMs - Math.max(record.lastSampleMs, toldMs) - DECAY_DELAY_MS;
  if (idleMs <= 0) return factor;
  return 1 + (factor - 1) * 2 ** (-idleMs / DECAY_HALF_LIFE_MS);
}

function getBand(load: number): number {
  const band = Math.floor(Math.max(0, load) * BANDS_PER_SERVER);
  return Math.min(BANDS_PER_SERVER, band);
}
