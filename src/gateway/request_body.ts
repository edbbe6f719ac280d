/** Reads the body of a caller's request within the configured limits. */
import type {IncomingMessage} from 'node:http';
import type {Clock, Timer} from '../runtime/types';
import type {CallerLimits} from './types';

/** Why a request is refused while it is received. */
export interface Refusal {
  readonly status: number;
  readonly message: string;
}

/** A body, or the reason why it was refused; neither when the request has no body. */
export interface BodyResult {
  readonly body?: Buffer;
  readonly refusal?: Refusal;
}

const BODY_TOO_LONG: Refusal = {status: 413, message: 'body is too long'};
const BODY_TOO_SLOW: Refusal = {
  status: 408,
  message: 'body did not come in time',
};

/** Reads a body; `onResult` is called once, unless the caller disconnects before the end. The returned function refuses the request if it is still being received, and returns whether it was. */
export function readRequestBody(
  request: IncomingMessage,
  options: {readonly clock: Clock; readonly limits: CallerLimits},
  onResult: (result: BodyResult) => void,
): (refusal: Refusal) => boolean {
  const {clock} = options;
  const {maxBodyBytes, idleTimeoutMs} = options.limits;
  const statedBytes = Number(request.headers['content-length'] ?? 0);
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  if (statedBytes === 0 && !isChunked) {
    request.resume();
    onResult({});
    return () => false;
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  let lastChunkAtMs = clock.getMonotonicMs();
  let timer: Timer | undefined;
  let isDone = false;
  if (statedBytes > maxBodyBytes) {
    refuse(BODY_TOO_LONG);
    return () => false;
  }
  request.on('data', (chunk: Buffer) => {
    lastChunkAtMs = clock.getMonotonicMs();
    bytes += chunk.length;
    if (bytes <= maxBodyBytes) chunks.push(chunk);
    else refuse(BODY_TOO_LONG);
  });
  request.on('end', () => {
    timer?.cancel();
    isDone = true;
    onResult({body: Buffer.concat(chunks)});
  });
  // A caller that disconnects while sending is handled by the response's `close`.
  request.on('error', () => undefined);
  request.on('close', () => timer?.cancel());
  timer = clock.schedule(idleTimeoutMs, checkIdle);
  return refusal => !request.complete && refuse(refusal);

  function checkIdle(): void {
    const leftMs = lastChunkAtMs + idleTimeoutMs - clock.getMonotonicMs();
    if (leftMs > 0) timer = clock.schedule(leftMs, checkIdle);
    else refuse(BODY_TOO_SLOW);
  }

  function refuse(refusal: Refusal): boolean {
    if (isDone) return false;
    isDone = true;
    timer?.cancel();
    request.removeAllListeners('data');
    request.removeAllListeners('end');
    request.resume();
    onResult({refusal});
    return true;
  }
}
