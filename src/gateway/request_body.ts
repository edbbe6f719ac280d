/** Reads the body of a caller's request within the configured limits and those of the process. */
import type {IncomingMessage} from 'node:http';
import {type BodyBudget, createByteCollector, type HeldBody} from '../memory';
import type {Clock, Timer} from '../runtime/types';
import type {CallerLimits} from './types';

/** Why a request is refused while it is received. */
export interface Refusal {
  readonly status: number;
  readonly message: string;
  /** Time after which the caller may send the request again, where that would help, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** A body, or the reason why it was refused; neither when the request has no body. */
export interface BodyResult {
  readonly body?: Buffer;
  /** Accounts for the body; absent with it. */
  readonly held?: HeldBody;
  readonly refusal?: Refusal;
}

const BODY_TOO_LONG: Refusal = {status: 413, message: 'body is too long'};
const BODY_TOO_SLOW: Refusal = {
  status: 408,
  message: 'body did not come in time',
};

/** Time after which a caller may send a body again that was refused for want of memory, in milliseconds: bodies of callers that do not pause are gone by then. The actual time is up to twice as long, at random, so that the callers do not return together. */
const MEMORY_RETRY_MS = 1_000;

/** Options of reading a body. */
export interface ReadBodyOptions {
  readonly clock: Clock;
  readonly limits: CallerLimits;
  readonly bodies: BodyBudget;
  readonly getRandom: () => number;
}

/** Reads a body; `onResult` is called once, unless the caller disconnects before the end. The returned function refuses the request if it is still being received, and returns whether it was. */
export function readRequestBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
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
  let bytes = 0;
  let lastChunkAtMs = clock.getMonotonicMs();
  let timer: Timer | undefined;
  let isDone = false;
  const held = options.bodies.add(() => refuse(createMemoryRefusal()));
  if (statedBytes > maxBodyBytes) {
    refuse(BODY_TOO_LONG);
    return () => false;
  }
  const collector = createByteCollector({
    ...(isChunked ? {} : {statedBytes}),
    tryGrow: held.tryGrow,
  });
  request.on('data', (chunk: Buffer) => {
    lastChunkAtMs = clock.getMonotonicMs();
    bytes += chunk.length;
    if (bytes > maxBodyBytes) refuse(BODY_TOO_LONG);
    else if (!collector.add(chunk)) refuse(createMemoryRefusal());
  });
  request.on('end', () => {
    timer?.cancel();
    isDone = true;
    held.complete();
    onResult({body: collector.read(), held});
  });
  // A caller that disconnects while sending is handled by the response's `close`.
  request.on('error', () => undefined);
  request.on('close', () => {
    timer?.cancel();
    if (!isDone) held.release();
  });
  timer = clock.schedule(idleTimeoutMs, checkIdle);
  return refusal => !request.complete && refuse(refusal);

  function checkIdle(): void {
    const leftMs = lastChunkAtMs + idleTimeoutMs - clock.getMonotonicMs();
    if (leftMs > 0) timer = clock.schedule(leftMs, checkIdle);
    else refuse(BODY_TOO_SLOW);
  }

  function createMemoryRefusal(): Refusal {
    return {
      status: 503,
      message: 'node holds too many bodies (not-run)',
      retryAfterMs: MEMORY_RETRY_MS * (1 + options.getRandom()),
    };
  }

  function refuse(refusal: Refusal): boolean {
    if (isDone) return false;
    isDone = true;
    timer?.cancel();
    held.release();
    request.removeAllListeners('data');
    request.removeAllListeners('end');
    request.resume();
    onResult({refusal});
    return true;
  }
}
