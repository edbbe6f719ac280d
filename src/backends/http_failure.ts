/**
 * Derives from an error thrown by an HTTP call whether the request may have reached the backend
 * server.
 */
import {Verdict} from '../verdict';
import type {BackendFailure} from './types';

/** Codes of errors that occur before a request has been written. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Returns the failure for an error thrown by an HTTP call. */
export function getBackendFailure(error: unknown): BackendFailure {
  const code = getErrorCode(error);
  const name = error instanceof Error ? error.name : '';
  if (NOT_SENT_CODES.has(code)) {
    return {
      kind: 'unavailable',
      verdict: Verdict.NotRun,
      message: `no connection (${code})`,
    };
  }
  if (name === 'TimeoutError' || code.includes('TIMEOUT')) {
    return {
      kind: 'timeout',
      verdict: Verdict.MayHaveRun,
      message: 'no answer in time',
    };
  }
  return {
    kind: 'broken',
    verdict: Verdict.MayHaveRun,
    message: `the connection broke (${code === '' ? name : code})`,
  };
}

function getErrorCode(error: unknown): string {
  if (typeof error !== 'object' || error === null) return '';
  const {code, cause} = error as {code?: unknown; cause?: unknown};
  if (typeof code === 'string') return code;
  return cause === undefined ? '' : getErrorCode(cause);
}
