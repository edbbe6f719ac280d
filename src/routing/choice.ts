/**
 * Policies that choose the engine for a request: by predicted completion time, round robin or
 * least loaded.
 */
import type {EngineEntry} from './engine_table';
import {
  getRequestCount,
  type Job,
  type DigestWork,
  type Prediction,
  predictTimes,
} from './estimate';

/** An engine that is always compared, such as one that probably has the prompt's prefix cached. */
export interface Candidate {
  readonly engine: EngineEntry;
  /** Prompt tokens expected in its prefix cache; 0 when none. */
  readonly cachedTokens: number;
}

/** Input of a choice. */
export interface ChoiceContext {
  /** Engines of the requested pool and role. */
  readonly engines: readonly EngineEntry[];
  /** Engines to compare besides the sample from `engines`. `canUse` is applied to them too. */
  readonly candidates: readonly Candidate[];
  readonly job: Job;
  readonly nowMs: number;
  /** Time to the deadline, in milliseconds. */
  readonly timeToDeadlineMs: number;
  /** Returns a random number in [0, 1). */
  getRandom(): number;
  /** Returns whether the request may be sent to the engine now. */
  canUse(engine: EngineEntry): boolean;
  /** Returns the work of other nodes at the engine according to their digests. */
  tryGetDigestWork(engine: EngineEntry): DigestWork | undefined;
}

/** The chosen engine and the reason for the choice. */
export interface Choice {
  readonly engine: EngineEntry;
  readonly cachedTokens: number;
  readonly prediction: Prediction;
  /** Human-readable reason for the choice. */
  readonly cause: string;
}

/** Chooses an engine; returns undefined if none is usable. */
export type ChooseEngine = (context: ChoiceContext) => Choice | undefined;

/** Options of the choice by predicted completion time. */
export interface PredictedChoiceOptions {
  /** Randomly sampled engines compared for each request, in addition to the candidates. */
  readonly sampleSize?: number;
  /** Score added for each millisecond past the deadline; one of completion time adds 1. */
  readonly latenessWeight?: number;
  /** Score added for each millisecond of engine time spent on prefill. */
  readonly prefillWeight?: number;
  /**
   * Largest random increase of a score, as a fraction; spreads the requests of nodes that see
   * the same load.
   */
  readonly jitter?: number;
}

const PREDICTED_DEFAULTS = {
  sampleSize: 2,
  latenessWeight: 4,
  prefillWeight: 1,
  jitter: 0.1,
};
/** Random draws allowed for each sampled engine, since a draw may hit an unusable one. */
const MAX_DRAWS_PER_SAMPLE = 3;
/** Answers needed before an engine's own slowdown is used in predictions. */
const MIN_SLOWDOWN_SAMPLES = 10;

/** Creates the policy that takes the best score among the candidates and a random sample. */
export function createPredictedChoice(
  options: PredictedChoiceOptions = {},
): ChooseEngine {
  const {sampleSize, latenessWeight, prefillWeight, jitter} = {
    ...PREDICTED_DEFAULTS,
    ...options,
  };
  return context => {
    let best: Choice | undefined;
    let bestScore = Infinity;
    let compared = 0;
    for (const candidate of context.candidates) {
      if (context.canUse(candidate.engine)) {
        compare(candidate.engine, candidate.cachedTokens);
      }
    }
    forEachSampled(context, sampleSize, engine => {
      if (!context.candidates.some(candidate => candidate.engine === engine)) {
        compare(engine, 0);
      }
    });
    return best;

    function compare(engine: EngineEntry, cachedTokens: number): void {
      const prediction = tryPredict(context, engine, cachedTokens);
      if (prediction === undefined) return;
      compared++;
      const score =
        computeScore(prediction, context.timeToDeadlineMs, {
          latenessWeight,
          prefillWeight,
        }) *
        (1 + jitter * context.getRandom());
      if (score >= bestScore) return;
      bestScore = score;
      const cause = getCause(prediction, cachedTokens, compared);
      best = {engine, cachedTokens, prediction, cause};
    }
  };
}

/** Returns the score of an engine without its random increase; lower is better. */
export function computeScore(
  prediction: Prediction,
  timeToDeadlineMs: number,
  weights: {
    readonly latenessWeight: number;
    readonly prefillWeight: number;
  } = PREDICTED_DEFAULTS,
): number {
  const lateMs = Math.max(0, prediction.completionMs - timeToDeadlineMs);
  return (
    prediction.completionMs +
    weights.latenessWeight * lateMs +
    weights.prefillWeight * prediction.prefillMs
  );
}

/** Creates the round-robin baseline: takes the usable engines in turn. */
export function createRoundRobinChoice(): ChooseEngine {
  let turn = 0;
  return context => {
    const {engines} = context;
    for (let tries = 0; tries < engines.length; tries++) {
      const engine = engines[turn++ % engines.length];
      if (!context.canUse(engine)) continue;
      return createChoice(context, engine, 'next in round-robin order');
    }
    return undefined;
  };
}

/** Creates the least-loaded baseline: takes the engine with the fewest known requests. */
export function createLeastLoadedChoice(): ChooseEngine {
  return context => {
    let best: EngineEntry | undefined;
    let fewest = Infinity;
    for (const engine of context.engines) {
      if (!context.canUse(engine)) continue;
      const count = getRequestCount(engine.load, context.nowMs);
      if (count >= fewest) continue;
      fewest = count;
      best = engine;
    }
    if (best === undefined) return undefined;
    return createChoice(context, best, `fewest requests (${fewest})`);
  };
}

/** Predicts the times of the job at an engine; undefined if the engine has not reported yet. */
export function tryPredict(
  context: Pick<ChoiceContext, 'job' | 'nowMs' | 'tryGetDigestWork'>,
  engine: EngineEntry,
  cachedTokens: number,
): Prediction | undefined {
  const {report} = engine.load;
  if (report === undefined) return undefined;
  return predictTimes(engine.load, report, context.job, {
    nowMs: context.nowMs,
    cachedTokens,
    slowdown: getSlowdown(engine),
    digestWork: context.tryGetDigestWork(engine),
  });
}

/** Returns how much slower an engine is than the average of its role; 1 if it is not or unknown. */
export function getSlowdown(engine: EngineEntry): number {
  const {health, load} = engine;
  if (health.samples < MIN_SLOWDOWN_SAMPLES || load.roleLoad === undefined)
    return 1;
  return Math.max(1, health.slowdown / load.roleLoad.slowdown);
}

/** Visits up to `sampleSize` usable engines, chosen at random. */
function forEachSampled(
  context: ChoiceContext,
  sampleSize: number,
  visit: (engine: EngineEntry) => void,
): void {
  const {engines} = context;
  const count = engines.length;
  let found = 0;
  if (count <= sampleSize * MAX_DRAWS_PER_SAMPLE) {
    // Scans a small pool from a random start, so that a sample smaller than the pool is random.
    const start = Math.floor(context.getRandom() * count);
    for (let step = 0; step < count && found < sampleSize; step++) {
      const engine = engines[(start + step) % count];
      if (!context.canUse(engine)) continue;
      found++;
      visit(engine);
    }
    return;
  }
  for (let draw = 0; draw < sampleSize * MAX_DRAWS_PER_SAMPLE; draw++) {
    const engine = engines[Math.floor(context.getRandom() * count)];
    if (!context.canUse(engine)) continue;
    visit(engine);
    if (++found === sampleSize) return;
  }
}

function createChoice(
  context: ChoiceContext,
  engine: EngineEntry,
  cause: string,
): Choice | undefined {
  const prediction = tryPredict(context, engine, 0);
  if (prediction === undefined) return undefined;
  return {engine, cachedTokens: 0, prediction, cause};
}

function getCause(
  prediction: Prediction,
  cachedTokens: number,
  compared: number,
): string {
  const completionMs = Math.round(prediction.completionMs);
  const cached =
    cachedTokens > 0 ? `, ${cachedTokens} prompt tokens cached` : '';
  return `predicted completion in ${completionMs} ms, best of ${compared}${cached}`;
}
