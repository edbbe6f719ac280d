/** Parts common to all kinds of requests: time limit, final answer and log lines. */
import {
  type Authentication,
  type CallerAccount,
  RefusalReason,
} from '../accounts';
import type {Logger} from '../diagnostics/log';
import {computeReadLimitMs} from '../memory';
import type {Clock, Timer} from '../runtime/types';
import {Verdict} from '../verdict';
import type {CallerAdmission} from './caller_admission';
import type {Exchange} from './exchange';
import type {GatewayMetrics} from './gateway_metrics';
import {type BackendProtocol, RequestKind, type Route} from './types';

/** A request that is being served. */
export interface RequestTask {
  readonly exchange: Exchange;
  readonly route: Route;
  readonly service: string;
  /** Absent before the request is admitted, without client accounts, and for callers of a public route without a known key. */
  readonly account?: CallerAccount;
  /** Rank of the account if it has one, else of the route; 0 is served first. */
  readonly rank: number;
  /** Connections to backend servers that have carried the request. */
  readonly usedConnections: Set<object>;
  /** Time left until the deadline of the caller or the time-out of the route, in milliseconds. */
  getRemainingMs(): number;
  /** Time since the request was received, in milliseconds. */
  getElapsedMs(): number;
  isOver(): boolean;
  /** True when the configuration had client accounts when the request was last admitted. */
  hasAccounts(): boolean;
  /** Checks the API key, before each sending since it may have been removed; refuses the request and returns false when it must not be sent. */
  tryAdmit(verdict: Verdict): boolean;
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
  readonly admission: CallerAdmission;
  readonly protocol: BackendProtocol;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  /** Called once when the request has ended. */
  readonly onEnd: () => void;
}

/** Default time after which a refused caller may retry, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 250;
/** Time after which a caller may retry while this node's state is outdated or missing, in milliseconds; other nodes may answer at once. */
export const OUTDATED_RETRY_AFTER_MS = 500;
const STATUS_UNAUTHORIZED = 401;
const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;
const STATUS_TIMEOUT = 504;

/** Reasons for which the same request would be refused again. */
const KEY_REASONS = new Set<string>([
  RefusalReason.KeyMissing,
  RefusalReason.KeyUnknown,
  RefusalReason.KeyRevoked,
]);

/** Returns how long a request may take, in milliseconds. */
export function getLimitMs(
  {timeoutMs}: Pick<Route, 'timeoutMs'>,
  deadlineMs = timeoutMs,
): number {
  return Math.min(timeoutMs, deadlineMs);
}

/** Creates the task of a request and starts the timer of its time limit. */
export function createRequestTask(options: RequestTaskOptions): RequestTask {
  const {exchange, route, clock, metrics} = options;
  const limitMs = getLimitMs(route, exchange.request.deadlineMs);
  const deadlineAtMs = exchange.receivedAtMs + limitMs;
  const stopCallbacks: Array<(cause: 'gone' | 'timeout') => void> = [];
  let authentication: Authentication | undefined;
  let isEnded = false;
  const timer: Timer = clock.schedule(limitMs - getElapsedMs(), () =>
    stop('timeout'),
  );
  exchange.setReadLimit(computeReadLimitMs(route));
  exchange.onDisconnect(() => stop('gone'));
  exchange.onHalfClose(handleHalfClose);
  return {
    exchange,
    route,
    service: options.service,
    get account() {
      return getAccount();
    },
    get rank() {
      return getAccount()?.rank ?? route.rank;
    },
    usedConnections: new Set(),
    getRemainingMs: () => deadlineAtMs - clock.getMonotonicMs(),
    getElapsedMs,
    isOver: () => isEnded,
    hasAccounts: () => authentication?.kind === 'admitted',
    tryAdmit,
    fail,
    complete,
    expire: () => stop('timeout'),
    onStop: callback => stopCallbacks.push(callback),
    log,
  };

  function getAccount(): CallerAccount | undefined {
    return authentication?.kind === 'admitted'
      ? authentication.account
      : undefined;
  }

  function tryAdmit(verdict: Verdict): boolean {
    const before = getAccount();
    const result = options.admission.authenticate(
      route,
      exchange.request.keyDigest,
      before !== undefined,
    );
    if (result.kind !== 'refused') {
      if (authentication === undefined) recordAdmitted(result);
      authentication = result;
      return true;
    }
    metrics.recordAuthentication(result.reason);
    log(`refused: ${result.reason}`, {
      configVersion: options.admission.getConfigVersion(),
      stateAgeMs: Math.round(options.admission.getStateAgeMs()),
      account: before?.name,
    });
    fail(verdict, result.reason, OUTDATED_RETRY_AFTER_MS);
    return false;
  }

  /** Counts each request once, though it is admitted again before each sending. */
  function recordAdmitted(result: Authentication): void {
    if (result.kind !== 'admitted') return;
    metrics.recordAuthentication(
      result.account === undefined ? 'without-account' : 'account',
    );
  }

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
    exchange.answer(
      status,
      buildFailureHeaders(status, retryAfterMs),
      `${reason} (${verdict})`,
    );
    settle('failed', {verdict, reason, status, retryAfterMs});
  }

  function buildFailureHeaders(status: number, retryAfterMs: number): string[] {
    if (status === STATUS_UNAUTHORIZED) return ['WWW-Authenticate', 'Bearer'];
    if (status !== STATUS_UNAVAILABLE) return [];
    const {requestId} = exchange.request;
    return options.protocol.buildRetryHeaders(requestId, retryAfterMs);
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
    log('request ended', {...fields, outcome, account: getAccount()?.name});
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

/** Returns the status with which a request is refused. */
export function getFailureStatus(verdict: Verdict, reason: string): number {
  if (verdict === Verdict.NotRun) {
    return KEY_REASONS.has(reason) ? STATUS_UNAUTHORIZED : STATUS_UNAVAILABLE;
  }
  return reason === 'timeout' ? STATUS_TIMEOUT : STATUS_BAD_GATEWAY;
}
