/** Relays a backend server's answer to the caller, or reports why it cannot. */
import {Verdict} from '../verdict';
import type {AnswerTransport, CallHandler, OpenCall} from './connections';
import {
  createEventBoundary,
  type EventSplitter,
  isBlank,
} from './event_splitter';
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
  /** Answers up to this size are buffered until they are complete, in bytes; with 0, data is passed on at once. */
  readonly maxBufferedBytes: number;
  /** True when successful answers are streams of events unless they state another type. */
  readonly isEventStream: boolean;
  /** Present when the stream can be resumed on another server. */
  readonly splitter?: EventSplitter;
  /** Called when the head of a successful answer has arrived. */
  readonly onHead?: () => void;
  /** Called after a complete answer; `isFramed` is false when it had no length and ended with its connection. */
  readonly onEnd: (status: number, isFramed: boolean) => void;
  readonly onFailure: (failure: CallFailure) => void;
}

const EVENT_TYPE = 'text/event-stream';
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
  let receivedBytes = 0;
  const boundary = createEventBoundary();
  let rejection: CallFailure | undefined;
  let pendingHeaders: readonly string[] | undefined;
  let bufferedChunks: Buffer[] = [];
  let bufferedBytes = 0;
  return {
    attach: open => {
      call = open;
    },
    onAnswer,
    onData,
    onEnd,
    onFailure: failure => {
      options.splitter?.dropPartial();
      options.onFailure(rejection ?? failure);
    },
  };

  function onAnswer(
    answerStatus: number,
    rawHeaders: readonly string[],
    transport: AnswerTransport,
  ): CallFailure | void {
    status = answerStatus;
    isFramed = transport.isFramed;
    const head = protocol.parseAnswer(status, rawHeaders);
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
    const type = findHeader(rawHeaders, 'Content-Type') ?? EVENT_TYPE;
    isEventStream =
      isSuccess && options.isEventStream && type.startsWith(EVENT_TYPE);
    if (exchange.hasAnswerBegun() && !isEventStream) {
      return createMismatch(`a stream was to be resumed by ${type}`);
    }
    if (isSuccess) options.onHead?.();
    pendingHeaders = protocol.buildAnswerHeaders(rawHeaders);
    if (options.maxBufferedBytes === 0) sendBuffered();
  }

  function onData(chunk: Buffer): void {
    if (rejection !== undefined) return;
    receivedBytes += chunk.length;
    if (isEventStream && options.splitter === undefined) boundary.push(chunk);
    const bytes = options.splitter?.push(chunk) ?? chunk;
    if (bytes.length === 0) return;
    if (pendingHeaders !== undefined) {
      bufferedChunks.push(bytes);
      bufferedBytes += bytes.length;
      if (bufferedBytes > options.maxBufferedBytes) sendBuffered();
      return;
    }
    writePart(bytes);
  }

  function onEnd(): void {
    if (rejection !== undefined) {
      options.onFailure(rejection);
      return;
    }
    const remainder = options.splitter?.takeRemainder() ?? Buffer.alloc(0);
    if (isEventStream && isCutOff(remainder)) {
      options.onFailure(CUT_OFF);
      return;
    }
    sendBuffered();
    if (remainder.length > 0) writePart(remainder);
    exchange.end();
    options.onEnd(status, isFramed);
  }

  /** True when a stream ended inside an event, or without any event and without framing that shows it to be complete. */
  function isCutOff(remainder: Buffer): boolean {
    if (receivedBytes === 0) return !isFramed;
    return options.splitter === undefined
      ? !boundary.isBetweenEvents()
      : !isBlank(remainder);
  }

  function sendBuffered(): void {
    if (pendingHeaders === undefined) return;
    // A resumed stream keeps the head that its first server sent.
    if (!exchange.hasAnswerBegun()) exchange.sendHead(status, pendingHeaders);
    pendingHeaders = undefined;
    for (const bytes of bufferedChunks) writePart(bytes);
    bufferedChunks = [];
  }

  function writePart(bytes: Buffer): void {
    if (exchange.isOver() || exchange.write(bytes)) return;
    call?.setPaused(true);
    exchange.onDrain(() => call?.setPaused(false));
  }
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
