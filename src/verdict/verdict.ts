/** Verdicts and failures of requests. */

/** Whether a request may have had an effect on a backend server. */
export const Verdict = {
  /** The request had no effect and never will. */
  NotRun: 'not-run',
  /** The request took effect once. */
  Ran: 'ran',
  /** The request may have taken effect once; it is not sent again. */
  MayHaveRun: 'may-have-run',
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Why a request ended without a complete answer. */
export const FailureKind = {
  /** The request is malformed or not allowed. */
  BadRequest: 'bad-request',
  /** The request's body is longer than allowed. */
  TooLarge: 'too-large',
  /** The caller could not be authenticated. */
  Unauthorized: 'unauthorized',
  /** The caller may not use this model, service or stream. */
  Forbidden: 'forbidden',
  /** No such model, service, stream or route. */
  NotFound: 'not-found',
  /** The idempotency key was used before, with a different request. */
  KeyConflict: 'key-conflict',
  /** A limit of the client account is exceeded. */
  LimitExceeded: 'limit-exceeded',
  /** The system cannot meet the deadline, or its queue is full. */
  Overloaded: 'overloaded',
  /** The deadline passed before the answer was complete. */
  DeadlineExceeded: 'deadline-exceeded',
  /** No eligible backend server is available. */
  Unavailable: 'unavailable',
  /** The backend server failed or the connection to it broke. */
  BackendFailed: 'backend-failed',
  /** The platform's log is unavailable, so a non-idempotent request cannot be claimed. */
  LogUnavailable: 'log-unavailable',
  /** An internal error of this program; nothing was sent to a backend server. */
  Internal: 'internal',
  /** The caller closed its connection. */
  Cancelled: 'cancelled',
} as const;
export type FailureKind = (typeof FailureKind)[keyof typeof FailureKind];

/** A request that ended without a complete answer. */
export interface RequestFailure {
  readonly kind: FailureKind;
  readonly verdict: Verdict;
  /** Text for the caller; contains no prompt text and no keys. */
  readonly message: string;
  /** After how many milliseconds the caller should try again. */
  readonly retryAfterMs?: number;
}

/** Creates a failure; the verdict is `not-run` unless given. */
export function createFailure(
  kind: FailureKind,
  message: string,
  options: {verdict?: Verdict; retryAfterMs?: number} = {},
): RequestFailure {
  return {
    kind,
    message,
    verdict: options.verdict ?? Verdict.NotRun,
    retryAfterMs: options.retryAfterMs,
  };
}
