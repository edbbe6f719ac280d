/** Client of a model engine: HTTP requests whose answers are server-sent events. */
import {createParser} from 'eventsource-parser';
import {Err, Ok, type Result} from 'ts-results';
import {type Dispatcher, Pool} from 'undici';
import type {Clock} from '../runtime';
import {Verdict} from '../verdict';
import {getBackendFailure} from './http_failure';
import type {
  BackendFailure,
  BackendServer,
  CacheEvent,
  EngineCall,
  EngineClient,
  EngineCommand,
  EngineEnd,
  EngineReport,
  EngineRequest,
  EngineSink,
} from './types';

/** Options of the client. */
export interface HttpEngineClientOptions {
  readonly server: BackendServer;
  readonly clock: Clock;
  readonly maxConnections?: number;
  /**
   * Longest wait for the response to a report, command, cancellation or cache-event request, in
   * milliseconds.
   */
  readonly controlTimeoutMs?: number;
  /** Longest wait for an answer's headers, or between two chunks of its body, in milliseconds. */
  readonly idleTimeoutMs?: number;
}

const DEFAULT_MAX_CONNECTIONS = 512;
const DEFAULT_CONTROL_TIMEOUT_MS = 2_000;
const DEFAULT_IDLE_TIMEOUT_MS = 30_000;

/** Data of the engine's `tokens` event. */
interface TokensEvent {
  readonly firstIndex: number;
  readonly count: number;
  readonly text: string;
}

/** Creates a client with its own pool of connections. */
export function createHttpEngineClient(
  options: HttpEngineClientOptions,
): EngineClient {
  const {server, clock} = options;
  const controlTimeoutMs =
    options.controlTimeoutMs ?? DEFAULT_CONTROL_TIMEOUT_MS;
  const idleTimeoutMs = options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
  const pool = new Pool(server.address, {
    connections: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
    bodyTimeout: idleTimeoutMs,
    headersTimeout: idleTimeoutMs,
  });
  return {
    start,
    resume,
    getReport: () => getJson<EngineReport>('/report'),
    sendCommand,
    listCacheEvents: afterSequence =>
      getJson<readonly CacheEvent[]>(`/cache_events?after=${afterSequence}`),
    close: () => void pool.destroy(),
  };

  function start(request: EngineRequest, sink: EngineSink): EngineCall {
    return openStream(
      {
        path: '/generate',
        method: 'POST',
        body: JSON.stringify(request),
        headers: {'content-type': 'application/json'},
      },
      request.requestId,
      sink,
    );
  }

  function resume(
    requestId: string,
    firstTokenIndex: number,
    sink: EngineSink,
  ): EngineCall {
    return openStream(
      {
        path: `/streams/${encodeURIComponent(requestId)}?from=${firstTokenIndex}`,
        method: 'GET',
      },
      requestId,
      sink,
    );
  }

  function openStream(
    options: Dispatcher.RequestOptions,
    requestId: string,
    sink: EngineSink,
  ): EngineCall {
    const abort = new AbortController();
    const call = createPausableCall(() => {
      abort.abort();
      void cancelAtEngine(requestId);
    });
    void readAnswer(options, sink, abort.signal, call.waitUntilResumed);
    return call;
  }

  /**
   * Errors are ignored: an engine that misses the cancellation ends the answer itself, and only
   * its tokens are wasted.
   */
  async function cancelAtEngine(requestId: string): Promise<void> {
    try {
      const response = await pool.request({
        path: `/cancel/${encodeURIComponent(requestId)}`,
        method: 'POST',
        signal: AbortSignal.timeout(controlTimeoutMs),
      });
      await response.body.dump();
    } catch {
      return;
    }
  }

  async function readAnswer(
    options: Dispatcher.RequestOptions,
    sink: EngineSink,
    signal: AbortSignal,
    waitUntilResumed: () => Promise<void>,
  ): Promise<void> {
    let hasEnded = false;
    const parser = createParser({
      onEvent: event => {
        if (hasEnded) return;
        switch (event.event) {
          case 'tokens':
            sink.onTokens(createBatch(JSON.parse(event.data) as TokensEvent));
            return;
          case 'end':
            hasEnded = true;
            sink.onEnd(JSON.parse(event.data) as EngineEnd);
            return;
          case 'failure':
            hasEnded = true;
            sink.onFailure(JSON.parse(event.data) as BackendFailure);
            return;
        }
      },
    });
    try {
      const response = await pool.request({...options, signal});
      if (response.statusCode !== 200) {
        const text = await response.body.text();
        if (!signal.aborted) sink.onFailure(parseFailure(text));
        return;
      }
      const decoder = new TextDecoder();
      for await (const chunk of response.body) {
        await waitUntilResumed();
        parser.feed(decoder.decode(chunk as Uint8Array, {stream: true}));
      }
      if (hasEnded || signal.aborted) return;
      sink.onFailure({
        kind: 'broken',
        verdict: Verdict.MayHaveRun,
        message: 'the answer broke off',
      });
    } catch (error) {
      if (hasEnded || signal.aborted) return;
      sink.onFailure(getBackendFailure(error));
    }
  }

  function createBatch(event: TokensEvent): {
    firstIndex: number;
    count: number;
    text: string;
    firstAtMs: number;
    lastAtMs: number;
  } {
    const nowMs = clock.getMonotonicMs();
    return {...event, firstAtMs: nowMs, lastAtMs: nowMs};
  }

  async function sendCommand(
    command: EngineCommand,
  ): Promise<Result<void, BackendFailure>> {
    try {
      const response = await pool.request({
        path: '/command',
        method: 'POST',
        body: JSON.stringify(command),
        headers: {'content-type': 'application/json'},
        signal: AbortSignal.timeout(controlTimeoutMs),
      });
      const text = await response.body.text();
      if (response.statusCode === 200) return Ok(undefined);
      return Err(parseFailure(text));
    } catch (error) {
      return Err(getBackendFailure(error));
    }
  }

  async function getJson<T>(path: string): Promise<Result<T, BackendFailure>> {
    try {
      const response = await pool.request({
        path,
        method: 'GET',
        signal: AbortSignal.timeout(controlTimeoutMs),
      });
      const text = await response.body.text();
      if (response.statusCode === 200) return Ok(JSON.parse(text) as T);
      return Err(parseFailure(text));
    } catch (error) {
      return Err(getBackendFailure(error));
    }
  }
}

function parseFailure(text: string): BackendFailure {
  try {
    const value = JSON.parse(text) as BackendFailure;
    if (value.kind !== undefined) return value;
  } catch {
    // The body is not a failure in the engine's format; reported as `broken` below.
  }
  return {
    kind: 'broken',
    verdict: Verdict.MayHaveRun,
    message: 'the engine sent an error response that could not be parsed',
  };
}

interface PausableCall extends EngineCall {
  /** Resolves at once, or when the call is no longer paused. */
  waitUntilResumed(): Promise<void>;
}

function createPausableCall(abortCall: () => void): PausableCall {
  let resumed = Promise.resolve();
  let resume: (() => void) | undefined;
  return {cancel, setPaused, waitUntilResumed: () => resumed};

  function cancel(): void {
    abortCall();
    setPaused(false);
  }

  function setPaused(isPaused: boolean): void {
    if (isPaused === (resume !== undefined)) return;
    if (!isPaused) {
      resume?.();
      resume = undefined;
      return;
    }
    resumed = new Promise(resolve => {
      resume = resolve;
    });
  }
}
