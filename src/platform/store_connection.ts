/** A connection to the store that carries one call at a time and is replaced after a failure. */
import {Client} from 'undici';

/** A call. */
export interface StoreRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: Buffer;
  /** Time that the store may wait before it answers, in milliseconds. */
  readonly waitMs: number;
}

/** An answer, complete. */
export interface StoreResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** A connection. */
export interface StoreConnection {
  /** Sends a call; rejects when the connection fails or makes no progress for the time-out. */
  send(request: StoreRequest): Promise<StoreResponse>;
  close(): void;
}

/** Time-out of a whole call, in milliseconds: many times what the largest configuration takes on the slowest link. */
const TOTAL_TIMEOUT_MS = 20_000;

/** A client of undici, and when a response to any of its calls last made progress, in milliseconds. */
interface OpenClient {
  readonly client: Client;
  progressAtMs: number;
}

/** Creates a connection, which is opened by the first call; `timeoutMs` is the time-out without progress, in milliseconds. */
export function createStoreConnection(
  origin: string,
  timeoutMs: number,
): StoreConnection {
  let open = createOpenClient();
  return {send, close: () => void open.client.destroy()};

  function createOpenClient(): OpenClient {
    const client = new Client(origin, {
      connect: {timeout: timeoutMs},
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
    });
    return {client, progressAtMs: Number.NEGATIVE_INFINITY};
  }

  async function send(request: StoreRequest): Promise<StoreResponse> {
    const used = open;
    const watch = watchProgress(used, request.waitMs);
    try {
      const response = await used.client.request({
        method: request.method,
        path: request.path,
        body: request.body,
        signal: watch.signal,
      });
      const chunks: Buffer[] = [];
      for await (const chunk of response.body) {
        used.progressAtMs = performance.now();
        chunks.push(chunk as Buffer);
      }
      const {statusCode: status, headers} = response;
      return {status, headers, body: Buffer.concat(chunks)};
    } catch (error) {
      // The connection may still deliver the lost response, so it is replaced.
      if (open === used) open = createOpenClient();
      void used.client.destroy();
      throw error;
    } finally {
      watch.stop();
    }
  }

  /** Aborts a call without progress. A call that waits for a long response to an earlier one is not late. */
  function watchProgress(used: OpenClient, waitMs: number) {
    const controller = new AbortController();
    const startedAtMs = performance.now();
    let timer = setTimeout(check, timeoutMs + waitMs);
    return {signal: controller.signal, stop: () => clearTimeout(timer)};

    function check(): void {
      const nowMs = performance.now();
      const sinceMs = Math.max(startedAtMs + waitMs, used.progressAtMs);
      const leftMs = Math.min(
        sinceMs + timeoutMs - nowMs,
        startedAtMs + waitMs + TOTAL_TIMEOUT_MS - nowMs,
      );
      if (leftMs > 0) timer = setTimeout(check, Math.ceil(leftMs));
      else controller.abort(new Error('the store made no progress in time'));
    }
  }
}
