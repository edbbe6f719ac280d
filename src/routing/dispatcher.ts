/** Dispatches a node's model requests: admission, queueing, engine choice, attempts, retries. */
import type {BackendFailure, BackendServer, EngineEnd} from '../backends';
import {createFailure, FailureKind, type RequestFailure} from '../verdict';
import {createAttemptRunner} from './attempts';
import {createDispatchPreview} from './dispatch_preview';
import {type DispatcherOptions, resolveOptions} from './dispatcher_options';
import {createEngineTable, type EngineEntry} from './engine_table';
import {createEngineMonitor} from './engine_monitor';
import {
  addTriedEngine,
  type Attempt,
  createOpenRequest,
  getOutputKey,
  type OpenRequest,
} from './open_request';
import {createOutputEstimate} from './output_estimate';
import {createPlacement, type EstimatedPlan} from './placement';
import {createPrefixIndex} from './prefix_index';
import {createRequestScheduler} from './request_scheduler';
import {createOpenRequestSet} from './open_request_set';
import {createRetryBudget} from './retry_budget';
import {applyAttemptFailure} from './retrying';
import {
  createDeadlineFailure,
  createDrainingFailure,
  tryGetSubmitRefusal,
} from './submit_check';
import type {
  AnswerSink,
  Dispatcher,
  DispatcherCounts,
  DispatcherHost,
  ModelRequest,
  RequestHandle,
} from './types';

/** Creates a dispatcher that knows no engines yet. */
export function createDispatcher(
  host: DispatcherHost,
  options: DispatcherOptions = {},
): Dispatcher {
  const resolved = resolveOptions(options);
  const {clock} = host;
  const table = createEngineTable();
  const prefixes = createPrefixIndex();
  const outputEstimate = createOutputEstimate();
  const budget = createRetryBudget(resolved.retries);
  const openRequests = createOpenRequestSet();
  const monitor = createEngineMonitor(host, table, prefixes, resolved);
  const runner = createAttemptRunner({
    clock,
    getEngineClient: host.getEngineClient,
    onFirstToken: handleFirstToken,
    onEnd: handleEnd,
    onFailure: handleFailure,
  });
  const placementOptions = {
    host,
    table,
    prefixes,
    ejector: monitor.ejector,
    choose: resolved.choose,
    limits: resolved.engineLimits,
    kvTransferMsPerToken: resolved.kvTransferMsPerToken,
    kvTransferCostWeight: resolved.kvTransferCostWeight,
  };
  const placement = createPlacement(placementOptions);
  const scheduler = createRequestScheduler(
    {
      clock,
      table,
      placement,
      startAttempt,
      refuse,
      onWait: (entry, waitMs) =>
        emit(entry, 'request-waits', `predicted wait ${Math.round(waitMs)} ms`),
    },
    resolved,
  );
  const counts = {requests: 0, attempts: 0, retries: 0, refused: 0};
  let isDraining = false;
  const preview = createDispatchPreview({
    placement: placementOptions,
    scheduler,
    outputEstimate,
    isDraining: () => isDraining,
  });
  return {
    ...preview,
    submit,
    updateServers,
    updateReport: report => {
      const engine = monitor.applyReport(report);
      if (engine !== undefined) scheduler.onCapacityChange(engine);
    },
    updateCacheEvents: monitor.applyCacheEvents,
    getCacheSequence: prefixes.getLastSequence,
    getCounts,
    listLocalWork: table.listLocalWork,
    getWaitingCount: scheduler.getWaitingCount,
    getOpenCount: openRequests.getSize,
    drain,
  };

  function submit(request: ModelRequest, sink: AnswerSink): RequestHandle {
    const nowMs = clock.getMonotonicMs();
    const {model, maxTokens} = request;
    const entry = createOpenRequest(request, sink, {
      pool: table.getPool(model, request.engines),
      outputTokens: outputEstimate.getTokens(
        getOutputKey(request),
        model,
        maxTokens,
      ),
      nowMs,
    });
    openRequests.add(entry);
    counts.requests++;
    budget.recordRequest();
    const refusal = isDraining
      ? createDrainingFailure()
      : tryGetSubmitRefusal(entry, resolved.limiter, nowMs);
    if (refusal === undefined) scheduler.submit(entry);
    else refuse(entry, refusal);
    return createHandle(entry);
  }

  function createHandle(entry: OpenRequest): RequestHandle {
    return {
      cancel: () => cancel(entry),
      setPaused: isPaused => {
        entry.isPaused = isPaused;
        entry.wasPaused ||= isPaused;
        entry.attempt?.call?.setPaused(isPaused);
      },
      tryGetEngine: () => entry.attempt?.engine.server.id,
    };
  }

  function startAttempt(entry: OpenRequest, plan: EstimatedPlan): void {
    setDeadlineTimer(entry);
    counts.attempts++;
    const {engine, cause} = plan.choice;
    const phase = plan.phase === 'full' ? '' : `${plan.phase}: `;
    emit(entry, 'request-sent', `${phase}${cause}`, engine.server.id);
    runner.start(entry, plan);
  }

  function setDeadlineTimer(entry: OpenRequest): void {
    entry.timer?.cancel();
    const remainingMs = entry.request.deadlineAtMs - clock.getMonotonicMs();
    entry.timer = clock.schedule(Math.max(0, remainingMs), () => expire(entry));
  }

  /** Ends a request whose deadline has passed, and cancels it at the engine. */
  function expire(entry: OpenRequest): void {
    const {attempt} = entry;
    const engine = attempt?.engine;
    if (attempt !== undefined) {
      entry.mayHaveRun = true;
      monitor.recordTime(entry, attempt);
    }
    runner.cancel(entry);
    refuse(entry, createDeadlineFailure(entry));
    if (engine !== undefined) scheduler.onCapacityChange(engine);
  }

  function handleFirstToken(entry: OpenRequest, attempt: Attempt): void {
    entry.mayHaveRun = true;
    const {engine, phase} = attempt;
    if (phase !== 'decode') {
      prefixes.recordPrefilled(engine.server.id, entry.request.prefixHashes);
    }
    scheduler.onCapacityChange(engine);
  }

  function handleEnd(
    entry: OpenRequest,
    attempt: Attempt,
    end: EngineEnd,
  ): void {
    const {engine} = attempt;
    monitor.recordSuccess(entry, attempt);
    monitor.recordTime(entry, attempt);
    const isComplete =
      entry.reorderBuffer.getNextIndex() >= entry.request.maxTokens;
    if (end.finishReason === 'prefilled' && !isComplete) {
      entry.mayHaveRun = true;
      addTriedEngine(entry, engine);
      entry.kv = end.kv;
      submitDecode(entry);
    } else {
      const {request, reorderBuffer} = entry;
      const key = getOutputKey(request);
      const {model, maxTokens} = request;
      outputEstimate.record(
        key,
        model,
        reorderBuffer.getNextIndex(),
        maxTokens,
      );
      openRequests.settle(entry, {...end, engine: engine.server.id});
    }
    scheduler.onCapacityChange(engine);
  }

  function submitDecode(entry: OpenRequest): void {
    const plan = entry.kv && placement.tryPlanDecode(entry);
    if (plan === undefined) {
      entry.kv = undefined;
      submitAgain(entry);
      return;
    }
    setDeadlineTimer(entry);
    const {engine, cause} = plan.choice;
    emit(entry, 'request-sent', `decode: ${cause}`, engine.server.id);
    runner.start(entry, plan);
  }

  function handleFailure(
    entry: OpenRequest,
    attempt: Attempt,
    failure: BackendFailure,
  ): void {
    const {engine} = attempt;
    const cause = `${failure.kind}: ${failure.message}`;
    emit(entry, 'attempt-failed', cause, engine.server.id);
    monitor.recordFailure(attempt, failure);
    const nowMs = clock.getMonotonicMs();
    const decision = applyAttemptFailure(entry, attempt, failure, {
      budget,
      nowMs,
    });
    if (decision.kind === 'fail') {
      refuse(entry, decision.failure);
    } else {
      counts.retries++;
      if (entry.kv === undefined) submitAgain(entry);
      else submitDecode(entry);
    }
    scheduler.onCapacityChange(engine);
  }

  /**
   * Retries on another engine, from the first token that was not delivered, unless the request
   * must not run again.
   */
  function submitAgain(entry: OpenRequest): void {
    if (entry.mayHaveRun && !entry.request.idempotent) {
      const message =
        'no engine can continue the answer, and a non-idempotent request is not run again';
      refuse(entry, createFailure(FailureKind.BackendFailed, message));
      return;
    }
    scheduler.submit(entry);
  }

  function cancel(entry: OpenRequest): void {
    if (entry.isClosed) return;
    const engine = entry.attempt?.engine;
    scheduler.remove(entry);
    runner.cancel(entry);
    emit(
      entry,
      'request-cancelled',
      'the caller disconnected',
      engine?.server.id,
    );
    openRequests.close(entry);
    if (engine !== undefined) scheduler.onCapacityChange(engine);
  }

  function refuse(entry: OpenRequest, failure: RequestFailure): void {
    counts.refused++;
    emit(entry, 'request-refused', `${failure.kind}: ${failure.message}`);
    openRequests.fail(entry, failure);
  }

  function updateServers(servers: readonly BackendServer[]): void {
    table.updateServers(servers);
  }

  function drain(): Promise<void> {
    isDraining = true;
    return openRequests.waitEmpty();
  }

  function getCounts(): DispatcherCounts {
    const {late, resumed} = runner.getCounts();
    const ejections = monitor.getEjectionCount();
    return {...counts, ejections, lateEvents: late, resumed};
  }

  function emit(
    entry: OpenRequest,
    kind: string,
    cause: string,
    engine?: EngineEntry['server']['id'],
  ): void {
    const {requestId, clientAccount} = entry.request;
    host.emitEvent({kind, requestId, clientAccount, engine, cause});
  }
}
