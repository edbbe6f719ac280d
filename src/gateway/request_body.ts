/** Reads the body of a caller's request within the configured limits. */
import type {IncomingMessage} from 'node:http';
import type {Clock, Timer} from '../runtime/types';
import type {CallerLimits} from './types';

/** A body, or the reason why it was refused; neither when the request has no body. */
export interface BodyResult {
  readonly body?: Buffer;
  readonly refusal?: {readonly status: number; readonly message: string};
}

/** Reads a body; `onResult` is called once, unless the caller disconnects before the end. */
export function readRequestBody(
  request: IncomingMessage,
  options: {readonly clock: Clock; readonly limits: CallerLimits},
  onResult: (result: BodyResult) => void,
): void {
  const {clock} = options;
  const {maxBodyBytes, idleTimeoutMs} = options.limits;
  const statedBytes = Number(request.headers['content-length'] ?? 0);
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  if (statedBytes === 0 && !isChunked) {
    request.resume();
    return onResult({});
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  let lastChunkAtMs = clock.getMonotonicMs();
  let timer: Timer | undefined;
  if (statedBytes > maxBodyBytes) return refuse(413, 'body is too long');
  request.on('data', (chunk: Buffer) => {
    lastChunkAtMs = clock.getMonotonicMs();
    bytes += chunk.length;
    if (bytes <= maxBodyBytes) chunks.push(chunk);
    else refuse(413, 'body is too long');
  });
  request.on('end', () => {
    timer?.cancel();
    onResult({body: Buffer.concat(chunks)});
  });
  // A caller that disconnects while sending is handled by the response's `close`.
  request.on('error', () => undefined);
  request.on('close', () => timer?.cancel());
  timer = clock.schedule(idleTimeoutMs, checkIdle);

  function checkIdle(): void {
    const leftMs = lastChunkAtMs + idleTimeoutMs - clock.getMonotonicMs();
    if (leftMs > 0) timer = clock.schedule(leftMs, checkIdle);
    else refuse(408, 'body did not come in time');
  }

  function refuse(status: number, message: string): void {
    timer?.cancel();
    request.removeAllListeners('data');
    request.removeAllListeners('end');
    request.resume();
    onResult({refusal: {status, message}});
  }
}
