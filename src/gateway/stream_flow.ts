/**
 * Serves a model request: a prefill engine reads the prompt, a decode engine
 * fetches the KV cache and streams the answer.
 */
import type {Timer} from '../runtime/types';
import {Verdict} from '../verdict';
import {createAnswerRelay, createSplitterFor} from './answer_relay';
import type {CallHandler, OpenCall} from './connections';
import {computeTransferMs} from './engine_costs';
import type {FlowContext} from './flow_context';
import {
  listSharedParts,
  type PlacementInput,
  type PrefillPlace,
  tryChooseDecode,
  tryChooseDirect,
  tryChoosePrefill,
} from './placement';
import type {RequestTask} from './request_task';
import type {
  BackendEntry,
  CallFailure,
  EngineLimits,
  KvReference,
  ModelRequest,
} from './types';

/** Time of a stream's way besides reading and moving the prompt, in milliseconds: hops and the first step. */
const FIRST_EVENT_OVERHEAD_MS = 20;
/** Expected time of one output token, in milliseconds, from the sheets' step time. */
const TOKEN_MS = 4.5;
/** Least time left for another try, in milliseconds. */
const MIN_TRY_MS = 60;
/** Slack before a prefill engine that does not answer is given up, in milliseconds. */
const PREFILL_SLACK_MS = 400;
/** Interval of looking again at a prefill engine that is late, in milliseconds. */
const STALL_CHECK_MS = 150;
/** How many times longer than predicted a prefill may take. */
const PREFILL_FACTOR = 2;
/** Slack and factor before a decode engine whose stream does not begin is suspected, in milliseconds. */
const DECODE_SLACK_MS = 600;
const DECODE_FACTOR = 2;
/** Most prefill engines tried for one request. */
const MAX_PREFILL_TRIES = 3;
/** Most decode engines asked for one request, those that refused included. */
const MAX_DECODE_TRIES = 3;
/** Shortest predicted read that says something about an engine's speed, in milliseconds. */
const MIN_RATIO_MS = 40;
/** Time of the way to an engine and back, in milliseconds. */
const HOP_MS = 5;
/** Callers wait for the first event at least this long, in milliseconds, and these multiples of the route's objectives. */
const MIN_PATIENCE_MS = 2_000;
const OBJECTIVES_OF_PATIENCE = 4;
const PAUSES_OF_PATIENCE = 8;
/** Shortest time after which a refused caller may come back, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;

/** Serves one request. */
export function runStreamFlow(
  context: FlowContext,
  engine: EngineLimits,
  model: ModelRequest,
  task: RequestTask,
): void {
  const {exchange, route} = task;
  const {clock} = context;
  const excluded = new Set<string>();
  const splitter = createSplitterFor(route.isResumable);
  const budget = context.getBudget(task.service);
  const jobId = `${context.path.ownDomain}/${exchange.request.requestId}`;
  let call: OpenCall | undefined;
  let stallTimer: Timer | undefined;
  let kv: KvReference | undefined;
  let prefillId: string | undefined;
  let prefillTries = 0;
  let decodeTries = 0;
  let runCount = 0;
  let mayHaveRun = false;
  budget.recordRequest();
  task.onStop(stop);
  startPrefill();

  function startPrefill(): void {
    const input = createInput();
    const place = tryChoosePrefill(input);
    if (place === undefined) {
      startDirect();
      return;
    }
    const predictedMs = place.waitMs + place.readMs + FIRST_EVENT_OVERHEAD_MS;
    if (predictedMs > getPatienceMs()) {
      refuseLate(predictedMs);
      return;
    }
    sendPrefill(place);
  }

  function createInput(): PlacementInput {
    const engines = context.health
      .listHealthy(context.state.listUsable(task.service))
      .filter(
        server => !excluded.has(server.id) && !context.isChanging(server.id),
      );
    return {
      request: model,
      engines,
      book: context.book,
      prefixes: context.prefixes,
      homes: context.homes,
      path: context.path,
      isHomeWarm: context.isHomeWarm,
      getSlowdown: context.health.getSlowdown,
      nowMs: clock.getMonotonicMs(),
    };
  }

  /** Callers leave a stream whose first event does not come, long before their deadline. */
  function getPatienceMs(): number {
    const patienceMs = Math.max(
      MIN_PATIENCE_MS,
      OBJECTIVES_OF_PATIENCE * route.objectiveMs,
      PAUSES_OF_PATIENCE * route.pauseObjectiveMs,
    );
    return Math.min(task.getRemainingMs(), patienceMs - task.getElapsedMs());
  }

  function refuseLate(predictedMs: number): void {
    const lateMs = predictedMs - route.objectiveMs;
    task.log('refused: cannot be served in time', {predictedMs});
    task.fail(
      getVerdict(),
      'engines are busy',
      Math.max(MIN_RETRY_AFTER_MS, lateMs),
    );
  }

  function sendPrefill(place: PrefillPlace): void {
    const {server} = place;
    const sentAtMs = clock.getMonotonicMs();
    const predictedMs = place.waitMs + place.readMs;
    prefillTries++;
    prefillId = server.id;
    task.log('prompt sent to prefill engine', {
      serverId: server.id,
      waitMs: Math.round(place.waitMs),
      readMs: Math.round(place.readMs),
      promptTokens: model.promptTokens,
      cachedTokens: place.cachedTokens,
    });
    recordPlaced(place);
    const chunks: Buffer[] = [];
    let hasFailed = false;
    const handler: CallHandler = {
      onAnswer: (status, rawHeaders) => checkPrefillAnswer(status, rawHeaders),
      onData: chunk => chunks.push(chunk),
      onEnd: () => {
        const handle = context.protocol.parsePrefillAnswer(
          Buffer.concat(chunks),
        );
        if (handle === undefined) {
          failPrefill({
            verdict: Verdict.NotRun,
            reason: 'mismatch',
            message: 'answer names no KV cache',
          });
          return;
        }
        handlePrefilled(place, handle, clock.getMonotonicMs() - sentAtMs);
      },
      onFailure: failPrefill,
    };
    call = context.connections.call({
      server,
      method: exchange.method,
      path: exchange.target,
      headers: context.protocol.buildHeaders(exchange.rawHeaders, {
        deadlineMs: task.getRemainingMs(),
        serverId: server.id,
        rank: route.rank,
        isPrefillOnly: true,
      }),
      ...(exchange.body === undefined ? {} : {body: exchange.body}),
      handler,
    });
    stallTimer = clock.schedule(
      PREFILL_FACTOR * predictedMs + PREFILL_SLACK_MS,
      checkStall,
    );

    /** An engine that answers others is busy beyond what is known, and gets more time. */
    function checkStall(): void {
      if (context.health.hasRecentSign(server.id)) {
        stallTimer = clock.schedule(STALL_CHECK_MS, checkStall);
        return;
      }
      call?.cancel();
      failPrefill({
        verdict: Verdict.NotRun,
        reason: 'stalled',
        message: 'the prompt was not read in time',
      });
    }

    function failPrefill(failure: CallFailure): void {
      if (hasFailed || task.isOver()) return;
      hasFailed = true;
      stallTimer?.cancel();
      recordRead(server.id, undefined, undefined);
      retryPrefill(server, failure);
    }
  }

  function checkPrefillAnswer(
    status: number,
    rawHeaders: readonly string[],
  ): CallFailure | void {
    const facts = context.protocol.parseAnswer(status, rawHeaders);
    const isOther =
      facts.requestId !== undefined &&
      facts.requestId !== exchange.request.requestId;
    if (status === 200 && !isOther) return;
    return {
      verdict: Verdict.NotRun,
      reason: isOther ? 'mismatch' : 'rejected',
      message: `prefill engine answered ${status}`,
    };
  }

  function recordPlaced(place: PrefillPlace): void {
    const job = {
      id: jobId,
      serverId: place.server.id,
      costMs: place.readMs,
    };
    context.book.add(job, clock.getMonotonicMs());
    context.prefixes.recordRead(place.server.id, model.parts);
    context.notifyPeers({
      kind: 'placed',
      jobId,
      serverId: place.server.id,
      costMs: Math.round(place.readMs),
      parts: listSharedParts(model),
    });
  }

  function recordRead(
    serverId: string,
    decodeId: string | undefined,
    ratio: number | undefined,
  ): void {
    const nowMs = clock.getMonotonicMs();
    context.book.remove(jobId, nowMs);
    const runMs = computeRunMs();
    if (decodeId !== undefined) {
      context.streams.add(decodeId, jobId, nowMs + runMs);
    }
    context.notifyPeers({
      kind: 'read',
      jobId,
      serverId,
      isRead: decodeId !== undefined,
      ...(ratio === undefined ? {} : {ratio}),
      ...(decodeId === undefined ? {} : {decodeId, runMs}),
    });
  }

  function computeRunMs(): number {
    const transferMs = computeTransferMs(model.promptTokens, engine, true);
    return Math.round(transferMs + model.maxOutputTokens * TOKEN_MS);
  }

  function retryPrefill(server: BackendEntry, failure: CallFailure): void {
    excluded.add(server.id);
    context.health.recordFailure(
      server.id,
      failure.reason,
      failure.reason === 'connect' || failure.reason === 'stalled',
    );
    const isAgain =
      prefillTries < MAX_PREFILL_TRIES &&
      task.getRemainingMs() > MIN_TRY_MS &&
      (failure.reason === 'connect' || budget.tryTake());
    task.log('prefill engine failed', {
      serverId: server.id,
      reason: failure.reason,
      detail: failure.message,
      isAgain,
    });
    if (!isAgain) {
      task.fail(getVerdict(), `prefill failed: ${failure.reason}`);
      return;
    }
    context.metrics.recordRetry(task.service, failure.reason);
    startPrefill();
  }

  function handlePrefilled(
    place: PrefillPlace,
    handle: string,
    observedMs: number,
  ): void {
    stallTimer?.cancel();
    const {server} = place;
    const predictedMs = place.waitMs + place.readMs;
    context.metrics.recordPrefill(predictedMs, observedMs);
    const ratio = computeRatio(place, observedMs);
    if (ratio !== undefined) context.health.recordSuccess(server.id, ratio);
    kv = {serverId: server.id, host: server.host, port: server.port, handle};
    const decode = chooseDecode(server.failureDomain);
    recordRead(server.id, decode?.id, ratio);
    task.log('prompt was read', {
      serverId: server.id,
      predictedMs: Math.round(predictedMs),
      observedMs: Math.round(observedMs),
      decodeId: decode?.id,
    });
    if (decode === undefined) {
      releaseKv();
      task.fail(getVerdict(), 'no decode engine is available');
      return;
    }
    sendDecode(decode);
  }

  /** Tells how much slower than the sheets' speed an engine reads; short reads say little. */
  function computeRatio(
    place: PrefillPlace,
    observedMs: number,
  ): number | undefined {
    const slowdown = context.health.getSlowdown(place.server.id);
    const plainMs = (place.waitMs + place.readMs) / slowdown;
    if (plainMs < MIN_RATIO_MS) return undefined;
    return (observedMs - HOP_MS) / plainMs;
  }

  function chooseDecode(
    sourceDomain: string | undefined,
  ): BackendEntry | undefined {
    const nowMs = clock.getMonotonicMs();
    return tryChooseDecode({
      engines: createInput().engines,
      engine,
      tokens: model.promptTokens,
      sourceDomain,
      path: context.path,
      countStreams: serverId => context.streams.count(serverId, nowMs),
    });
  }

  /** Lets a decode engine read the prompt by itself. */
  function startDirect(): void {
    const place = tryChooseDirect(createInput());
    if (place === undefined) {
      task.fail(getVerdict(), 'no engine is available');
      return;
    }
    const predictedMs = place.readMs + FIRST_EVENT_OVERHEAD_MS;
    if (predictedMs > getPatienceMs()) {
      refuseLate(predictedMs);
      return;
    }
    sendDecode(place.server);
  }

  function sendDecode(server: BackendEntry): void {
    decodeTries++;
    runCount++;
    const lastEventId = splitter?.getLastId();
    task.log('sent to decode engine', {
      serverId: server.id,
      hasKv: kv !== undefined,
      lastEventId,
      runCount,
    });
    const relay = createAnswerRelay({
      task,
      protocol: context.protocol,
      holdBytes: 0,
      isErrorRepeatable: () => route.isResumable && canRunAgain(),
      ...(splitter === undefined ? {} : {splitter}),
      onHead: () => {
        stallTimer?.cancel();
        context.health.recordSign(server.id);
        // The KV cache was fetched.
        kv = undefined;
      },
      onEnd: status => {
        context.streams.remove(server.id, jobId);
        context.health.recordSuccess(server.id, 1);
        task.complete(status, server.id);
      },
      onFailure: failure => handleDecodeFailure(server, failure),
    });
    const opened = context.connections.call({
      server,
      method: exchange.method,
      path: exchange.target,
      headers: context.protocol.buildHeaders(exchange.rawHeaders, {
        deadlineMs: task.getRemainingMs(),
        serverId: server.id,
        rank: route.rank,
        ...(kv === undefined ? {} : {kv}),
        ...(lastEventId === undefined ? {} : {lastEventId}),
      }),
      ...(exchange.body === undefined ? {} : {body: exchange.body}),
      handler: relay,
    });
    call = opened;
    relay.attach(opened);
    stallTimer = clock.schedule(getDecodeStallMs(), () =>
      handleDecodeStall(server, opened),
    );
  }

  function getDecodeStallMs(): number {
    const transferMs = computeTransferMs(model.promptTokens, engine, true);
    return DECODE_FACTOR * transferMs + DECODE_SLACK_MS;
  }

  /** A stream that may not be repeated is waited for; later requests go elsewhere. */
  function handleDecodeStall(server: BackendEntry, opened: OpenCall): void {
    if (task.isOver() || exchange.hasAnswerBegun()) return;
    if (context.health.hasRecentSign(server.id)) {
      stallTimer = clock.schedule(STALL_CHECK_MS, () =>
        handleDecodeStall(server, opened),
      );
      return;
    }
    if (!route.isResumable || !canRunAgain()) {
      context.health.recordFailure(server.id, 'stalled', true);
      return;
    }
    opened.cancel();
    handleDecodeFailure(server, {
      verdict: Verdict.MayHaveRun,
      reason: 'stalled',
      message: 'the stream did not begin in time',
    });
  }

  function handleDecodeFailure(
    server: BackendEntry,
    failure: CallFailure,
  ): void {
    if (task.isOver()) return;
    stallTimer?.cancel();
    context.streams.remove(server.id, jobId);
    if (failure.verdict === Verdict.NotRun) runCount--;
    else mayHaveRun = true;
    // A refusal of a request with a KV cache says that the cache cannot be had.
    const isKvRefused = kv !== undefined && failure.reason === 'rejected';
    if (!isKvRefused) {
      excluded.add(server.id);
      context.health.recordFailure(
        server.id,
        failure.reason,
        failure.reason === 'connect' || failure.reason === 'stalled',
      );
    }
    const isAgain = canDecodeAgain(failure);
    task.log('decode engine failed', {
      serverId: server.id,
      reason: failure.reason,
      detail: failure.message,
      verdict: failure.verdict,
      isAgain,
    });
    if (!isAgain) {
      releaseKv();
      task.fail(getVerdict(), `decode failed: ${failure.reason}`);
      return;
    }
    context.metrics.recordRetry(task.service, failure.reason);
    decodeAgain(failure);
  }

  function canDecodeAgain(failure: CallFailure): boolean {
    if (decodeTries >= MAX_DECODE_TRIES) return false;
    if (task.getRemainingMs() < MIN_TRY_MS) return false;
    if (failure.verdict === Verdict.NotRun) {
      return failure.reason === 'connect' || budget.tryTake();
    }
    return route.isResumable && canRunAgain() && budget.tryTake();
  }

  function canRunAgain(): boolean {
    return runCount < route.maxServers;
  }

  /** A refusal means that the KV cache cannot be had; after a lost connection it may still be there. */
  function decodeAgain(failure: CallFailure): void {
    const isKvLeft = kv !== undefined && failure.reason === 'connect';
    const decode = isKvLeft ? chooseDecode(undefined) : undefined;
    if (decode !== undefined) {
      sendDecode(decode);
      return;
    }
    kv = undefined;
    startPrefill();
  }

  function getVerdict(): Verdict {
    return mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun;
  }

  function releaseKv(): void {
    if (kv === undefined) return;
    const server = context.state.tryGetUsable(kv.serverId);
    const release = context.protocol.buildRelease(kv);
    kv = undefined;
    if (server === undefined) return;
    context.connections.call({
      server,
      ...release,
      handler: {
        onAnswer: () => undefined,
        onData: () => undefined,
        onEnd: () => undefined,
        onFailure: failure =>
          task.log('KV cache was not freed', {detail: failure.message}),
      },
    });
  }

  function stop(cause: 'gone' | 'timeout'): void {
    stallTimer?.cancel();
    const isDecoding = runCount > 0 && call?.isSent() === true;
    call?.cancel();
    if (decodeTries === 0 && prefillId !== undefined) {
      recordRead(prefillId, undefined, undefined);
    }
    if (isDecoding) mayHaveRun = true;
    else releaseKv();
    if (cause === 'timeout') task.fail(getVerdict(), 'timeout');
  }
}
