/** Speeds of the model engines of each service, learned from their answers. */
import {
  computePrefillMs,
  DEFAULT_NOMINAL_SPEEDS,
  type NominalSpeeds,
} from './engine_costs';

/** What other nodes learn from one that has measured. */
export interface SpeedEstimates {
  readonly service: string;
  /** Observed over sheet time of reading prompts; absent when no prompt was read. */
  readonly readFactor?: number;
  /** Mean time of a stream by route, in milliseconds. */
  readonly runMs: Readonly<Record<string, number>>;
}

/** Learned speeds. */
export interface EngineSpeedEstimator {
  /** Returns the time to read a prompt of which `cachedTokens` are kept, in milliseconds. */
  predictPrefillMs(
    service: string,
    promptTokens: number,
    cachedTokens: number,
  ): number;
  /** Returns how long a stream of a route keeps its slot, in milliseconds. */
  predictRunMs(service: string, route: string): number;
  /** Takes a prompt that was read: what the sheet says and what it took, in milliseconds. */
  recordPrefill(service: string, nominalMs: number, observedMs: number): void;
  /** Takes a stream that ran to its end, and how long it kept its slot, in milliseconds. */
  recordRun(service: string, route: string, runMs: number): void;
  /** Observed over sheet time of reading prompts; 1 when nothing was measured. */
  getPrefillFactor(service: string): number;
  listEstimates(): SpeedEstimates[];
  /** Takes what another node has measured, where this one has measured less. */
  addEstimates(estimates: readonly SpeedEstimates[]): void;
}

/** A quotient of two sums in which old samples fade. */
interface DecayingRatio {
  observed: number;
  expected: number;
}

interface ServiceSpeeds {
  readonly prefill: DecayingRatio;
  /** Time of streams over their number, by route. */
  readonly runs: Map<string, DecayingRatio>;
  samples: number;
}

/** Part of the older samples that is left after a new one: some fifty count. */
const DECAY_FACTOR = 0.98;
/** Samples of its own from which on a node no longer takes the figures of others. */
const MIN_LOCAL_SAMPLES = 20;
/** Weight of another node's figures: some reads of 100 ms by the sheet, and some streams. */
const PEER_PREFILL_WEIGHT_MS = 500;
const PEER_RUN_WEIGHT = 5;
/** Time of a stream that is assumed before one has ended, in milliseconds: a short answer. */
const ASSUMED_RUN_MS = 100;
/** How far from the learned speed one sample may be, so that a stalled engine doesn't set the speed of all. */
const MAX_DEVIATION = 2;
/** Samples from which on outliers are bounded. */
const MIN_OUTLIER_SAMPLES = 5;

/** Creates a book that knows the sheets' speeds only. */
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
    listEstimates: () => [...services].map(formatEstimates),
    addEstimates,
  };

  function getPrefillFactor(service: string): number {
    return computeRatio(services.get(service)?.prefill) ?? 1;
  }

  function addEstimates(estimates: readonly SpeedEstimates[]): void {
    for (const {service, readFactor, runMs} of estimates) {
      const speeds = getSpeeds(service);
      if (readFactor !== undefined && speeds.samples < MIN_LOCAL_SAMPLES) {
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
