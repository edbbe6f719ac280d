/** Runs attempts: sends requests to engines and forwards the answers of running attempts only. */
import type {
  BackendFailure,
  EngineClient,
  EngineEnd,
  EngineSink,
  KvHandle,
  TokenBatch,
} from '../backends';
import type {Clock} from '../runtime';
import {Verdict} from '../verdict';
import type {Choice} from './choice';
import {
  addWork,
  type AttemptWork,
  getKvPieces,
  recordProgress,
  removeWork,
} from './engine_load';
import type {EngineEntry} from './engine_table';
import {getRequestCount, getStepMs} from './estimate';
import type {Attempt, OpenRequest, Phase} from './open_request';

/** What the runner uses from the dispatcher. */
export interface AttemptHost {
  readonly clock: Clock;
  getEngineClient(engine: string): EngineClient;
  /** The first tokens of an attempt have arrived, so its prefill is done. */
  onFirstToken(entry: OpenRequest, attempt: Attempt): void;
  /** The attempt is over, and every token up to its end has been delivered. */
  onEnd(entry: OpenRequest, attempt: Attempt, end: EngineEnd): void;
  /** The attempt is over and has failed. */
  onFailure(
    entry: OpenRequest,
    attempt: Attempt,
    failure: BackendFailure,
  ): void;
}

/** Counts of irregular engine events. */
export interface AttemptCounts {
  /** Events that arrived after their attempt was over. */
  late: number;
  /** Resume calls for tokens that were missing at the end of an answer. */
  resumed: number;
}

/** The engine, the phase and the KV cache of an attempt. */
export interface AttemptPlan {
  readonly phase: Phase;
  readonly choice: Choice;
  /** KV cache to import, with phase `decode`. */
  readonly kv?: KvHandle;
}

/** Runs attempts. */
export interface AttemptRunner {
  start(entry: OpenRequest, plan: AttemptPlan): void;
  /** Cancels the running attempt, if any, also at the engine. */
  cancel(entry: OpenRequest): void;
  getCounts(): Readonly<AttemptCounts>;
}

/** Creates a runner. */
export function createAttemptRunner(host: AttemptHost): AttemptRunner {
  const {clock} = host;
  const counts: AttemptCounts = {late: 0, resumed: 0};
  return {start, cancel, getCounts: () => counts};

  function start(entry: OpenRequest, plan: AttemptPlan): void {
    const attempt = createAttempt(entry, plan, clock.getMonotonicMs());
    entry.attempt = attempt;
    entry.attemptCount++;
    entry.reorderBuffer.startAttempt();
    addWork(attempt.engine.load, attempt.work, attempt.startedAtMs);
    const call = getClient(attempt).start(
      createEngineRequest(entry, plan),
      createSink(entry, attempt),
    );
    setCall(entry, attempt, call);
  }

  function setCall(
    entry: OpenRequest,
    attempt: Attempt,
    call: Attempt['call'],
  ): void {
    // The engine client may report a failure before `start` returns; the attempt is over then.
    if (entry.attempt !== attempt) return;
    attempt.call = call;
    if (entry.isPaused) call?.setPaused(true);
  }

  function createSink(entry: OpenRequest, attempt: Attempt): EngineSink {
    return {
      onTokens: batch => {
        if (isRunning(entry, attempt)) handleTokens(entry, attempt, batch);
      },
      onEnd: end => {
        if (isRunning(entry, attempt)) handleEnd(entry, attempt, end);
      },
      onFailure: failure => {
        if (!isRunning(entry, attempt)) return;
        release(entry);
        host.onFailure(entry, attempt, failure);
      },
    };
  }

  function isRunning(entry: OpenRequest, attempt: Attempt): boolean {
    if (entry.attempt === attempt) return true;
    counts.late++;
    return false;
  }

  function handleTokens(
    entry: OpenRequest,
    attempt: Attempt,
    batch: TokenBatch,
  ): void {
    const isFirst = attempt.firstTokenAtMs < 0;
    const nowMs = clock.getMonotonicMs();
    if (isFirst) attempt.firstTokenAtMs = nowMs;
    recordProgress(attempt.engine.load, attempt.work, batch.count, nowMs);
    for (const ready of entry.reorderBuffer.takeReady(batch))
      entry.sink.onTokens(ready);
    if (isFirst && entry.attempt === attempt) host.onFirstToken(entry, attempt);
  }

  function handleEnd(
    entry: OpenRequest,
    attempt: Attempt,
    end: EngineEnd,
  ): void {
    if (entry.reorderBuffer.getNextIndex() < end.generatedTokens) {
      resumeMissing(entry, attempt);
      return;
    }
    release(entry);
    host.onEnd(entry, attempt, end);
  }

  /**
   * Requests the tokens missing before the end once; if tokens are still missing, the attempt
   * fails.
   */
  function resumeMissing(entry: OpenRequest, attempt: Attempt): void {
    if (attempt.isResumed) {
      cancel(entry);
      host.onFailure(entry, attempt, {
        kind: 'broken',
        verdict: Verdict.MayHaveRun,
        message: 'tokens are missing from the answer, also after a resume',
      });
      return;
    }
    attempt.isResumed = true;
    counts.resumed++;
    const call = getClient(attempt).resume(
      entry.request.requestId,
      entry.reorderBuffer.getNextIndex(),
      createSink(entry, attempt),
    );
    setCall(entry, attempt, call);
  }

  function cancel(entry: OpenRequest): void {
    const {attempt} = entry;
    if (attempt === undefined) return;
    release(entry);
    attempt.call?.cancel();
  }

  function release(entry: OpenRequest): void {
    const {attempt} = entry;
    if (attempt === undefined) return;
    entry.attempt = undefined;
    removeWork(attempt.engine.load, attempt.work, clock.getMonotonicMs());
  }

  function getClient(attempt: Attempt): EngineClient {
    return host.getEngineClient(attempt.engine.server.id);
  }
}

function createAttempt(
  entry: OpenRequest,
  plan: AttemptPlan,
  nowMs: number,
): Attempt {
  const {engine, prediction} = plan.choice;
  return {
    engine,
    phase: plan.phase,
    work: createWork(entry, plan),
    startedAtMs: nowMs,
    predictedMs: prediction.uncorrectedMs,
    expectedStepMs: getExpectedStepMs(engine, nowMs),
    firstIndex: entry.reorderBuffer.getNextIndex(),
    firstTokenAtMs: -1,
    call: undefined,
    isResumed: false,
  };
}

function createWork(entry: OpenRequest, plan: AttemptPlan): AttemptWork {
  const {request, reorderBuffer} = entry;
  const done = reorderBuffer.getNextIndex();
  const isDecode = plan.phase === 'decode';
  const prompt = request.promptTokens + done - plan.choice.cachedTokens;
  const prefillTokens = isDecode ? 0 : Math.max(1, prompt);
  return {
    prefillTokens,
    urgentPrefillTokens: request.urgent ? prefillTokens : 0,
    decodeTokens:
      plan.phase === 'prefill' ? 1 : Math.max(0, request.maxTokens - done),
    kvPieces: getKvPieces(request.promptTokens + entry.job.outputTokens),
  };
}

function createEngineRequest(
  entry: OpenRequest,
  plan: AttemptPlan,
): Parameters<EngineClient['start']>[0] {
  const {request, reorderBuffer} = entry;
  return {
    requestId: request.requestId,
    model: request.model,
    prompt: request.prompt,
    promptTokens: request.promptTokens,
    maxTokens: request.maxTokens,
    priority: request.priority,
    phase: plan.phase,
    kv: plan.kv,
    firstTokenIndex: reorderBuffer.getNextIndex(),
    deliveredText: reorderBuffer.getText(),
    prefixHashes: request.prefixHashes,
    prefixTokens: request.prefixTokens,
  };
}

function getExpectedStepMs(engine: EngineEntry, nowMs: number): number {
  const {report} = engine.load;
  if (report === undefined) return 1;
  return getStepMs(report, getRequestCount(engine.load, nowMs) + 1);
}
