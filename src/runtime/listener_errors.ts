/** Statuses with which the listener itself answers what it cannot read as a request. */
import {STATUS_CODES} from 'node:http';

/** Status by the code of an error of Node.js. */
const ERROR_STATUSES: ReadonlyMap<string | undefined, number> = new Map([
  ['HPE_HEADER_OVERFLOW', 431],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 413],
  ['ERR_HTTP_REQUEST_TIMEOUT', 408],
]);
const STATUS_BAD_REQUEST = 400;

/** True when an error is due to what the caller sent or failed to send, and not to its connection. */
export function isCallerError(code: string | undefined): boolean {
  return code !== undefined && /^HPE_|^ERR_HTTP_/.test(code);
}

/** Returns the status for an error of the HTTP parser or of its time-outs. */
export function getErrorStatus(code: string | undefined): number {
  return ERROR_STATUSES.get(code) ?? STATUS_BAD_REQUEST;
}

/** Formats an answer without a body that ends its connection. */
export function formatStatusOnly(status: number): string {
  return `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`;
}
