/** Ties admission, waiting, choice, attempts and retries together for the requests of one node. */
import type {BackendFailure, BackendServer, EngineEnd} from '../backends';
import {createFailure, FailureKind, type RequestFailure} from '../verdict';
import {createAttemptRunner} from './attempts';
import {type DispatcherOptions, resolveOptions} from './dispatcher_options';
import {createEngineTable, type EngineEntry} from './engine_table';
import {createFleetWatch} from './fleet_watch';
import {
  addTried,
  type Attempt,
  createOpenRequest,
  getOutputKey,
  type OpenRequest,
} from './open_request';
import {createOutputEstimate} from './output_estimate';
import {createPlacement, type PlacedPlan} from './placement';
import {createPrefixIndex} from './prefix_index';
import {createQueueing} from './queueing';
import {createRequestBook} from './request_book';
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

/** Creates a dispatcher without engines. */
export function createDispatcher(
  host: DispatcherHost,
  options: DispatcherOptions = {},
): Dispatcher {
  const resolved = resolveOptions(options);
  const {clock} = host;
  const table = createEngineTable();
  const prefixes = createPrefixIndex();
  const outputs = createOutputEstimate();
  const budget = createRetryBudget(resolved.retries);
  const book = createRequestBook();
  const watch = createFleetWatch(host, table, prefixes, resolved);
  const runner = createAttemptRunner({
    clock,
    getEngineClient: host.getEngineClient,
    onFirstToken: handleFirstToken,
    onEnd: handleEnd,
    onFailure: handleFailure,
  });
  const placement = createPlacement({
    host,
    table,
    prefixes,
    ejector: watch.ejector,
    choose: resolved.choose,
    limits: resolved.room,
    kvTransferMsPerToken: resolved.kvTransferMsPerToken,
    kvTransferCostWeight: resolved.kvTransferCostWeight,
  });
  const queueing = createQueueing(
    {
      clock,
      table,
      placement,
      startAttempt,
      refuse,
      onWait: (entry, waitMs) =>
        emit(entry, 'request-waits', `some ${Math.round(waitMs)} ms`),
    },
    resolved,
  );
  const counts = {requests: 0, attempts: 0, retries: 0, refused: 0};
  let isDraining = false;
  return {
    submit,
    updateServers,
    updateReport: report => {
      const engine = watch.applyReport(report);
      if (engine !== undefined) queueing.onRoom(engine);
    },
    updateCacheEvents: watch.applyCacheEvents,
    getCacheSequence: prefixes.getLastSequence,
    getCounts,
    listOwnWork: table.listOwnWork,
    getWaitingCount: queueing.getWaitingCount,
    getOpenCount: book.getSize,
    drain,
  };

  function submit(request: ModelRequest, sink: AnswerSink): RequestHandle {
    const nowMs = clock.getMonotonicMs();
    const {model, maxTokens} = request;
    const entry = createOpenRequest(request, sink, {
      pool: table.getPool(model, request.engines),
      outputTokens: outputs.getTokens(getOutputKey(request), model, maxTokens),
      nowMs,
    });
    book.add(entry);
    counts.requests++;
    budget.recordRequest();
    const refusal = isDraining
      ? createDrainingFailure()
      : tryGetSubmitRefusal(entry, resolved.limiter, nowMs);
    if (refusal === undefined) queueing.submit(entry);
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

  function startAttempt(entry: OpenRequest, plan: PlacedPlan): void {
    setDeadlineTimer(entry);
    counts.attempts++;
    const {engine, cause} = plan.choice;
    const phase = plan.phase === 'full' ? '' : `${plan.phase}: `;
    emit(entry, 'request-sent', `${phase}${cause}`, engine.server.id);
    runner.start(entry, plan);
  }

  function setDeadlineTimer(entry: OpenRequest): void {
    entry.timer?.cancel();
    const leftMs = entry.request.deadlineAtMs - clock.getMonotonicMs();
    entry.timer = clock.schedule(Math.max(0, leftMs), () => expire(entry));
  }

  /** The answer is too late for its caller: the engine is told to stop. */
  function expire(entry: OpenRequest): void {
    const {attempt} = entry;
    const engine = attempt?.engine;
    if (attempt !== undefined) {
      entry.mayHaveRun = true;
      watch.recordTime(entry, attempt);
    }
    runner.cancel(entry);
    refuse(entry, createDeadlineFailure(entry));
    if (engine !== undefined) queueing.onRoom(engine);
  }

  function handleFirstToken(entry: OpenRequest, attempt: Attempt): void {
    entry.mayHaveRun = true;
    const {engine, phase} = attempt;
    if (phase !== 'decode') {
      prefixes.recordPrefilled(engine.server.id, entry.request.prefixHashes);
    }
    queueing.onRoom(engine);
  }

  function handleEnd(
    entry: OpenRequest,
    attempt: Attempt,
    end: EngineEnd,
  ): void {
    const {engine} = attempt;
    watch.recordSuccess(entry, attempt);
    watch.recordTime(entry, attempt);
    const isComplete = entry.gate.getNextIndex() >= entry.request.maxTokens;
    if (end.finishReason === 'prefilled' && !isComplete) {
      entry.mayHaveRun = true;
      addTried(entry, engine);
      entry.kv = end.kv;
      submitDecode(entry);
    } else {
      const {request, gate} = entry;
      const key = getOutputKey(request);
      const {model, maxTokens} = request;
      outputs.record(key, model, gate.getNextIndex(), maxTokens);
      book.settle(entry, {...end, engine: engine.server.id});
    }
    queueing.onRoom(engine);
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
    watch.recordFailure(attempt, failure);
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
    queueing.onRoom(engine);
  }

  /** Goes on elsewhere from what was delivered, where the request may run again. */
  function submitAgain(entry: OpenRequest): void {
    if (entry.mayHaveRun && !entry.request.idempotent) {
      const message = 'the engine that should go on with the answer is gone';
      refuse(entry, createFailure(FailureKind.BackendFailed, message));
      return;
    }
    queueing.submit(entry);
  }

  function cancel(entry: OpenRequest): void {
    if (entry.isClosed) return;
    const engine = entry.attempt?.engine;
    queueing.remove(entry);
    runner.cancel(entry);
    emit(entry, 'request-cancelled', 'the caller went away', engine?.server.id);
    book.close(entry);
    if (engine !== undefined) queueing.onRoom(engine);
  }

  function refuse(entry: OpenRequest, failure: RequestFailure): void {
    counts.refused++;
    emit(entry, 'request-refused', `${failure.kind}: ${failure.message}`);
    book.fail(entry, failure);
  }

  function updateServers(servers: readonly BackendServer[]): void {
    table.updateServers(servers);
  }

  function drain(): Promise<void> {
    isDraining = true;
    return book.waitEmpty();
  }

  function getCounts(): DispatcherCounts {
    const {late, resumed} = runner.getCounts();
    const ejections = watch.getEjectionCount();
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
