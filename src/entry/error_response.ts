/** Maps a failure to the HTTP response for the caller. */
import {createFailure, FailureKind, type RequestFailure} from '../verdict';

const STATUS_OF_KIND: Readonly<Record<FailureKind, number>> = {
  [FailureKind.BadRequest]: 400,
  [FailureKind.TooLarge]: 413,
  [FailureKind.Unauthorized]: 401,
  [FailureKind.Forbidden]: 403,
  [FailureKind.NotFound]: 404,
  [FailureKind.KeyConflict]: 422,
  [FailureKind.LimitExceeded]: 429,
  [FailureKind.Overloaded]: 503,
  [FailureKind.DeadlineExceeded]: 504,
  [FailureKind.Unavailable]: 503,
  [FailureKind.BackendFailed]: 502,
  [FailureKind.LogUnavailable]: 503,
  [FailureKind.Internal]: 500,
  [FailureKind.Cancelled]: 499,
};

const TYPE_OF_KIND: Readonly<Record<FailureKind, string>> = {
  [FailureKind.BadRequest]: 'invalid_request_error',
  [FailureKind.TooLarge]: 'invalid_request_error',
  [FailureKind.Unauthorized]: 'authentication_error',
  [FailureKind.Forbidden]: 'permission_error',
  [FailureKind.NotFound]: 'not_found_error',
  [FailureKind.KeyConflict]: 'invalid_request_error',
  [FailureKind.LimitExceeded]: 'rate_limit_error',
  [FailureKind.Overloaded]: 'server_error',
  [FailureKind.DeadlineExceeded]: 'timeout_error',
  [FailureKind.Unavailable]: 'server_error',
  [FailureKind.BackendFailed]: 'server_error',
  [FailureKind.LogUnavailable]: 'server_error',
  [FailureKind.Internal]: 'server_error',
  [FailureKind.Cancelled]: 'cancelled',
};

/** Retry delay given to callers that a node refuses because it is not ready, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 500;

/** Creates the failure of requests to a node that does not know the state in force or drains. */
export function createNotReadyFailure(): RequestFailure {
  return createFailure(FailureKind.Unavailable, 'the node is not ready', {
    retryAfterMs: NOT_READY_RETRY_AFTER_MS,
  });
}

/** Returns the HTTP status of a failure. */
export function getFailureStatus(kind: FailureKind): number {
  return STATUS_OF_KIND[kind];
}

/** Returns the JSON body of the error. */
export function getErrorBody(
  failure: RequestFailure,
  requestId: string,
): string {
  return JSON.stringify({
    error: {
      message: failure.message,
      type: TYPE_OF_KIND[failure.kind],
      code: failure.kind.replaceAll('-', '_'),
      verdict: failure.verdict,
      request_id: requestId,
    },
  });
}

/** Creates the HTTP response for a failure. */
export function createErrorResponse(
  failure: RequestFailure,
  requestId: string,
): Response {
  const headers = new Headers({
    'content-type': 'application/json',
    'anvilstack-request-id': requestId,
    'anvilstack-verdict': failure.verdict,
  });
  if (failure.retryAfterMs !== undefined) {
    headers.set('retry-after', String(Math.ceil(failure.retryAfterMs / 1_000)));
    headers.set('retry-after-ms', String(Math.ceil(failure.retryAfterMs)));
  }
  if (failure.verdict !== 'not-run') headers.set('x-should-retry', 'false');
  return new Response(getErrorBody(failure, requestId), {
    status: getFailureStatus(failure.kind),
    headers,
  });
}
