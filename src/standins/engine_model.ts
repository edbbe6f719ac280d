/**
 * Simulates a model engine: continuous batching with chunked prefill, KV memory in
 * pieces, a prefix cache and priorities. It stands in for the platform's engines
 * in the demo, in tests and in replays. While the batch does not change, one timer
 * covers a run of equal steps, so that a replay needs few timers.
 */
import {Err, type Result} from 'ts-results';
import {
  type BackendFailure,
  type EngineCall,
  type EngineCommand,
  type EngineReport,
  type EngineRequest,
  EngineRole,
  type EngineSink,
  EngineState,
  type KvHandle,
} from '../backends';
import type {Timer} from '../runtime';
import {Verdict} from '../verdict';
import {countPieces, planStepRun, type StepRun} from './engine_model_batch';
import {createPrefixCache} from './engine_model_cache';
import {createEngineControl} from './engine_model_control';
import {
  createQueuedRequest,
  emitTokens,
  emitEnd,
  type QueuedRequest,
} from './engine_model_request';
import {
  ENGINE_DEFAULTS,
  type EngineModel,
  type EngineModelOptions,
  IMPORT_SETUP_MS,
  IMPORT_TOKENS_PER_S,
  ENDED_ANSWER_RETENTION_MS,
  MAX_REQUESTS_PER_BATCH_SLOT,
} from './engine_model_types';
import {createEngineExports} from './engine_model_exports';
import {createEngineSchedule} from './engine_model_schedule';
import {createReportHistory} from './report_history';

export type {EngineModel, EngineModelOptions} from './engine_model_types';

const NO_CALL: EngineCall = {
  cancel: () => undefined,
  setPaused: () => undefined,
};
const TOKENS_PER_CACHE_PIECE = 2_048;

/** Creates an engine model that is ready at once. */
export function createEngineModel(options: EngineModelOptions): EngineModel {
  const {id, clock} = options;
  const costs = {...ENGINE_DEFAULTS, ...removeUndefined(options)};
  const observer = options.observer ?? {};
  const getRandom = options.getRandom ?? (() => 0);
  const requests = new Map<string, QueuedRequest>();
  const ended: Array<{
    readonly request: QueuedRequest;
    readonly untilMs: number;
  }> = [];
  const history = createReportHistory(clock, options.reportLagMs ?? 0);
  const schedule = createEngineSchedule({
    maxRunning: costs.maxRunning,
    totalPieces: costs.totalPieces,
    onAdmit: queued => {
      applyCachedPrefix(queued);
      if (!queued.hasRun) observer.onRun?.(queued.request);
      queued.hasRun = true;
    },
  });
  const exports = createEngineExports({
    engine: id,
    address: options.address,
    clock,
    onRelease: pieces => {
      schedule.releasePieces(pieces);
      updateBatch();
    },
  });
  let nextOrder = 0;
  let isDown = false;
  let run:
    | {readonly plan: StepRun<QueuedRequest>; readonly startMs: number}
    | undefined;
  let runTimer: Timer | undefined;
  /** True while sinks are told the results of a run: requests that they start join the next run. */
  let isFinishing = false;
  const cache = createPrefixCache({
    clock,
    capacityTokens: costs.cachePieces * TOKENS_PER_CACHE_PIECE,
    eventLagMs: options.cacheEventLagMs ?? 0,
    eventLoss: options.cacheEventLoss ?? 0,
    getRandom,
  });
  const control = createEngineControl({
    clock,
    startRole: options.role ?? EngineRole.Mixed,
    models: options.models ?? ['small'],
    roleChangeMs: costs.roleChangeMs,
    loadMs: costs.loadMs,
    checksFencing: options.checksFencing ?? true,
    observer,
    getRandom,
    isBusy,
    onRoleChange: cache.removeAll,
  });
  return {
    id,
    start,
    resume,
    cancel,
    getReport: () => history.record(createReport()),
    sendCommand,
    listCacheEvents: cache.listEvents,
    exportKv: handleId => {
      if (isDown || !exports.has(handleId)) return false;
      exports.release(handleId);
      return true;
    },
    crash,
    setLeaving: control.setLeaving,
    isUp: () => !isDown,
    getStatus: () => ({
      role: control.getRole(),
      state: control.getState(),
      isBusy: isBusy(),
      running: schedule.getRunning().length,
      waiting: schedule.getWaiting().length,
    }),
  };

  function isBusy(): boolean {
    return countOpenRequests() + exports.getCount() > 0;
  }

  function countOpenRequests(): number {
    return schedule.getWaiting().length + schedule.getRunning().length;
  }

  function start(request: EngineRequest, sink: EngineSink): EngineCall {
    observer.onOffered?.(request, control.isLeaving());
    const refusal = tryGetRefusal(request);
    if (refusal !== undefined) {
      clock.schedule(0, () => sink.onFailure(refusal));
      return NO_CALL;
    }
    const queued = createQueuedRequest(request, sink, nextOrder++);
    requests.set(request.requestId, queued);
    schedule.addWaiting(queued);
    if (request.phase === 'decode' && request.kv !== undefined) {
      importKv(queued);
    } else {
      updateBatch();
    }
    return createCall(request.requestId);
  }

  function createCall(requestId: string): EngineCall {
    return {cancel: () => cancel(requestId), setPaused: () => undefined};
  }

  function tryGetRefusal(request: EngineRequest): BackendFailure | undefined {
    if (isDown) return createRefusal('unavailable', 'the engine is down');
    const state = control.getState();
    if (state !== EngineState.Ready) {
      return createRefusal('refused', `the engine is ${state}`);
    }
    if (!control.hasModel(request.model)) {
      return createRefusal('refused', `model ${request.model} is not loaded`);
    }
    if (requests.has(request.requestId)) {
      return createRefusal('refused', 'the engine has this request already');
    }
    const role = control.getRole();
    if (!isPhaseServed(role, request.phase)) {
      return createRefusal(
        'refused',
        `a ${role} engine does no ${request.phase}`,
      );
    }
    if (countOpenRequests() >= MAX_REQUESTS_PER_BATCH_SLOT * costs.maxRunning) {
      return createRefusal('overloaded', 'the queue is full');
    }
    if (countMaxPieces(request) > costs.totalPieces) {
      return createRefusal(
        'refused',
        'the request needs more KV memory than the engine has',
      );
    }
    return undefined;
  }

  /** Imports KV cache while the request waits; when it is no longer held, the prompt is prefilled again. */
  function importKv(queued: QueuedRequest): void {
    const handle = queued.request.kv;
    if (handle === undefined) return;
    queued.isImporting = true;
    const transferMs = (handle.tokens / IMPORT_TOKENS_PER_S) * 1_000;
    clock.schedule(IMPORT_SETUP_MS + transferMs, () => {
      queued.isImporting = false;
      if (requests.get(queued.request.requestId) !== queued) return;
      const isImported = options.importKv?.(handle) ?? true;
      if (isImported) queued.prefillLeft = 0;
      updateBatch();
    });
  }

  function resume(
    requestId: string,
    firstTokenIndex: number,
    sink: EngineSink,
  ): EngineCall {
    sweepEnded();
    const queued = requests.get(requestId);
    if (queued === undefined || isDown) {
      clock.schedule(0, () =>
        sink.onFailure(createRefusal('refused', 'no such answer is held')),
      );
      return NO_CALL;
    }
    queued.sink = undefined;
    clock.schedule(0, () => {
      queued.sink = sink;
      const count = queued.generated - firstTokenIndex;
      const nowMs = clock.getMonotonicMs();
      if (count > 0) emitTokens(queued, firstTokenIndex, count, nowMs, nowMs);
      if (queued.end !== undefined) sink.onEnd(queued.end);
    });
    return createCall(requestId);
  }

  function cancel(requestId: string): void {
    const queued = requests.get(requestId);
    if (queued === undefined) return;
    requests.delete(requestId);
    if (queued.end !== undefined) {
      exports.release(queued.end.kv?.id ?? '');
      return;
    }
    queued.isCancelled = true;
    schedule.removeWaiting(queued);
    updateBatch();
  }

  /** Ends the current run of steps after the step in progress, or starts a run when there is none. */
  function updateBatch(): void {
    if (isDown || isFinishing) return;
    if (run === undefined) {
      startRun();
      return;
    }
    const {plan, startMs} = run;
    const elapsedMs = clock.getMonotonicMs() - startMs;
    const steps = Math.max(1, Math.ceil(elapsedMs / plan.stepMs - 1e-9));
    if (steps >= plan.steps) return;
    runTimer?.cancel();
    run = {plan: {...plan, steps}, startMs};
    runTimer = clock.schedule(steps * plan.stepMs - elapsedMs, settleRun);
  }

  function startRun(): void {
    schedule.admitWaiting();
    schedule.grantTokenMemory();
    const running = schedule.getRunning();
    if (running.length === 0) {
      control.onIdle();
      return;
    }
    const plan = planStepRun(
      running,
      control.getRole(),
      costs,
      costs.tokensPerEvent,
    );
    run = {plan, startMs: clock.getMonotonicMs()};
    runTimer = clock.schedule(plan.steps * plan.stepMs, settleRun);
  }

  function applyCachedPrefix(queued: QueuedRequest): void {
    if (queued.prefillLeft === 0) return;
    const {prefixHashes, prefixTokens} = queued.request;
    const cached = cache.findCachedTokens(prefixHashes, prefixTokens);
    // The last token of a prompt is always computed: it gives the first answer token.
    const usableTokens = Math.min(cached, queued.prefillLeft - 1);
    queued.cachedTokens = usableTokens;
    queued.prefillLeft -= usableTokens;
  }

  function settleRun(): void {
    if (run === undefined) return;
    const {plan, startMs} = run;
    const nowMs = clock.getMonotonicMs();
    run = undefined;
    runTimer = undefined;
    isFinishing = true;
    for (const {item, tokens} of plan.chunks) {
      item.prefillLeft -= tokens * plan.steps;
    }
    for (const item of plan.decoding) {
      recordTokens(item, plan.steps, startMs + plan.stepMs, nowMs);
    }
    for (const {item} of plan.chunks) {
      if (item.prefillLeft > 0) continue;
      cache.add(item.request.prefixHashes, item.request.prefixTokens);
      recordTokens(item, 1, nowMs, nowMs);
    }
    for (const queued of schedule.takeFinished()) settleRequest(queued);
    isFinishing = false;
    startRun();
  }

  function recordTokens(
    queued: QueuedRequest,
    count: number,
    firstAtMs: number,
    lastAtMs: number,
  ): void {
    if (queued.isCancelled) return;
    const firstIndex = queued.generated;
    queued.generated += count;
    emitTokens(queued, firstIndex, count, firstAtMs, lastAtMs);
  }

  function settleRequest(queued: QueuedRequest): void {
    const untilMs = clock.getMonotonicMs() + ENDED_ANSWER_RETENTION_MS;
    ended.push({request: queued, untilMs});
    sweepEnded();
    const kv =
      queued.request.phase === 'prefill' ? addExport(queued) : undefined;
    emitEnd(queued, kv);
  }

  function addExport(queued: QueuedRequest): KvHandle {
    const {pieces, promptTokens} = queued;
    queued.pieces = 0;
    return exports.add(control.getIncarnation(), promptTokens, pieces);
  }

  function sweepEnded(): void {
    const nowMs = clock.getMonotonicMs();
    while (ended.length > 0 && ended[0].untilMs <= nowMs) {
      const {request} = ended.shift() ?? ended[0];
      const {requestId} = request.request;
      if (requests.get(requestId) === request) requests.delete(requestId);
    }
  }

  function createReport(): Omit<EngineReport, 'sequence'> {
    const running = schedule.getRunning();
    const waiting = schedule.getWaiting();
    const live = [...running, ...waiting];
    return {
      engine: id,
      incarnation: `${id}.${control.getIncarnation()}`,
      role: control.getRole(),
      state: control.getState(),
      models: control.listModels(),
      adapters: control.listAdapters(),
      version: control.getVersion(),
      running: running.length,
      waiting: waiting.length,
      prefillTokens: live.reduce((sum, item) => sum + item.prefillLeft, 0),
      decodeTokens: live.reduce(
        (sum, item) => sum + item.lastToken - item.generated,
        0,
      ),
      freePieces: costs.totalPieces - schedule.getUsedPieces(),
      totalPieces: costs.totalPieces,
      prefillTokensPerS: costs.prefillTokensPerS,
      decodeStepMs: costs.decodeStepMs,
      decodeStepMsPerRequest: costs.decodeStepMsPerRequest,
      maxRunning: costs.maxRunning,
      fencingNumber: control.getFencingNumber(),
    };
  }

  function sendCommand(command: EngineCommand): Result<void, BackendFailure> {
    if (isDown) {
      return Err(createRefusal('unavailable', 'the engine is down'));
    }
    return control.sendCommand(command);
  }

  function crash(downtimeMs: number): void {
    isDown = true;
    runTimer?.cancel();
    run = undefined;
    runTimer = undefined;
    const interrupted = schedule.takeAll();
    exports.removeAll();
    requests.clear();
    ended.length = 0;
    cache.removeAll();
    for (const queued of interrupted) {
      if (queued.isCancelled) continue;
      queued.isCancelled = true;
      queued.sink?.onFailure({
        kind: 'broken',
        verdict: Verdict.MayHaveRun,
        message: 'the engine crashed',
      });
    }
    clock.schedule(downtimeMs, () => {
      isDown = false;
      control.restoreAfterCrash();
    });
  }
}

function isPhaseServed(
  role: EngineRole,
  phase: EngineRequest['phase'],
): boolean {
  if (phase === 'full' || role === EngineRole.Mixed) return true;
  return role === phase;
}

function countMaxPieces(request: EngineRequest): number {
  return countPieces(request.promptTokens + request.maxTokens);
}

function createRefusal(
  kind: BackendFailure['kind'],
  message: string,
): BackendFailure {
  return {kind, verdict: Verdict.NotRun, message};
}

function removeUndefined<T extends object>(options: T): Partial<T> {
  return Object.fromEntries(
    Object.entries(options).filter(([, value]) => value !== undefined),
  ) as Partial<T>;
}
