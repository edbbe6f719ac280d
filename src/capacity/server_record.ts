/** What one node has learned of one server: the time of its answers by band of load. */
import {
  addRatio,
  createRatioWindow,
  getRatio,
  hasMajority,
  type RatioWindow,
} from './ratio_window';
import type {CapacityEstimate, CapacitySample} from './types';

/** Samples at loads within one band. */
interface LoadBand {
  readonly window: RatioWindow;
  /** Ratio at rest when the band last had a sample. */
  restRatio: number;
}

/** Record of one server. */
export interface ServerRecord {
  readonly startedAtMs: number;
  /** Samples at loads that the server takes well. */
  readonly rest: RatioWindow;
  /** By number of the band; bands without samples are undefined. */
  readonly bands: Array<LoadBand | undefined>;
  /** Time factor that another node told, and when. */
  told?: {readonly timeFactor: number; readonly atMs: number};
  lastSampleMs: number;
  /** Number of this server's samples from answers. */
  sampleCount: number;
  /** Changes with each sample, so that results can be kept. */
  version: number;
  cache?: BandCache;
}

interface BandCache {
  readonly version: number;
  readonly assumed: number;
  readonly ratios: readonly number[];
}

/** Number of bands below a full server; the last band is that of full servers. */
const BANDS_PER_SERVER = 6;
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
export function createServerRecord(startedAtMs: number): ServerRecord {
  return {
    startedAtMs,
    rest: createRatioWindow(),
    bands: [],
    lastSampleMs: Number.NEGATIVE_INFINITY,
    sampleCount: 0,
    version: 0,
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
  const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, sample.ratio));
  const index = getBandIndex(sample.load);
  const band = (record.bands[index] ??= {
    window: createRatioWindow(),
    restRatio: 1,
  });
  addRatio(band.window, ratio, nowMs);
  if (index < findLimit(record)) addRatio(record.rest, ratio, nowMs);
  record.lastSampleMs = nowMs;
  record.version++;
  const restRatio = getRestRatio(record, assumed);
  band.restRatio = restRatio;
  removeOutdatedBands(record, restRatio, nowMs);
}

/** Returns the predicted ratio of observed to nominal time at a load. */
export function getTimeFactor(
  record: ServerRecord,
  assumed: number,
  load: number,
  nowMs: number,
): number {
  const ratio = getBandRatios(record, assumed)[getBandIndex(load)];
  return computeDecayed(record, ratio, assumed, nowMs);
}

/** Returns both figures of a server. */
export function getEstimate(
  record: ServerRecord,
  assumed: number,
  nowMs: number,
): CapacityEstimate {
  const ratios = getBandRatios(record, assumed);
  const timeFactor = computeDecayed(record, ratios[0], assumed, nowMs);
  const limit = ratios.findIndex(ratio => ratio > GOOD_FACTOR * ratios[0]);
  return {
    timeFactor,
    relativeFactor: timeFactor / assumed,
    goodLoad: limit < 0 ? Number.POSITIVE_INFINITY : limit / BANDS_PER_SERVER,
    isKnown: isMeasured(record),
  };
}

/** True when samples determine the ratio at rest. */
export function isMeasured(record: ServerRecord): boolean {
  return hasMajority(record.rest);
}

/** Returns the number of the first band in which the server no longer performs well. */
function findLimit({bands}: ServerRecord): number {
  let lowest: number | undefined;
  for (const [index, band] of bands.entries()) {
    if (band === undefined || !hasMajority(band.window)) continue;
    const ratio = getRatio(band.window, lowest ?? 1);
    lowest ??= ratio;
    if (ratio > GOOD_FACTOR * lowest) return index;
  }
  return Number.POSITIVE_INFINITY;
}

/** Returns the ratio of each band: at least that of the band below, without the deviations that count as none. */
function getBandRatios(
  record: ServerRecord,
  assumed: number,
): readonly number[] {
  const {cache} = record;
  if (cache?.version === record.version && cache.assumed === assumed) {
    return cache.ratios;
  }
  const rest = getRestRatio(record, assumed);
  const isEqual = Math.abs(rest / assumed - 1) <= EQUAL_FRACTION;
  const ratios: number[] = [];
  const limit = findLimit(record);
  let ratio = isEqual ? assumed : rest;
  for (let index = 0; index <= BANDS_PER_SERVER; index++) {
    const band = index < limit ? undefined : record.bands[index];
    const next = band === undefined ? ratio : getRatio(band.window, ratio);
    if (next > MIN_BAND_INCREASE * ratio) ratio = next;
    ratios.push(ratio);
  }
  record.cache = {version: record.version, assumed, ratios};
  return ratios;
}

function getRestRatio(record: ServerRecord, assumed: number): number {
  return getRatio(record.rest, record.told?.timeFactor ?? assumed);
}

function removeOutdatedBands(
  record: ServerRecord,
  rest: number,
  nowMs: number,
): void {
  for (const [index, band] of record.bands.entries()) {
    if (band === undefined) continue;
    const change = Math.max(rest / band.restRatio, band.restRatio / rest);
    const isExpired = nowMs - band.window.lastSampleMs > BAND_EXPIRY_MS;
    if (isExpired || change > MAX_REST_CHANGE) record.bands[index] = undefined;
  }
}

/** Returns the ratio with the excess of a slow server reduced when it had no samples lately. */
function computeDecayed(
  record: ServerRecord,
  ratio: number,
  assumed: number,
  nowMs: number,
): number {
  const lastMs = Math.max(
    record.lastSampleMs,
    record.told?.atMs ?? Number.NEGATIVE_INFINITY,
  );
  const idleMs = nowMs - lastMs - DECAY_DELAY_MS;
  if (idleMs <= 0 || ratio <= assumed) return ratio;
  return assumed + (ratio - assumed) * 2 ** (-idleMs / DECAY_HALF_LIFE_MS);
}

function getBandIndex(load: number): number {
  const index = Math.floor(Math.max(0, load) * BANDS_PER_SERVER);
  return Math.min(BANDS_PER_SERVER, index);
}
