/** Parts common to all kinds of requests: time limit, final answer and log lines. */
import type {Logger} from '../diagnostics/log';
import type {Clock, Timer} from '../runtime/types';
import {Verdict} from '../verdict';
import type {Exchange} from './exchange';
import type {GatewayMetrics} from './gateway_metrics';
import {type BackendProtocol, RequestKind, type Route} from './types';

/** A request that is being served. */
export interface RequestTask {
  readonly exchange: Exchange;
  readonly route: Route;
  readonly service: string;
  /** The client account of the caller; absent without one. */
  readonly account?: {readonly name: string; readonly rank?: number};
  /** Connections to backend servers that have carried the request. */
  readonly usedConnections: Set<object>;
  /** Time left until the deadline of the caller or the time-out of the route, in milliseconds. */
  getRemainingMs(): number;
  /** Time since the request was received, in milliseconds. */
  getElapsedMs(): number;
  isOver(): boolean;
  /** Ends the request with an error of the gateway, or by closing the connection if an answer has begun. */
  fail(verdict: Verdict, reason: string, retryAfterMs?: number): void;
  /** Ends the request after the complete answer of a backend server was passed on. */
  complete(status: number, serverId: string): void;
  /** Ends the request as if its time were up. */
  expire(): void;
  /** Calls back once when the caller disconnects (`gone`) or the time is up. */
  onStop(callback: (cause: 'gone' | 'timeout') => void): void;
  /** Writes a log line about this request. */
  log(message: string, fields: Readonly<Record<string, unknown>>): void;
}

/** Options of a task. */
export interface RequestTaskOptions {
  readonly exchange: Exchange;
  readonly route: Route;
  readonly service: string;
  readonly configVersion: number;
  readonly protocol: BackendProtocol;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Called once when the request has ended. */
  readonly onEnd: () => void;
}

/** Default time after which a refused caller may retry, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 250;
const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;
const STATUS_TIMEOUT = 504;

/** Creates the task of a request and starts the timer of its time limit. */
export function createRequestTask(options: RequestTaskOptions): RequestTask {
  const {exchange, route, clock, metrics} = options;
  const limitMs = Math.min(
    route.timeoutMs,
    exchange.request.deadlineMs ?? route.timeoutMs,
  );
  const deadlineAtMs = exchange.receivedAtMs + limitMs;
  const stopCallbacks: Array<(cause: 'gone' | 'timeout') => void> = [];
  let isEnded = false;
  const timer: Timer = clock.schedule(limitMs - getElapsedMs(), () =>
    stop('timeout'),
  );
  exchange.onDisconnect(() => stop('gone'));
  exchange.onHalfClose(handleHalfClose);
  return {
    exchange,
    route,
    service: options.service,
    usedConnections: new Set(),
    getRemainingMs: () => deadlineAtMs - clock.getMonotonicMs(),
    getElapsedMs,
    isOver: () => isEnded,
    fail,
    complete,
    expire: () => stop('timeout'),
    onStop: callback => stopCallbacks.push(callback),
    log,
  };

  function getElapsedMs(): number {
    return clock.getMonotonicMs() - exchange.receivedAtMs;
  }

  /** A caller that ends its side has left, as far as can be told without writing to it. A non-idempotent request goes on in any case, so its answer is sent to a caller that waits for it. */
  function handleHalfClose(): void {
    if (isEnded) return;
    if (route.kind === RequestKind.NonIdempotent) {
      log('caller ended its side of the connection', {});
      return;
    }
    stop('gone');
    exchange.abort();
  }

  function stop(cause: 'gone' | 'timeout'): void {
    if (isEnded) return;
    for (const callback of stopCallbacks) callback(cause);
    if (cause === 'gone') settle('gone', {});
  }

  function fail(
    verdict: Verdict,
    reason: string,
    retryAfterMs = DEFAULT_RETRY_AFTER_MS,
  ): void {
    if (isEnded) return;
    if (exchange.hasAnswerBegun()) {
      exchange.abort();
      settle('cut', {verdict, reason});
      return;
    }
    const status = getFailureStatus(verdict, reason);
    const headers =
      verdict === Verdict.NotRun
        ? options.protocol.buildRetryHeaders(
            exchange.request.requestId,
            retryAfterMs,
          )
        : [];
    exchange.answer(status, headers, `${reason} (${verdict})`);
    settle('failed', {verdict, reason, status, retryAfterMs});
  }

  function complete(status: number, serverId: string): void {
    if (isEnded) return;
    settle('answered', {status, serverId});
  }

  function settle(
    outcome: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    isEnded = true;
    timer.cancel();
    options.onEnd();
    const elapsedMs = getElapsedMs();
    metrics.recordEnd(route, outcome, elapsedMs);
    log('request ended', {...fields, outcome});
  }

  function log(
    message: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    options.logger.log('info', message, {
      requestId: exchange.request.requestId,
      route: route.name,
      configVersion: options.configVersion,
      elapsedMs: Math.round(getElapsedMs()),
      ...fields,
    });
  }
}

function getFailureStatus(verdict: Verdict, reason: string): number {
  if (verdict === Verdict.NotRun) return STATUS_UNAVAILABLE;
  return reason === 'timeout' ? STATUS_TIMEOUT : STATUS_BAD_GATEWAY;
}
