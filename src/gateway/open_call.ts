/** One request to a backend server on its connection, from the dispatch to the end of the answer. */
import type {Dispatcher} from 'undici';
import type {Clock} from '../runtime/types';
import {Verdict} from '../verdict';
import type {BackendCall, HeadListener, OpenCall} from './backend_call';
import type {Connection} from './connection';
import type {ProcessProof} from './process_proofs';
import {findHeader, hasFraming} from './raw_headers';
import type {CallEvidence, CallFailure} from './types';
import {
  checkEnd,
  END_MESSAGES,
  EndEvidence,
  type UnframedEnd,
} from './unframed_end';

/** A call and the handler that undici reports its progress to. */
export interface DispatchedCall extends OpenCall {
  readonly dispatchHandler: Dispatcher.DispatchHandler;
}

/** Options of a call. */
export interface OpenCallOptions {
  readonly clock: Pick<Clock, 'getMonotonicMs'>;
  readonly request: BackendCall;
  readonly connection: Connection;
  readonly onHead?: HeadListener;
  /** Called for the head of each final answer, before the handler of the call, with when the request was sent, on the monotonic clock, in milliseconds. */
  readonly onAnswer: (
    status: number,
    rawHeaders: readonly string[],
    sentAtMs: number,
  ) => void;
  /** Asks for a proof that the process that got a request, sent at `sentAtMs`, lives; the returned function cancels. */
  readonly checkProcess: (
    sentAtMs: number,
    callback: (proof: ProcessProof) => void,
  ) => () => void;
  readonly onUnframedEnd: (end: UnframedEnd) => void;
  /** Called when the bytes received are no answer. */
  readonly onInvalidAnswer: (message: string) => void;
  /** Returns the connection to the idle ones, or closes it when it cannot be reused. */
  readonly release: (isReusable: boolean) => void;
}

/** Maximum number of interim answers to one request: a server that sends more would keep the call, and its bytes, going for as long as it answers questions about itself. */
const MAX_INTERIM_ANSWERS = 100;

/** Creates a call. */
export function createOpenCall(options: OpenCallOptions): DispatchedCall {
  const {clock, request, release, connection} = options;
  const {handler} = request;
  let controller: Dispatcher.DispatchController | undefined;
  let isSent = false;
  let isDone = false;
  let isPaused = false;
  let sentAtMs = 0;
  let evidence: CallEvidence | undefined;
  let head = {status: 0, atMs: 0, contentType: undefined as string | undefined};
  let bodyBytes = 0;
  let interimCount = 0;
  let cancelCheck: () => void = () => undefined;
  return {
    cancel,
    setPaused,
    isSent: () => isSent,
    getEvidence: () => evidence,
    dispatchHandler: {
      onRequestStart: started => {
        controller = started;
        connection.expectAnswer();
        isSent = true;
        sentAtMs = clock.getMonotonicMs();
        evidence = {
          connection: connection.number,
          answersBefore: connection.answerCount,
        };
        if (isDone) started.abort(new Error('cancelled'));
      },
      onResponseStart,
      onResponseData: (_controller, chunk) => {
        bodyBytes += chunk.length;
        if (!isDone) handler.onData(chunk);
      },
      onResponseEnd: () => {
        // The write that reveals a reset completes only after this event.
        if (connection.isUnframed) setImmediate(settleUnframed);
        else settle();
      },
      onResponseError: (_controller, error) => {
        if (isSent && connection.isUnframed && !isDone) {
          reportUnframed(EndEvidence.Reset);
        }
        if (isSent && connection.hasInvalidAnswer) {
          return failInvalid(error.message);
        }
        if (isSent) return fail(createReset(error.message));
        fail({
          verdict: Verdict.NotRun,
          reason: 'connect',
          message: error.message,
        });
      },
    },
  };

  function setPaused(next: boolean): void {
    if (isDone || isPaused === next) return;
    isPaused = next;
    if (isPaused) controller?.pause();
    else controller?.resume();
  }

  /** The end of a process closes its connections like the end of an answer does. */
  function settleUnframed(): void {
    if (isDone) return;
    cancelCheck = checkEnd(
      {
        wasReset: connection.wasReset,
        isCutOff: () => handler.isCutOff?.() === true,
        needsProof: () => handler.needsProof?.() !== false,
        checkProcess: callback => options.checkProcess(sentAtMs, callback),
      },
      result => {
        if (isDone) return;
        reportUnframed(result);
        const message = END_MESSAGES[result];
        if (message === undefined) settle();
        else fail(createReset(message));
      },
    );
  }

  function reportUnframed(result: EndEvidence): void {
    options.onUnframedEnd({
      serverId: request.server.id,
      requestId: request.requestId,
      path: request.path,
      status: head.status,
      contentType: head.contentType,
      isComplete: END_MESSAGES[result] === undefined,
      evidence: result,
      bodyBytes,
      sinceHeadMs: Math.round(clock.getMonotonicMs() - head.atMs),
    });
  }

  function settle(): void {
    if (connection.wasReset) {
      return fail(createReset('connection was reset during the answer'));
    }
    if (isDone) return;
    isDone = true;
    release(true);
    handler.onEnd();
  }

  function onResponseStart(
    started: Dispatcher.DispatchController,
    status: number,
  ): void {
    if (isDone) return;
    // Informational (1xx) answers precede the final one.
    if (status < 200) {
      interimCount++;
      if (interimCount > MAX_INTERIM_ANSWERS) {
        fail(
          createMismatch(`more than ${MAX_INTERIM_ANSWERS} interim answers`),
        );
      }
      return;
    }
    const rawHeaders = takeRawHeaders(started);
    const {method} = request;
    if (isBodyForbidden(status) && hasBodyHeader(method, status, rawHeaders)) {
      failInvalid(`answer ${status} states a body`);
      return;
    }
    const isFramed = hasFraming(rawHeaders) || !hasBody(method, status);
    connection.isUnframed = !isFramed;
    head = {
      status,
      atMs: clock.getMonotonicMs(),
      contentType: findHeader(rawHeaders, 'Content-Type'),
    };
    options.onHead?.(status, rawHeaders);
    options.onAnswer(status, rawHeaders, sentAtMs);
    const answersBefore = connection.answerCount++;
    const answerAfterMs = Math.round(10 * (head.atMs - sentAtMs)) / 10;
    evidence = {connection: connection.number, answersBefore, answerAfterMs};
    const failure = handler.onAnswer(status, rawHeaders, {
      isFirst: answersBefore === 0,
      isFramed,
      evidence,
    });
    if (failure !== undefined) fail(failure);
  }

  function fail(failure: CallFailure): void {
    if (isDone) return;
    isDone = true;
    controller?.abort(new Error(failure.reason));
    release(false);
    handler.onFailure(
      evidence === undefined ? failure : {...failure, evidence},
    );
  }

  /** The answer is none in the protocol, so nothing shows whether the request has run. */
  function failInvalid(message: string): void {
    if (isDone) return;
    options.onInvalidAnswer(message);
    fail(createMismatch(message));
  }

  function cancel(): void {
    if (isDone) return;
    isDone = true;
    cancelCheck();
    controller?.abort(new Error('cancelled'));
    release(false);
  }
}

/** True when an answer to this method with this status has a body. */
function hasBody(method: string, status: number): boolean {
  return method !== 'HEAD' && !isBodyForbidden(status);
}

function isBodyForbidden(status: number): boolean {
  return status === 204 || status === 304;
}

/** True when an answer that has no body states one. The length in a 304 is that of the body which the caller has already, and in the answer to HEAD its transfer coding is that of the answer to GET. */
function hasBodyHeader(
  method: string,
  status: number,
  rawHeaders: readonly string[],
): boolean {
  if (findHeader(rawHeaders, 'Transfer-Encoding') !== undefined) {
    return status === 204 || method !== 'HEAD';
  }
  const length = findHeader(rawHeaders, 'Content-Length');
  return status === 204 && length !== undefined && length !== '0';
}

function createReset(message: string): CallFailure {
  return {verdict: Verdict.MayHaveRun, reason: 'reset', message};
}

function createMismatch(message: string): CallFailure {
  return {verdict: Verdict.MayHaveRun, reason: 'mismatch', message};
}

/** Copies the headers and drops those of the library, which are parts of the first chunk of the answer and would keep all of it, up to 64 KiB, until the answer ends. */
function takeRawHeaders(controller: Dispatcher.DispatchController): string[] {
  const raw = controller.rawHeaders;
  Object.assign(controller, {rawHeaders: []});
  return Array.isArray(raw) ? raw.map(item => item.toString('latin1')) : [];
}
