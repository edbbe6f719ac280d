/**
 * Serves a model request. Either a prefill engine processes the prompt and a
 * decode engine then fetches the KV cache and streams the answer, or a decode
 * engine does both.
 */
import {Verdict} from '../verdict';
import {sendControlCall} from './control_call';
import {type DecodeCall, startDecodeCall} from './decode_call';
import {createDecodeReservation} from './decode_reservation';
import {computeTransferMs} from './engine_costs';
import {createEventSplitter} from './event_splitter';
import type {FlowContext} from './flow_context';
import type {PrefillSample} from './peer_messages';
import type {PrefillPlacement} from './placement';
import {type PrefillCall, startPrefillCall} from './prefill_call';
import {tryCreatePrefillSample} from './prefill_sample';
import {createPromptGate} from './prompt_gate';
import {createPromptShare, EARLY_REASON} from './prompt_share';
import {DEFAULT_RETRY_AFTER_MS, type RequestTask} from './request_task';
import {formatFailure} from './server_call';
import {
  Admission,
  chooseAdmission,
  getFirstEventBudgetMs,
  getSendBudgetMs,
} from './stream_admission';
import {createStreamEngines} from './stream_engines';
import {createStreamRecords} from './stream_records';
import {
  FIRST_EVENT_OVERHEAD_MS,
  predictEngineMs,
  predictFirstEventMs,
} from './stream_work';
import {
  type BackendEntry,
  type CallFailure,
  type EngineLimits,
  EngineStage,
  type KvReference,
  type ModelRequest,
} from './types';

/** Minimum time left for another attempt, in milliseconds. */
const MIN_TRY_MS = 60;
/** Maximum number of prefill attempts for one request. */
const MAX_PREFILL_TRIES = 3;
/** Maximum number of decode attempts for one request, including those that an engine rejected. */
const MAX_DECODE_TRIES = 3;
/** Time-out of the call that frees a KV cache, in milliseconds: many round trips. */
const RELEASE_TIMEOUT_MS = 500;

/** When a decode call was sent and its answer began, on the monotonic clock, in milliseconds. */
interface DecodeTimes {
  readonly sentAtMs: number;
  /** Undefined until the head of the answer has arrived. */
  readonly headAtMs: number | undefined;
}

/** Serves one model request. */
export function runStreamFlow(
  context: FlowContext,
  engine: EngineLimits,
  model: ModelRequest,
  task: RequestTask,
): void {
  const {exchange, route} = task;
  const {clock, health} = context;
  const splitter = route.isResumable ? createEventSplitter() : undefined;
  const budget = context.getRetryBudget(task.service);
  const records = createStreamRecords(
    context,
    task,
    engine,
    model,
    `${context.path.localDomain}/${exchange.request.requestId}`,
  );
  const engines = createStreamEngines(context, engine, model, task);
  const reservation = createDecodeReservation({
    limits: context.limits,
    listDecodeEngines: engines.listDecodeEngines,
    tryChooseDecode: engines.tryChooseDecode,
  });
  const share = createPromptShare(context, task);
  const gate = createPromptGate({
    context,
    task,
    model,
    getVerdict,
    resume: start,
  });
  let prefillCall: PrefillCall | undefined;
  let decodeCall: DecodeCall | undefined;
  let kv: KvReference | undefined;
  let prefillTries = 0;
  let decodeTries = 0;
  let runCount = 0;
  let mayHaveRun = false;
  /** When a decode call last failed; initially when this flow started. */
  let lastFailureAtMs = clock.getMonotonicMs();
  let isDemandRecorded = false;
  /** Predicted time from sending the prompt to the first event, at the last attempt, in milliseconds. */
  let workMs = FIRST_EVENT_OVERHEAD_MS;
  let cancelWaiting: () => void = () => undefined;
  budget.recordRequest();
  task.onStop(stop);
  start();

  /** Sends the prompt, ends the request, or queues it at this node. */
  function start(): void {
    if (tryStart()) return;
    share.recordShortage();
    const budgetMs = getSendBudgetMs({...getAdmissionTimes(), workMs});
    const waitMs = share.predictWaitMs();
    if (waitMs > budgetMs) {
      refuse(waitMs);
      return;
    }
    task.log('waits for an engine', {waitMs: Math.round(waitMs)});
    cancelWaiting = context.waitingPrompts.add({
      ...share.getClaim(),
      expiresAtMs: clock.getMonotonicMs() + budgetMs,
      tryStart,
      onExpired: () => refuse(route.objectiveMs),
    });
  }

  /** Returns true when the request may be sent; otherwise it is refused, or resumed by the gate. */
  function tryEnter(): boolean {
    return task.tryAdmit(getVerdict()) && gate.tryEnter();
  }

  /** Sends the prompt or ends the request; returns false when the prompt has to wait. */
  function tryStart(): boolean {
    if (!tryEnter()) return true;
    const {placement, hasEngines} = engines.choosePrefill();
    if (!hasEngines) {
      failWithoutEngine();
      return true;
    }
    workMs = predictFirstEventMs(placement);
    const {service} = task;
    share.recordWork(
      predictEngineMs(context, {service, route, engine, model, placement}),
    );
    const earlyMs = share.tryGetEarlyMs();
    if (earlyMs !== undefined) {
      task.fail(getVerdict(), EARLY_REASON, earlyMs);
      return true;
    }
    const admission = chooseAdmission({
      ...getAdmissionTimes(),
      isOverShare: share.isOverShare(),
      ...(placement === undefined ? {} : {waitMs: placement.waitMs}),
      workMs,
    });
    if (placement !== undefined) recordDemand(placement);
    if (admission === Admission.Wait) return false;
    if (admission === Admission.Send && share.mustYield()) return false;
    if (admission === Admission.Refuse || placement === undefined) {
      refuse((placement?.waitMs ?? 0) + (placement?.prefillMs ?? 0));
      return true;
    }
    const {server} = placement;
    const isDirect = server.stage === EngineStage.Decode;
    if (!isDirect && !reservation.tryReserve(server.failureDomain)) {
      failWithoutDecodeEngine();
      return true;
    }
    records.recordPlaced(placement);
    share.recordStart();
    if (isDirect) sendDecode(server, placement);
    else sendPrefill(placement);
    return true;
  }

  /** Counts the work of this request towards the demand, once, whether or not the request is served. */
  function recordDemand(placement: PrefillPlacement): void {
    if (isDemandRecorded) return;
    isDemandRecorded = true;
    const slotMs = context.speeds.predictRunMs(task.service, route.name);
    context.demand.record(task.service, {
      readMs: placement.prefillMs,
      slotMs,
      memoryTokenMs: slotMs * model.promptTokens,
      moveMs: computeTransferMs(model.promptTokens, engine, false),
      prefillRequests: placement.server.stage === EngineStage.Decode ? 0 : 1,
      decodeRequests: 1,
    });
  }

  /** Returns the times for admission. Once the caller has part of the answer, its wait is counted from the last failure, as it is waiting for the next event. */
  function getAdmissionTimes() {
    const elapsedMs = exchange.hasAnswerBegun()
      ? clock.getMonotonicMs() - lastFailureAtMs
      : task.getElapsedMs();
    return {
      route,
      elapsedMs,
      remainingMs: task.getRemainingMs(),
    };
  }

  /** Returns the time left until the first event must be sent to the caller, in milliseconds. */
  function getBudgetMs(): number {
    return getFirstEventBudgetMs(getAdmissionTimes());
  }

  function refuse(predictedMs: number): void {
    const {reason, retryAfterMs} = share.refuse(predictedMs);
    fail(reason, retryAfterMs);
  }

  /** Ends the request. When pauses or limits hold back all engines, the caller may retry after the shortest wait. */
  function failWithoutEngine(): void {
    const retryAfterMs = engines.tryGetRetryAfterMs();
    fail('no engine is available', retryAfterMs);
  }

  function failWithoutDecodeEngine(): void {
    const retryAfterMs = engines.tryGetRetryAfterMs(EngineStage.Decode);
    fail('no decode engine is available', retryAfterMs);
  }

  function fail(reason: string, retryAfterMs = DEFAULT_RETRY_AFTER_MS): void {
    const verdict = getVerdict();
    if (verdict === Verdict.NotRun) share.recordTold(retryAfterMs);
    task.fail(verdict, reason, retryAfterMs);
  }

  function sendPrefill(placement: PrefillPlacement): void {
    const sentAtMs = clock.getMonotonicMs();
    prefillTries++;
    task.log('prompt sent to prefill engine', formatPlacement(placement));
    prefillCall = startPrefillCall({
      context,
      task,
      placement,
      uncachedMs: engines.predictUncachedMs(placement.server),
      onPrefilled: (handle, observedMs) => {
        prefillCall = undefined;
        handlePrefilled(placement, handle, observedMs);
      },
      getBudgetMs,
      onLate: ({waitingCount}) => records.recordLate(waitingCount),
      onFailure: failure => {
        prefillCall = undefined;
        if (!task.isOver()) retryPrefill(placement.server, failure, sentAtMs);
      },
    });
  }

  function retryPrefill(
    server: BackendEntry,
    failure: CallFailure,
    sentAtMs: number,
  ): void {
    // A full engine is healthy. It is excluded by its queue length instead.
    const isFull = failure.reason === 'rejected' && failure.status === 503;
    if (isFull)
      context.prefillQueues.recordFull(server.id, clock.getMonotonicMs());
    else recordFailure(server, failure);
    records.recordAbandoned();
    reservation.cancel();
    engines.remove(server.id);
    const isAgain =
      prefillTries < MAX_PREFILL_TRIES &&
      task.getRemainingMs() > MIN_TRY_MS &&
      (failure.reason === 'connect' || budget.tryTake());
    task.log('prefill engine failed', {
      serverId: server.id,
      ...formatFailure(failure),
      sinceSentMs: Math.round(clock.getMonotonicMs() - sentAtMs),
      isAgain,
    });
    if (!isAgain) {
      task.fail(getVerdict(), `prefill failed: ${failure.reason}`);
      return;
    }
    context.metrics.recordRetry(task.service, failure.reason);
    start();
  }

  function recordFailure(server: BackendEntry, failure: CallFailure): void {
    const isCertain =
      failure.reason === 'connect' || failure.reason === 'stalled';
    engines.remove(server.id);
    if (failure.reason === 'moved') return;
    health.recordFailure(server.id, failure.reason, isCertain);
  }

  function handlePrefilled(
    placement: PrefillPlacement,
    handle: string,
    observedMs: number,
  ): void {
    const {server} = placement;
    const predictedMs = placement.waitMs + placement.prefillMs;
    context.metrics.recordPrefill(predictedMs, observedMs);
    kv = {serverId: server.id, host: server.host, port: server.port, handle};
    const sample = tryCreateSample(placement, observedMs);
    const decode =
      reservation.tryTake() ?? engines.tryChooseDecode(server.failureDomain);
    task.log('prefill completed', {
      serverId: server.id,
      predictedMs: Math.round(predictedMs),
      observedMs: Math.round(observedMs),
      decodeId: decode?.id,
    });
    if (decode !== undefined) submitToDecode(decode, sample);
    else if (engines.listDecodeEngines().length > 0) {
      waitForDecode(server.failureDomain, sample);
    } else cancelPrefilled();
  }

  function submitToDecode(decode: BackendEntry, sample?: PrefillSample): void {
    if (!tryEnter()) {
      records.recordAbandoned();
      releaseKv();
      return;
    }
    records.recordPrefilled(decode.id, sample);
    sendDecode(decode);
  }

  /** Waits for a decode engine when their limits were stated only after the prompt had been sent. */
  function waitForDecode(sourceDomain: string, sample?: PrefillSample): void {
    task.log('waits for a decode engine', {serverId: kv?.serverId});
    cancelWaiting = context.waitingPrompts.add({
      ...share.getClaim(),
      // The prompt has been prefilled: its work is done, and an engine's memory waits for it.
      isOverShare: false,
      // Prompts that wait for a prefill engine do not have to yield to it.
      service: '',
      workMs: 0,
      expiresAtMs: clock.getMonotonicMs() + getBudgetMs(),
      tryStart: () => {
        const decode = engines.tryChooseDecode(sourceDomain);
        if (decode !== undefined) submitToDecode(decode, sample);
        return decode !== undefined;
      },
      onExpired: cancelPrefilled,
    });
  }

  function cancelPrefilled(): void {
    records.recordAbandoned();
    releaseKv();
    failWithoutDecodeEngine();
  }

  function tryCreateSample(
    placement: PrefillPlacement,
    observedMs: number,
  ): PrefillSample | undefined {
    const {service} = task;
    const nowMs = clock.getMonotonicMs();
    const startMs = context.prefillQueues.tryGetLastStartMs(
      placement.server.id,
      nowMs,
    );
    return tryCreatePrefillSample({
      service,
      placement,
      serviceFactor: context.speeds.getPrefillFactor(service),
      observedMs,
      sinceStartMs: startMs === undefined ? undefined : nowMs - startMs,
    });
  }

  /** Sends the request to a decode engine; `directPlacement` is present when the engine prefills the prompt itself. */
  function sendDecode(
    server: BackendEntry,
    directPlacement?: PrefillPlacement,
  ): void {
    const sentAtMs = clock.getMonotonicMs();
    let headAtMs: number | undefined;
    decodeTries++;
    runCount++;
    context.crashGuard.recordSent();
    task.log('sent to decode engine', {
      serverId: server.id,
      parts: model.parts.map(part => part.id),
      hasKv: kv !== undefined,
      lastEventId: splitter?.getLastId(),
      runCount,
      ...(directPlacement === undefined
        ? {}
        : formatPlacement(directPlacement)),
    });
    decodeCall = startDecodeCall({
      context,
      task,
      engine,
      model,
      server,
      ...(kv === undefined ? {} : {kv}),
      waitMs: Math.max(
        engines.getSlotWaitMs(server),
        directPlacement?.waitMs ?? 0,
      ),
      prefillMs: directPlacement?.prefillMs ?? 0,
      uncachedMs:
        directPlacement === undefined ? 0 : engines.predictUncachedMs(server),
      ...(splitter === undefined ? {} : {splitter}),
      canRunAgain,
      getBudgetMs,
      onHead: () => {
        headAtMs = clock.getMonotonicMs();
        // The engine has fetched the KV cache or prefilled the prompt itself.
        kv = undefined;
        records.recordPrefilled(server.id);
      },
      onEnd: (status, isFramed) => {
        records.recordEnd(server.id);
        context.speeds.recordRun(
          task.service,
          route.name,
          clock.getMonotonicMs() - (headAtMs ?? sentAtMs),
        );
        health.recordSuccess(server.id);
        if (headAtMs !== undefined) {
          context.crashGuard.recordCompleted(server, model, isFramed);
        }
        task.complete(status, server.id);
      },
      onFailure: failure =>
        handleDecodeFailure(server, failure, {sentAtMs, headAtMs}),
    });
  }

  function handleDecodeFailure(
    server: BackendEntry,
    failure: CallFailure,
    {sentAtMs, headAtMs}: DecodeTimes,
  ): void {
    decodeCall = undefined;
    if (task.isOver()) return;
    lastFailureAtMs = clock.getMonotonicMs();
    records.recordAbandoned();
    records.recordEnd(server.id);
    if (failure.verdict === Verdict.NotRun) runCount--;
    else mayHaveRun = true;
    // A rejected request with a KV cache means that the engine could not fetch the cache, not that the engine has failed.
    const isKvRefused = kv !== undefined && failure.reason === 'rejected';
    if (!isKvRefused) recordFailure(server, failure);
    if (failure.reason === 'reset') {
      const ageMs =
        headAtMs === undefined ? undefined : lastFailureAtMs - headAtMs;
      const {requestId} = exchange.request;
      context.crashGuard.recordBroken(server, requestId, model, ageMs);
    }
    const isAgain = canRetryDecode(failure);
    const {promptId, crashCount} = context.crashGuard.getPromptHistory(model);
    task.log('decode engine failed', {
      serverId: server.id,
      ...formatFailure(failure),
      sinceSentMs: Math.round(lastFailureAtMs - sentAtMs),
      ...(headAtMs === undefined
        ? {}
        : {sinceHeadMs: Math.round(lastFailureAtMs - headAtMs)}),
      promptId,
      earlierCrashes: crashCount,
      isAgain,
    });
    if (!isAgain) {
      releaseKv();
      task.fail(getVerdict(), `decode failed: ${failure.reason}`);
      return;
    }
    context.metrics.recordRetry(task.service, failure.reason);
    retryDecode(failure);
  }

  function canRetryDecode(failure: CallFailure): boolean {
    if (failure.isFinal) return false;
    if (decodeTries >= MAX_DECODE_TRIES) return false;
    if (task.getRemainingMs() < MIN_TRY_MS) return false;
    if (failure.verdict === Verdict.NotRun) {
      return failure.reason === 'connect' || budget.tryTake();
    }
    // Sending it again would probably crash another engine.
    if (context.crashGuard.isDoubted(model)) return false;
    return route.isResumable && canRunAgain() && budget.tryTake();
  }

  function canRunAgain(): boolean {
    return runCount < route.maxServers;
  }

  /** Retries with the KV cache if the engine could not be reached, because the cache may still be available; otherwise starts again with the prefill. */
  function retryDecode(failure: CallFailure): void {
    const isKvAvailable = kv !== undefined && failure.reason === 'connect';
    const decode = isKvAvailable
      ? engines.tryChooseDecode(undefined)
      : undefined;
    if (decode !== undefined) {
      if (task.tryAdmit(getVerdict())) sendDecode(decode);
      else releaseKv();
      return;
    }
    kv = undefined;
    start();
  }

  function getVerdict(): Verdict {
    return mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun;
  }

  function releaseKv(): void {
    if (kv === undefined) return;
    const server = context.state.tryGetUsable(kv.serverId);
    const release = context.protocol.buildReleaseCall(kv);
    kv = undefined;
    if (server === undefined) return;
    void sendControlCall(
      context.connections,
      clock,
      server,
      release,
      RELEASE_TIMEOUT_MS,
    ).then(answer => {
      if (answer?.status === 200) return;
      task.log('KV cache could not be released', {status: answer?.status});
    });
  }

  function stop(cause: 'gone' | 'timeout'): void {
    cancelWaiting();
    reservation.cancel();
    const isDecoding = decodeCall?.isSent() === true;
    prefillCall?.cancel();
    decodeCall?.cancel();
    records.recordAbandoned();
    if (isDecoding) mayHaveRun = true;
    else releaseKv();
    if (cause === 'timeout') task.fail(getVerdict(), 'timeout');
  }
}

function formatPlacement(
  placement: PrefillPlacement,
): Readonly<Record<string, unknown>> {
  return {
    serverId: placement.server.id,
    waitMs: Math.round(placement.waitMs),
    readMs: Math.round(placement.prefillMs),
    cachedTokens: placement.cachedTokens,
    timeFactor: Math.round(placement.timeFactor * 100) / 100,
  };
}
