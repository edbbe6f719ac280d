/** Estimates the speeds of each service's model engines from their answers. */
import {
  computePrefillMs,
  DEFAULT_NOMINAL_SPEEDS,
  type NominalSpeeds,
} from './engine_costs';

/** A node's estimates for one service, as it sends them to other nodes. */
export interface SpeedEstimates {
  readonly service: string;
  /** Ratio of observed to nominal prefill time; absent when no prefill was measured. */
  readonly readFactor?: number;
  /** Mean time that a stream occupies its slot, in milliseconds, by route. */
  readonly runMs: Readonly<Record<string, number>>;
}

/** Speed estimates of all services. */
export interface EngineSpeedEstimator {
  /** Predicts the time to prefill a prompt of which the first `cachedTokens` tokens are cached, in milliseconds. */
  predictPrefillMs(
    service: string,
    promptTokens: number,
    cachedTokens: number,
  ): number;
  /** Predicts how long a stream of a route occupies its slot, in milliseconds. */
  predictRunMs(service: string, route: string): number;
  /** Records the nominal and the observed time of a prefill, in milliseconds. */
  recordPrefill(service: string, nominalMs: number, observedMs: number): void;
  /** Records how long a completed stream occupied its slot, in milliseconds. */
  recordRun(service: string, route: string, runMs: number): void;
  /** Returns the ratio of observed to predicted time of prompts, including their waits, in terms of nominal speeds; 1 when nothing was measured. */
  getPrefillFactor(service: string): number;
  /** Records the ratio of observed to nominal time of a prompt without its wait. */
  recordEngineRatio(service: string, ratio: number): void;
  /**
   * Returns the mean ratio of observed to nominal time of the service's engines
   * without waits, to which the factor of each engine is relative. Until enough
   * samples are recorded, it is the factor that includes the waits.
   */
  getEngineFactor(service: string): number;
  listEstimates(): SpeedEstimates[];
  /** Adopts another node's estimates where this node has recorded too few samples. */
  addEstimates(estimates: readonly SpeedEstimates[]): void;
}

/** Ratio of two sums in which older samples decay exponentially. */
interface DecayingRatio {
  observed: number;
  expected: number;
}

interface ServiceSpeeds {
  readonly prefill: DecayingRatio;
  /** Sum of the engines' ratios without waits over their number. */
  readonly engines: DecayingRatio;
  /** Number of recorded ratios without waits. */
  engineSamples: number;
  /** Total slot time of streams over their number, by route. */
  readonly runs: Map<string, DecayingRatio>;
  /** Number of recorded prefill samples. */
  samples: number;
}

/** Factor by which older samples decay with each new one: the sums cover about the latest fifty samples. */
const DECAY_FACTOR = 0.98;
/** Number of recorded prefill samples at which a node stops adopting the prefill estimates of other nodes. */
const MIN_RECORDED_SAMPLES = 20;
/** Weight of another node's prefill estimate, in milliseconds of nominal time: that of a few prefills of 100 ms. */
const PEER_PREFILL_WEIGHT_MS = 500;
/** Weight of another node's slot time estimate, as a number of streams. */
const PEER_RUN_WEIGHT = 5;
/** Slot time that is assumed before a stream has ended, in milliseconds: that of a short answer. */
const ASSUMED_RUN_MS = 100;
/** Largest factor by which one sample may deviate from the estimate, so that a stalled engine doesn't determine the estimate for all. */
const MAX_DEVIATION = 2;
/** Minimum number of recorded samples for outliers to be bounded, and for the mean of the engines to be used. */
const MIN_OUTLIER_SAMPLES = 5;

/** Creates an estimator that starts from the nominal speeds. */
export function createEngineSpeedEstimator(
  nominalSpeeds: NominalSpeeds = DEFAULT_NOMINAL_SPEEDS,
): EngineSpeedEstimator {
  const services = new Map<string, ServiceSpeeds>();
  return {
    predictPrefillMs: (service, promptTokens, cachedTokens) =>
      computePrefillMs(promptTokens, cachedTokens, nominalSpeeds) *
      getPrefillFactor(service),
    predictRunMs: (service, route) =>
      computeRatio(services.get(service)?.runs.get(route)) ?? ASSUMED_RUN_MS,
    recordPrefill: (service, nominalMs, observedMs) => {
      const speeds = getSpeeds(service);
      addBoundedSample(speeds.prefill, observedMs, nominalMs, speeds.samples);
      speeds.samples++;
    },
    recordRun: (service, route, runMs) => {
      addDecayed(getRun(service, route), runMs, 1);
    },
    getPrefillFactor,
    recordEngineRatio: (service, ratio) => {
      const speeds = getSpeeds(service);
      addBoundedSample(speeds.engines, ratio, 1, speeds.engineSamples);
      speeds.engineSamples++;
    },
    getEngineFactor: service => {
      const speeds = services.get(service);
      const isKnown =
        speeds !== undefined && speeds.engineSamples >= MIN_OUTLIER_SAMPLES;
      const factor = isKnown ? computeRatio(speeds.engines) : undefined;
      return factor ?? getPrefillFactor(service);
    },
    listEstimates: () => [...services].map(formatEstimates),
    addEstimates,
  };

  function getPrefillFactor(service: string): number {
    return computeRatio(services.get(service)?.prefill) ?? 1;
  }

  function addEstimates(estimates: readonly SpeedEstimates[]): void {
    for (const {service, readFactor, runMs} of estimates) {
      const speeds = getSpeeds(service);
      if (readFactor !== undefined && speeds.samples < MIN_RECORDED_SAMPLES) {
        setRatio(speeds.prefill, readFactor, PEER_PREFILL_WEIGHT_MS);
      }
      for (const [route, meanMs] of Object.entries(runMs)) {
        const run = getRun(service, route);
        if (run.expected >= PEER_RUN_WEIGHT) continue;
        setRatio(run, meanMs, PEER_RUN_WEIGHT);
      }
    }
  }

  function getRun(service: string, route: string): DecayingRatio {
    const {runs} = getSpeeds(service);
    const known = runs.get(route);
    if (known !== undefined) return known;
    const created = {observed: 0, expected: 0};
    runs.set(route, created);
    return created;
  }

  function getSpeeds(service: string): ServiceSpeeds {
    const known = services.get(service);
    if (known !== undefined) return known;
    const created = {
      prefill: {observed: 0, expected: 0},
      engines: {observed: 0, expected: 0},
      engineSamples: 0,
      runs: new Map<string, DecayingRatio>(),
      samples: 0,
    };
    services.set(service, created);
    return created;
  }
}

function computeRatio(sums: DecayingRatio | undefined): number | undefined {
  if (sums === undefined || sums.expected <= 0) return undefined;
  return sums.observed / sums.expected;
}

function setRatio(sums: DecayingRatio, ratio: number, weight: number): void {
  sums.expected = weight;
  sums.observed = weight * ratio;
}

function formatEstimates([service, speeds]: [
  string,
  ServiceSpeeds,
]): SpeedEstimates {
  const readFactor = computeRatio(speeds.prefill);
  const runMs: Record<string, number> = {};
  for (const [route, run] of speeds.runs) {
    const meanMs = computeRatio(run);
    if (meanMs !== undefined) runMs[route] = Math.round(meanMs);
  }
  return {service, ...(readFactor === undefined ? {} : {readFactor}), runMs};
}

function addBoundedSample(
  sums: DecayingRatio,
  observed: number,
  expected: number,
  samples: number,
): void {
  if (expected <= 0 || observed < 0) return;
  const known = computeRatio(sums);
  const bounded =
    known === undefined || samples < MIN_OUTLIER_SAMPLES
      ? observed
      : Math.min(
          known * expected * MAX_DEVIATION,
          Math.max((known * expected) / MAX_DEVIATION, observed),
        );
  addDecayed(sums, bounded, expected);
}

function addDecayed(
  sums: DecayingRatio,
  observed: number,
  expected: number,
): void {
  sums.observed = sums.observed * DECAY_FACTOR + observed;
  sums.expected = sums.expected * DECAY_FACTOR + expected;
}
