/** Requests to backend servers, as those who send them see them. */
import type {BackendEntry, CallEvidence, CallFailure} from './types';

/** How an answer arrives. */
export interface AnswerTransport {
  /** True for the first answer on its connection. */
  readonly isFirst: boolean;
  /** False when the answer has no length and ends with its connection. */
  readonly isFramed: boolean;
  readonly evidence?: CallEvidence;
}

/** Receives an answer. No callback follows `onEnd` or `onFailure`. */
export interface CallHandler {
  /** Called with the head of the answer; a returned failure ends the call. */
  onAnswer(
    status: number,
    rawHeaders: readonly string[],
    transport: AnswerTransport,
  ): CallFailure | void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: CallFailure): void;
  /** True when the bytes so far show that the answer is not whole; asked when an answer without a length ends. */
  isCutOff?(): boolean;
  /** False when the content shows by itself whether the answer is whole, or does not matter; asked when an answer without a length ends. */
  needsProof?(): boolean;
}

/** A request to a backend server. */
export interface BackendCall {
  readonly server: BackendEntry;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body?: Buffer;
  /** Id of the caller's request; absent for the gateway's own calls. */
  readonly requestId?: string;
  /** Connections that have carried this request before and must not carry it again: a late second copy of its answer could not be told from the answer that is due. The one that is used is added. */
  readonly usedConnections?: Set<object>;
  readonly handler: CallHandler;
  /** Keeps the body accounted for, from when the request is sent on a connection until the returned function is called. */
  readonly holdBody?: () => () => void;
}

/** A request in progress. */
export interface OpenCall {
  /** Ends the call and closes its connection. The handler is not called any more. */
  cancel(): void;
  /** Stops or resumes reading the answer, for backpressure from a slow caller. */
  setPaused(isPaused: boolean): void;
  /** True once the request has been written to a connection. */
  isSent(): boolean;
  /** Returns the connection and the times of the call; undefined until it is sent. */
  getEvidence(): CallEvidence | undefined;
}

/** Receives the head of the answer to one request, before the handler of the call. */
export type HeadListener = (
  status: number,
  rawHeaders: readonly string[],
) => void;
