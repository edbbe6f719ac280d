/** Derives the number of servers that a service needs from samples of its load. */
import type {ServerLoad, ServerNeed} from './types';

/** Samples of a service's load. */
export interface NeedMeter {
  /** Adds a sample; an unknown load discards the earlier ones. */
  record(nowMs: number, load: ServerLoad | undefined): void;
  /** Returns the need; undefined while the load is unknown. `minPrefill` engines are needed for other reasons than the load. */
  tryGetNeed(
    nowMs: number,
    startupMs: number,
    minPrefill: number,
  ): ServerNeed | undefined;
}

type Engines = Pick<ServerLoad, 'prefillEngines' | 'decodeEngines'>;

/** Utilization of prefill engines that is aimed at: bursts of twice the mean come within seconds, and a server takes seconds to start and to change its stage. At 0.8, prompts still begin within their objectives. */
const PREFILL_UTILIZATION = 0.4;
/** Utilization of decode slots that is aimed at: a stream without a slot waits until another one ends. */
const DECODE_UTILIZATION = 0.6;
/** Utilization of both stages that is accepted after the loss of a failure domain's reclaimable servers, until they are replaced. */
const LOSS_UTILIZATION = 0.8;
/** Time whose peak decides about the release of servers, in milliseconds. */
const PEAK_MS = 20_000;
/** How long the load must be known before servers are released, in milliseconds. */
const MIN_KNOWN_MS = 10_000;
/** The trend compares the load of the latest period with that of the period before, in milliseconds. */
const LATEST_MS = 2_000;
const EARLIER_MS = 5_000;
/** Ratio of the latest to the earlier load from which on it counts as a trend: at some ten prompts per second the measured load varies by a fifth. */
const MIN_TREND_RATIO = 1.25;
/** Largest forecast relative to the current load: bursts of twice the mean are expected, larger ones are not. */
const MAX_FORECAST_RATIO = 2;

/** Creates a meter without samples. */
export function createNeedMeter(): NeedMeter {
  let samples: Array<{atMs: number; load: ServerLoad}> = [];
  let knownSinceMs = 0;
  return {record, tryGetNeed};

  function record(nowMs: number, load: ServerLoad | undefined): void {
    if (load === undefined) {
      samples = [];
      return;
    }
    if (samples.length === 0) knownSinceMs = nowMs;
    samples.push({atMs: nowMs, load});
    samples = samples.filter(({atMs}) => nowMs - atMs <= PEAK_MS);
  }

  function tryGetNeed(
    nowMs: number,
    startupMs: number,
    minPrefill: number,
  ): ServerNeed | undefined {
    if (samples.length === 0) return undefined;
    const latest = computeMean(nowMs - LATEST_MS, nowMs);
    const earlier = computeMean(
      nowMs - LATEST_MS - EARLIER_MS,
      nowMs - LATEST_MS,
    );
    const getNeed = (load: Engines) =>
      computeNeed(load, PREFILL_UTILIZATION, DECODE_UTILIZATION, minPrefill);
    const hasEarlier = nowMs - knownSinceMs >= LATEST_MS + EARLIER_MS;
    const forecast = getNeed(
      hasEarlier ? predictLoad(latest, earlier, startupMs) : latest,
    );
    const isKnownLong = nowMs - knownSinceMs >= MIN_KNOWN_MS;
    return {
      forecast,
      bare: getPeak(load =>
        computeNeed(load, LOSS_UTILIZATION, LOSS_UTILIZATION, 0),
      ),
      domainShares: computeShares(),
      ...(isKnownLong ? {peak: getPeak(getNeed)} : {}),
    };
  }

  function getPeak(getValue: (load: Engines) => number): number {
    return Math.max(...samples.map(({load}) => getValue(load)));
  }

  /** Averages the shares: within a short time few requests arrive in a failure domain. */
  function computeShares(): Record<string, number> {
    const shares: Record<string, number> = {};
    for (const {load} of samples) {
      for (const [domain, share] of Object.entries(load.domainShares)) {
        shares[domain] = (shares[domain] ?? 0) + share / samples.length;
      }
    }
    return shares;
  }

  function computeMean(fromMs: number, toMs: number): Engines {
    const chosen = samples.filter(({atMs}) => atMs > fromMs && atMs <= toMs);
    const getMean = (getValue: (load: Engines) => number) =>
      chosen.reduce((sum, {load}) => sum + getValue(load), 0) /
      Math.max(1, chosen.length);
    return {
      prefillEngines: getMean(load => load.prefillEngines),
      decodeEngines: getMean(load => load.decodeEngines),
    };
  }
}

/** Continues the trend of the load for the time that a server takes to start. */
function predictLoad(
  latest: Engines,
  earlier: Engines,
  startupMs: number,
): Engines {
  const steps = startupMs / ((LATEST_MS + EARLIER_MS) / 2);
  const predict = (now: number, before: number) =>
    now < MIN_TREND_RATIO * before
      ? now
      : Math.min(MAX_FORECAST_RATIO * now, now + (now - before) * steps);
  return {
    prefillEngines: predict(latest.prefillEngines, earlier.prefillEngines),
    decodeEngines: predict(latest.decodeEngines, earlier.decodeEngines),
  };
}

function computeNeed(
  load: Engines,
  prefillUtilization: number,
  decodeUtilization: number,
  minPrefill: number,
): number {
  const prefill = Math.ceil(load.prefillEngines / prefillUtilization);
  const decode = Math.ceil(load.decodeEngines / decodeUtilization);
  return Math.max(minPrefill, prefill) + decode;
}
