/**
 * The callers of a replay. A caller retries through another node: once after a refusal that says
 * when to retry, and after a broken connection when a repeat is safe.
 */
import type {TokenBatch} from '../backends';
import type {AnswerEnd} from '../routing';
import type {Clock} from '../runtime';
import {type RequestFailure, Verdict} from '../verdict';
import type {EntryNode} from './entry_node';
import type {Recorder, RequestResult} from './recorder';
import type {InputFactory} from './request_input';
import type {BackendMonitor} from './backend_monitor';
import type {ReplayEvent, TraceRequest} from './types';

/** Options of the callers. */
export interface CallersOptions {
  readonly clock: Clock;
  readonly inputs: InputFactory;
  readonly recorder: Recorder;
  readonly backendMonitor: BackendMonitor;
  readonly emitEvent: (event: Omit<ReplayEvent, 'atMs' | 'node'>) => void;
  /** The platform's load balancer: returns a node in rotation, another than `except` if there is one. */
  readonly chooseNode: (except?: EntryNode) => EntryNode | undefined;
  /** Calls back when a node is killed; returns a function that stops watching. */
  readonly watchExit: (node: EntryNode, onExit: () => void) => () => void;
}

/** Sends the requests of a trace and records their results. */
export interface Callers {
  send(request: TraceRequest, index: number): void;
  /** Records requests that are still open as never answered. */
  close(): void;
  getOpenCount(): number;
}

/** Maximum retries after refusals that say when to retry. */
const MAX_REFUSAL_RETRIES = 1;
/** Maximum attempts of a request, including retries after broken connections. */
const MAX_ATTEMPTS = 5;
/** Delay before a caller retries after its connection broke, in milliseconds. */
const RECONNECT_DELAY_MS = 50;

interface OpenCall {
  readonly request: TraceRequest;
  readonly index: number;
  attempt: number;
  /** Refusals so far. */
  refusals: number;
  requestId: string;
  node: EntryNode | undefined;
  stopWatching: () => void;
  tokens: number;
  lastTokenAtMs: number | undefined;
  hasFirstToken: boolean;
  isDone: boolean;
}

/** Creates the callers. */
export function createCallers(options: CallersOptions): Callers {
  const {clock, inputs, recorder, backendMonitor} = options;
  const openCalls = new Set<OpenCall>();
  return {send, close, getOpenCount: () => openCalls.size};

  function send(request: TraceRequest, index: number): void {
    recorder.recordArrival(request);
    const call: OpenCall = {
      request,
      index,
      attempt: 0,
      refusals: 0,
      requestId: '',
      node: undefined,
      stopWatching: () => undefined,
      tokens: 0,
      lastTokenAtMs: undefined,
      hasFirstToken: false,
      isDone: false,
    };
    openCalls.add(call);
    startAttempt(call);
  }

  function startAttempt(call: OpenCall): void {
    const {request} = call;
    const attempt = ++call.attempt;
    call.requestId = `r${call.index}.${attempt}`;
    call.tokens = 0;
    call.lastTokenAtMs = undefined;
    if (request.key !== undefined && !request.idempotent) {
      backendMonitor.setIdempotencyKey(
        call.requestId,
        `${request.client_account}\n${request.key}`,
      );
    }
    const node = options.chooseNode(call.node);
    if (node === undefined || !node.process.isAlive()) {
      // The connection is refused: no node has received the request.
      call.node = node;
      retryLater(call, {kind: 'refused'}, RECONNECT_DELAY_MS);
      return;
    }
    call.node = node;
    call.stopWatching = options.watchExit(node, () => {
      if (isCurrent()) onNodeExit(call);
    });
    node.process.run(() => runRequest(call, node, isCurrent));

    function isCurrent(): boolean {
      return !call.isDone && call.attempt === attempt;
    }
  }

  function runRequest(
    call: OpenCall,
    node: EntryNode,
    isCurrent: () => boolean,
  ): void {
    const {request, requestId} = call;
    if (request.kind === 'service') {
      const input = inputs.createServiceInput(request, requestId);
      void node.pipeline.runService(input).then(answer => {
        if (!isCurrent()) return;
        if (answer.ok) settleDelivered(call);
        else onFailure(call, answer.val);
      });
      return;
    }
    node.pipeline.runModel(inputs.createModelInput(request, requestId), {
      onTokens: batch => {
        if (isCurrent()) onTokens(call, batch);
      },
      onEnd: end => {
        if (isCurrent()) onEnd(call, end);
      },
      onFailure: failure => {
        if (isCurrent()) onFailure(call, failure);
      },
    });
  }

  function onTokens(call: OpenCall, batch: TokenBatch): void {
    if (batch.firstIndex !== call.tokens) return;
    const nowMs = clock.getMonotonicMs();
    // Tokens generated before this request, as in a repeated answer, count from their receipt.
    const isRepeat = batch.firstAtMs < call.request.at_ms;
    const timedBatch = isRepeat
      ? {...batch, firstAtMs: nowMs, lastAtMs: nowMs}
      : batch;
    if (!call.hasFirstToken) {
      call.hasFirstToken = true;
      recorder.recordFirstToken(
        call.request,
        timedBatch.firstAtMs - call.request.at_ms,
      );
    }
    recorder.recordTokens(timedBatch, call.lastTokenAtMs);
    call.lastTokenAtMs = timedBatch.lastAtMs;
    call.tokens += batch.count;
  }

  function onEnd(call: OpenCall, end: AnswerEnd): void {
    const isComplete = call.tokens === end.generatedTokens;
    if (isComplete) settleDelivered(call);
    else settle(call, {kind: 'may-have-run', isCut: true});
  }

  function settleDelivered(call: OpenCall): void {
    const atMs = clock.getMonotonicMs();
    settle(call, {kind: 'delivered', atMs, tokens: call.tokens});
  }

  function onFailure(call: OpenCall, failure: RequestFailure): void {
    if (failure.verdict !== Verdict.NotRun) {
      const isCut = call.tokens > 0 && !isPastDeadline(call);
      settle(call, {kind: 'may-have-run', isCut}, failure.message);
      return;
    }
    if (backendMonitor.hasRun(call.requestId)) recorder.recordNotRunButRan();
    const {retryAfterMs, message} = failure;
    const result = {kind: 'refused' as const};
    if (retryAfterMs === undefined) settle(call, result, message);
    else if (++call.refusals > MAX_REFUSAL_RETRIES)
      settle(call, result, message);
    else retryLater(call, result, retryAfterMs, message);
  }

  /** Retries an idempotent request or one with an idempotency key, which is safe even if it ran. */
  function onNodeExit(call: OpenCall): void {
    const isRetrySafe =
      call.request.idempotent || call.request.key !== undefined;
    const result: RequestResult = {
      kind: 'may-have-run',
      isCut: call.tokens > 0,
    };
    if (isRetrySafe) retryLater(call, result, RECONNECT_DELAY_MS);
    else settle(call, result);
  }

  function retryLater(
    call: OpenCall,
    result: RequestResult,
    delayMs: number,
    cause = 'the node was killed or unreachable',
  ): void {
    const {request} = call;
    call.stopWatching();
    const atMs = clock.getMonotonicMs() + delayMs;
    const isInTime = atMs < request.at_ms + request.deadline_ms;
    if (call.attempt >= MAX_ATTEMPTS || !isInTime) {
      settle(call, result, cause);
      return;
    }
    const {attempt} = call;
    clock.schedule(delayMs, () => {
      if (!call.isDone && call.attempt === attempt) startAttempt(call);
    });
  }

  function emitFailure(
    call: OpenCall,
    result: RequestResult,
    cause: string,
  ): void {
    if (result.kind === 'delivered') return;
    const isCut = result.kind === 'may-have-run' && result.isCut;
    options.emitEvent({
      kind: 'caller-failed',
      requestId: call.requestId,
      cause: `${result.kind}${isCut ? ', cut' : ''}: ${cause}`,
    });
  }

  function settle(
    call: OpenCall,
    result: RequestResult,
    cause = 'no answer',
  ): void {
    if (call.isDone) return;
    emitFailure(call, result, cause);
    call.isDone = true;
    call.stopWatching();
    openCalls.delete(call);
    recorder.recordResult(call.request, result);
  }

  function close(): void {
    for (const call of [...openCalls]) {
      settle(call, {kind: 'may-have-run', isCut: call.tokens > 0});
    }
  }

  function isPastDeadline(call: OpenCall): boolean {
    const {at_ms, deadline_ms} = call.request;
    return clock.getMonotonicMs() >= at_ms + deadline_ms;
  }
}
