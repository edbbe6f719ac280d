/** Clients of the platform's services over HTTP. */
import {Err, Ok, type Result} from 'ts-results';
import {type Dispatcher, request} from 'undici';
import {
  type LogPage,
  type LogReadOptions,
  type LogService,
  type PlatformFailure,
  PlatformFailureKind,
  type Vm,
  type VmList,
  type WeightStore,
  type WeightTransfer,
} from './types';

/** Options of the clients. */
export interface HttpPlatformOptions {
  /** Base address of the service, such as `http://127.0.0.1:7001`. */
  readonly address: string;
  /** Longest wait for a response, in milliseconds; a read of the log adds its own `waitMs`. */
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2_000;

/** Creates a client of the platform's log. */
export function createHttpLogService(options: HttpPlatformOptions): LogService {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  return {append, read};

  async function append(
    stream: string,
    body: string,
  ): Promise<Result<number, PlatformFailure>> {
    const answer = await callPlatform<{offset: number}>({
      url: `${options.address}/streams/${encodeURIComponent(stream)}`,
      method: 'POST',
      body,
      timeoutMs,
      hasEffect: true,
    });
    return answer.map(value => value.offset);
  }

  function read(
    stream: string,
    fromOffset: number,
    readOptions: LogReadOptions = {},
  ): Promise<Result<LogPage, PlatformFailure>> {
    const waitMs = readOptions.waitMs ?? 0;
    const query = new URLSearchParams({
      from: String(fromOffset),
      max: String(readOptions.maxRecords ?? 1_000),
      wait_ms: String(waitMs),
    });
    return callPlatform<LogPage>({
      url: `${options.address}/streams/${encodeURIComponent(stream)}?${query}`,
      method: 'GET',
      timeoutMs: timeoutMs + waitMs,
      hasEffect: false,
    });
  }
}

/** Creates a client of the platform's VM list. */
export function createHttpVmList(options: HttpPlatformOptions): VmList {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  return {
    list: () =>
      callPlatform<readonly Vm[]>({
        url: `${options.address}/vms`,
        method: 'GET',
        timeoutMs,
        hasEffect: false,
      }),
  };
}

/** Creates a client of the platform's weight store. */
export function createHttpWeightStore(
  options: HttpPlatformOptions,
): WeightStore {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  return {
    prepare: (engine, weights) =>
      callPlatform<WeightTransfer>({
        url: `${options.address}/transfers`,
        method: 'POST',
        body: JSON.stringify({engine, weights}),
        timeoutMs,
        hasEffect: true,
      }),
    listTransfers: engine =>
      callPlatform<readonly WeightTransfer[]>({
        url: `${options.address}/transfers${engine === undefined ? '' : `?engine=${encodeURIComponent(engine)}`}`,
        method: 'GET',
        timeoutMs,
        hasEffect: false,
      }),
  };
}

interface PlatformCall {
  readonly url: string;
  readonly method: Dispatcher.HttpMethod;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly hasEffect: boolean;
}

async function callPlatform<T>(
  call: PlatformCall,
): Promise<Result<T, PlatformFailure>> {
  try {
    const response = await request(call.url, {
      method: call.method,
      body: call.body,
      headers: {'content-type': 'application/json'},
      signal: AbortSignal.timeout(Math.ceil(call.timeoutMs)),
    });
    const text = await response.body.text();
    if (response.statusCode === 200) return Ok(JSON.parse(text) as T);
    return Err(getStatusFailure(response.statusCode, text));
  } catch (error) {
    return Err(getThrownFailure(error, call.hasEffect));
  }
}

function getStatusFailure(status: number, text: string): PlatformFailure {
  switch (status) {
    case 410:
      return {
        kind: PlatformFailureKind.Expired,
        mayHaveTakenEffect: false,
        message: 'the requested records have expired',
        firstOffset: (JSON.parse(text) as {firstOffset: number}).firstOffset,
      };
    case 429:
      return {
        kind: PlatformFailureKind.Throttled,
        mayHaveTakenEffect: false,
        message: 'too many calls',
      };
    case 503:
      return {
        kind: PlatformFailureKind.Unavailable,
        mayHaveTakenEffect: false,
        message: 'the service is unavailable',
      };
    default:
      return {
        kind: PlatformFailureKind.Rejected,
        mayHaveTakenEffect: status >= 500,
        message: `status ${status}: ${text.slice(0, 200)}`,
      };
  }
}

function getThrownFailure(error: unknown, hasEffect: boolean): PlatformFailure {
  const name = error instanceof Error ? error.name : '';
  const code = (error as {code?: string}).code ?? '';
  const message = error instanceof Error ? error.message : String(error);
  const isTimeout = name === 'TimeoutError' || code.includes('TIMEOUT');
  return {
    kind: isTimeout
      ? PlatformFailureKind.Timeout
      : PlatformFailureKind.Unavailable,
    mayHaveTakenEffect: hasEffect && code !== 'ECONNREFUSED',
    message,
  };
}
