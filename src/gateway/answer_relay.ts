/** Relays a backend server's answer to the caller, or reports why it cannot. */
import {Verdict} from '../verdict';
import type {AnswerTransport, CallHandler, OpenCall} from './backend_call';
import {createEventBoundary, type EventSplitter} from './event_splitter';
import {findHeader} from './raw_headers';
import type {RequestTask} from './request_task';
import {isMismatchedAnswer} from './server_call';
import type {BackendProtocol, CallFailure} from './types';

/** Options of a relay. */
export interface RelayOptions {
  readonly task: RequestTask;
  readonly protocol: BackendProtocol;
  /** True when a server error may be discarded in favour of another attempt. */
  readonly isErrorRetryable: () => boolean;
  /** True when successful answers are streams of events unless they state another type. Events are passed on as they arrive. */
  readonly isEventStream: boolean;
  /** Present when the stream can be resumed on another server. */
  readonly splitter?: EventSplitter;
  /** Called when the head of an answer shows that the server has run the request, successfully or not. */
  readonly onRun: () => void;
  /** Called when the head of a successful answer has arrived. */
  readonly onHead?: () => void;
  /** Called after a complete answer; `isFramed` is false when it had no length and ended with its connection. */
  readonly onEnd: (status: number, isFramed: boolean) => void;
  readonly onFailure: (failure: CallFailure) => void;
}

const EVENT_TYPE = 'text/event-stream';
/** Longest answer other than a stream that is buffered until it is complete, in bytes. If it is cut off, the request can still be retried, because the caller has received nothing. */
const MAX_BUFFERED_BYTES = 65_536;
/** Bytes without an event that carries data after which the bytes of a server are not taken for a stream of events. */
const MAX_EVENT_BYTES = 262_144;
const CUT_OFF: CallFailure = {
  verdict: Verdict.MayHaveRun,
  reason: 'reset',
  message: 'stream ended inside an event',
};

/** A relay of one answer. */
export interface AnswerRelay extends CallHandler {
  /** Sets the call whose answer is relayed; must be called before the answer arrives. */
  attach(call: OpenCall): void;
}

/** Creates a relay. */
export function createAnswerRelay(options: RelayOptions): AnswerRelay {
  const {task, protocol} = options;
  const {exchange} = task;
  let call: OpenCall | undefined;
  let status = 0;
  let isFramed = true;
  let isEventStream = false;
  let isRelaying = false;
  let receivedBytes = 0;
  const boundary = createEventBoundary();
  const events = options.splitter ?? boundary;
  let rejection: CallFailure | undefined;
  let answer: Pick<CallFailure, 'evidence' | 'hasRequestId'> = {};
  let pendingHeaders: readonly string[] | undefined;
  let bufferedChunks: Buffer[] = [];
  let bufferedBytes = 0;
  let isWatchingCaller = false;
  return {
    attach: open => {
      call = open;
    },
    onAnswer,
    onData,
    onEnd,
    onFailure: failure => fail(rejection ?? failure),
    isCutOff: () => rejection === undefined && isEventStream && isCutOff(),
    needsProof: () => rejection === undefined,
  };

  function onAnswer(
    answerStatus: number,
    rawHeaders: readonly string[],
    transport: AnswerTransport,
  ): CallFailure | void {
    status = answerStatus;
    isFramed = transport.isFramed;
    const head = protocol.parseAnswer(status, rawHeaders);
    answer = {
      evidence: transport.evidence,
      hasRequestId: head.requestId !== undefined,
    };
    if (isMismatchedAnswer(head, exchange)) {
      return createMismatch('answer carries another request id');
    }
    if (head.isNotRun && head.requestId === undefined) {
      // Ends the connection: the server might write the refusal again, which could not be told from that of a later request.
      return transport.isFirst
        ? createRejection(Verdict.NotRun, status)
        : createMismatch('refusal carries no request id');
    }
    if (head.isNotRun) {
      rejection = createRejection(Verdict.NotRun, status);
      return;
    }
    options.onRun();
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && (!head.isSealed || head.isEncoded)) {
      return createMismatch('answer is unsealed or content-encoded');
    }
    // The caller has part of a stream, to which an error of the server that was to resume it must not be joined.
    if (!isSuccess && exchange.hasAnswerBegun()) {
      rejection = createRejection(Verdict.MayHaveRun, status);
      return;
    }
    // Callers take these statuses as a guarantee that the request has not run.
    const isNotRunStatus = status === 429 || status === 503 || status === 408;
    if (isNotRunStatus || (status >= 500 && options.isErrorRetryable())) {
      rejection = createRejection(Verdict.MayHaveRun, status);
      return;
    }
    const type = getMediaType(rawHeaders) ?? EVENT_TYPE;
    const isStated = type === EVENT_TYPE;
    // Without a length, only the events show whether the answer is whole, whatever type the server states.
    isEventStream =
      isSuccess && options.isEventStream && (isStated || !isFramed);
    if (exchange.hasAnswerBegun() && !(isEventStream && isStated)) {
      return createMismatch(`a stream was to be resumed by ${type}`);
    }
    if (isSuccess) options.onHead?.();
    pendingHeaders = protocol.buildAnswerHeaders(rawHeaders);
    if (isEventStream) sendBuffered();
  }

  function onData(chunk: Buffer): void {
    if (rejection !== undefined) return;
    receivedBytes += chunk.length;
    if (isEventStream) {
      sendEvents(chunk);
      return;
    }
    if (pendingHeaders === undefined) {
      writePart(chunk);
      return;
    }
    bufferedChunks.push(chunk);
    bufferedBytes += chunk.length;
    if (bufferedBytes > MAX_BUFFERED_BYTES) sendBuffered();
  }

  function sendEvents(chunk: Buffer): void {
    const bytes = options.splitter?.push(chunk) ?? chunk;
    if (options.splitter === undefined) boundary.push(chunk);
    if (bytes.length > 0) writePart(bytes);
    if (events.countBytesWithoutData() <= MAX_EVENT_BYTES) return;
    call?.cancel();
    fail(createMismatch('stream does not consist of events'));
  }

  function onEnd(): void {
    if (rejection !== undefined || (isEventStream && isCutOff())) {
      fail(rejection ?? CUT_OFF);
      return;
    }
    sendBuffered();
    const remainder = options.splitter?.takeRemainder();
    if (remainder !== undefined && remainder.length > 0) writePart(remainder);
    exchange.end();
    options.onEnd(status, isFramed);
  }

  /** True when a stream ended inside an event, or without any event and without framing that shows it to be complete. */
  function isCutOff(): boolean {
    return receivedBytes === 0 ? !isFramed : !events.isBetweenEvents();
  }

  /** Reports a failure; part of an answer that is not a stream cannot be continued by another server. */
  function fail(failure: CallFailure): void {
    options.splitter?.dropPartial();
    const isFinal = isRelaying && !isEventStream;
    options.onFailure({
      ...answer,
      ...failure,
      ...(isFinal ? {isFinal} : {}),
    });
  }

  function sendBuffered(): void {
    if (pendingHeaders === undefined) return;
    // A resumed stream keeps the head that its first server sent.
    if (!exchange.hasAnswerBegun()) exchange.sendHead(status, pendingHeaders);
    pendingHeaders = undefined;
    isRelaying = true;
    for (const bytes of bufferedChunks) writePart(bytes);
    bufferedChunks = [];
  }

  function writePart(bytes: Buffer): void {
    if (exchange.isOver() || exchange.write(bytes)) return;
    call?.setPaused(true);
    exchange.onDrain(() => call?.setPaused(false));
    if (isWatchingCaller) return;
    isWatchingCaller = true;
    // A call that goes on without its caller must not stay paused.
    exchange.onDisconnect(() => call?.setPaused(false));
  }
}

/** Returns the media type in lower case and without parameters; undefined when none is stated. */
function getMediaType(rawHeaders: readonly string[]): string | undefined {
  const value = findHeader(rawHeaders, 'Content-Type');
  return value?.split(';')[0].trim().toLowerCase();
}

function createMismatch(message: string): CallFailure {
  return {verdict: Verdict.MayHaveRun, reason: 'mismatch', message};
}

function createRejection(verdict: Verdict, status: number): CallFailure {
  return {
    verdict,
    reason: 'rejected',
    status,
    message: `server answered ${status}`,
  };
}
