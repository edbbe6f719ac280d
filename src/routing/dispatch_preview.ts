/** Predicts what a dispatcher would do with a request, by the functions that requests use and without an effect. */
import {EngineRole, EngineState} from '../backends';
import {computeScore, getSlowdown, tryPredict} from './choice';
import type {Ejector} from './ejection';
import type {EngineEntry} from './engine_table';
import {getRequestCount, type Job} from './estimate';
import {
  createOpenRequest,
  getOutputKey,
  type OpenRequest,
} from './open_request';
import type {OutputEstimate} from './output_estimate';
import {createPlacement, type PlacementOptions} from './placement';
import type {RequestScheduler} from './request_scheduler';
import {isSelected} from './selector';
import type {Submission} from './submission';
import {createDrainingFailure, tryGetSubmitRefusal} from './submit_check';
import type {
  AnswerSink,
  Dispatcher,
  ModelRequest,
  PredictedDispatch,
  ServerView,
} from './types';

/** Options of a preview. */
export interface DispatchPreviewOptions {
  readonly placement: Omit<PlacementOptions, 'ejector'> & {
    readonly ejector: Pick<Ejector, 'isUsable' | 'getUsableChance'>;
  };
  readonly scheduler: Pick<RequestScheduler, 'predictSubmission'>;
  readonly outputEstimate: Pick<OutputEstimate, 'getTokens'>;
  readonly isDraining: () => boolean;
}

const NO_SINK: AnswerSink = {
  onTokens: () => undefined,
  onEnd: () => undefined,
  onFailure: () => undefined,
};

/** Creates the preview; limits of client accounts are not checked. */
export function createDispatchPreview(
  options: DispatchPreviewOptions,
): Pick<Dispatcher, 'predictDispatch' | 'listServerViews'> {
  const {table, ejector, host} = options.placement;
  return {predictDispatch, listServerViews};

  function predictDispatch(
    request: ModelRequest,
    getRandom: () => number,
  ): PredictedDispatch {
    const nowMs = host.clock.getMonotonicMs();
    const entry = createEntry(request, nowMs);
    const failure = options.isDraining()
      ? createDrainingFailure()
      : tryGetSubmitRefusal(entry, undefined, nowMs);
    if (failure !== undefined) return {kind: 'refuse', failure};
    const view = createPlacement({
      ...options.placement,
      host: {...host, getRandom},
      ejector: {
        isUsable: (health, atMs) => ejector.isUsable(health, atMs, getRandom),
      },
    });
    return toPrediction(
      options.scheduler.predictSubmission(entry, view),
      nowMs,
    );
  }

  function createEntry(request: ModelRequest, nowMs: number): OpenRequest {
    const {model, maxTokens} = request;
    const key = getOutputKey(request);
    return createOpenRequest(request, NO_SINK, {
      pool: table.findPool(model, request.engines),
      outputTokens: options.outputEstimate.getTokens(key, model, maxTokens),
      nowMs,
    });
  }

  function listServerViews(request: ModelRequest): readonly ServerView[] {
    const nowMs = host.clock.getMonotonicMs();
    const entry = createEntry(request, nowMs);
    const view = createPlacement({
      ...options.placement,
      ejector: {
        isUsable: (health, atMs) => ejector.getUsableChance(health, atMs) > 0,
      },
    });
    return [...table.list()]
      .filter(({isListed}) => isListed)
      .map(engine => createView(entry, engine, nowMs, createCause));

    function createCause(engine: EngineEntry, job: Job): string | undefined {
      return (
        findMismatch(entry, engine) ??
        view.tryGetObstacle(entry, engine, job, true)
      );
    }
  }

  function createView(
    entry: OpenRequest,
    engine: EngineEntry,
    nowMs: number,
    createCause: (engine: EngineEntry, job: Job) => string | undefined,
  ): ServerView {
    const {server, load} = engine;
    const role = load.report?.role;
    const digestWork = host.tryGetDigestWork?.(server.id);
    const isPrefillOnly =
      role === EngineRole.Prefill &&
      entry.pool.decode.length + entry.pool.mixed.length > 0;
    const job = isPrefillOnly ? {...entry.job, outputTokens: 1} : entry.job;
    const prediction = tryPredict(
      {job, nowMs, tryGetDigestWork: () => digestWork},
      engine,
      0,
    );
    const timeToDeadlineMs = entry.request.deadlineAtMs - nowMs;
    const cause = createCause(engine, job);
    return {
      id: server.id,
      failureDomain: server.failureDomain,
      ...(role === undefined ? {} : {role}),
      healthyChance: ejector.getUsableChance(engine.health, nowMs),
      pausedMs: Math.max(0, engine.refusedUntilMs - nowMs),
      slowdown: getSlowdown(engine),
      openCount: getRequestCount(load, nowMs, digestWork),
      ...(cause === undefined ? {} : {cause}),
      ...(prediction === undefined
        ? {}
        : {
            waitMs: prediction.firstTokenMs - prediction.prefillMs,
            prefillMs: prediction.prefillMs,
            score: computeScore(prediction, timeToDeadlineMs),
          }),
    };
  }
}

/** Returns why an engine is not in the pool of a request; undefined when it is. */
function findMismatch(
  {pool}: OpenRequest,
  {server, load}: EngineEntry,
): string | undefined {
  if (server.isLeaving) return 'is leaving';
  if (!isSelected(server, pool.selector)) return 'not for this client account';
  const {report} = load;
  if (report === undefined) return undefined;
  if (!report.models.includes(pool.model)) return 'does not serve the model';
  return report.state === EngineState.Ready
    ? undefined
    : `is ${report.state.replaceAll('_', ' ')}`;
}

function toPrediction(
  submission: Submission,
  nowMs: number,
): PredictedDispatch {
  switch (submission.kind) {
    case 'start':
      return {kind: 'send', serverId: submission.plan.choice.engine.server.id};
    case 'wait':
      return {
        kind: 'wait',
        waitMs: submission.waitMs,
        budgetMs: Math.max(0, submission.item.latestStartMs - nowMs),
      };
    case 'refuse':
      return submission;
  }
}
