/** Chooses an engine for a request: by prediction, or by one of the baselines. */
import type {EngineEntry} from './engine_table';
import {
  getRequestCount,
  type Job,
  type PeerWork,
  type Prediction,
  predictTimes,
} from './estimate';

/** An engine that probably holds leading blocks of the prompt. */
export interface Candidate {
  readonly engine: EngineEntry;
  /** Prompt tokens expected in its prefix cache. */
  readonly cachedTokens: number;
}

/** What a choice is made from. */
export interface ChoiceContext {
  /** Engines of the pool and role wanted. */
  readonly engines: readonly EngineEntry[];
  /** Engines outside `engines` are ignored by the caller's `canUse`. */
  readonly candidates: readonly Candidate[];
  readonly job: Job;
  readonly nowMs: number;
  /** Time to the deadline, in milliseconds. */
  readonly timeToDeadlineMs: number;
  getRandom(): number;
  /** Returns whether the request may go to the engine now. */
  canUse(engine: EngineEntry): boolean;
  tryGetPeerWork(engine: EngineEntry): PeerWork | undefined;
}

/** The engine chosen, and why. */
export interface Choice {
  readonly engine: EngineEntry;
  readonly cachedTokens: number;
  readonly prediction: Prediction;
  /** Why this engine, for a person. */
  readonly cause: string;
}

/** Chooses an engine, or none. */
export type ChooseEngine = (context: ChoiceContext) => Choice | undefined;

/** Options of the choice by prediction. */
export interface PredictedChoiceOptions {
  /** Engines compared for each request, beside those that hold its prefix. */
  readonly sampleSize?: number;
  /** What each millisecond past the deadline counts, against one of completion. */
  readonly latenessWeight?: number;
  /** What each millisecond of engine time for prefill counts. */
  readonly prefillWeight?: number;
  /** Random part of a score, so that nodes with the same picture spread. */
  readonly jitter?: number;
}

const PREDICTED_DEFAULTS = {
  sampleSize: 2,
  latenessWeight: 4,
  prefillWeight: 1,
  jitter: 0.1,
};
/** Engines drawn at random before the sample counts as exhausted, for each one wanted. */
const MAX_DRAWS_PER_SAMPLE = 3;
const MIN_SLOWDOWN_SAMPLES = 10;

/** Creates the choice by predicted completion over a random sample and the prefix holders. */
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
      const lateMs = Math.max(
        0,
        prediction.completionMs - context.timeToDeadlineMs,
      );
      const score =
        (prediction.completionMs +
          latenessWeight * lateMs +
          prefillWeight * prediction.prefillMs) *
        (1 + jitter * context.getRandom());
      if (score >= bestScore) return;
      bestScore = score;
      const cause = getCause(prediction, cachedTokens, compared);
      best = {engine, cachedTokens, prediction, cause};
    }
  };
}

/** Creates the baseline that takes the usable engines in turn. */
export function createRoundRobinChoice(): ChooseEngine {
  let turn = 0;
  return context => {
    const {engines} = context;
    for (let tries = 0; tries < engines.length; tries++) {
      const engine = engines[turn++ % engines.length];
      if (!context.canUse(engine)) continue;
      return createChoice(context, engine, 'its turn');
    }
    return undefined;
  };
}

/** Creates the baseline that takes the engine with the fewest requests known. */
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

/** Predicts the times of the job at an engine. */
export function tryPredict(
  context: Pick<ChoiceContext, 'job' | 'nowMs' | 'tryGetPeerWork'>,
  engine: EngineEntry,
  cachedTokens: number,
): Prediction | undefined {
  const {report} = engine.load;
  if (report === undefined) return undefined;
  return predictTimes(engine.load, report, context.job, {
    nowMs: context.nowMs,
    cachedTokens,
    slowdown: getSlowdown(engine),
    digestWork: context.tryGetPeerWork(engine),
  });
}

/** How much slower than its fleet an engine is, once enough answers have shown it. */
function getSlowdown(engine: EngineEntry): number {
  const {health, load} = engine;
  if (health.samples < MIN_SLOWDOWN_SAMPLES || load.roleLoad === undefined)
    return 1;
  return Math.max(1, health.slowdown / load.roleLoad.slowdown);
}

/** Visits usable engines: all of a small pool, else some drawn at random. */
function forEachSampled(
  context: ChoiceContext,
  sampleSize: number,
  visit: (engine: EngineEntry) => void,
): void {
  const {engines} = context;
  const count = engines.length;
  let found = 0;
  if (count <= sampleSize * MAX_DRAWS_PER_SAMPLE) {
    // Starts anywhere, so that a part of a small pool is as random as a draw.
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
  const cached = cachedTokens > 0 ? `, ${cachedTokens} tokens cached` : '';
  return `done in ${completionMs} ms, best of ${compared}${cached}`;
}
