/** Dispatches calls of plain services to the backend servers of the service. */
import {Err, Ok, type Result} from 'ts-results';
import type {
  BackendFailure,
  BackendServer,
  ServiceAnswer,
  ServiceClient,
  ServiceRequest,
} from '../backends';
import type {Clock} from '../runtime';
import type {ServerSelector} from '../state';
import {
  createFailure,
  FailureKind,
  type RequestFailure,
  Verdict,
} from '../verdict';
import type {AccountLimiter, FleetLimits} from './account_limiter';
import {getRetryAfterMs} from './admission';
import type {EjectionCause, EjectionOptions} from './ejection';
import {createRetryBudget, type RetryBudgetOptions} from './retry_budget';
import {createServiceTable, type ServiceEntry} from './service_table';
import type {PredictedDispatch, RoutingEvent, ServerView} from './types';

/** A call of a plain service. */
export interface ServiceCall extends Omit<ServiceRequest, 'timeoutMs'> {
  readonly service: string;
  readonly idempotent: boolean;
  /** When the answer must be complete, on the node's monotonic clock. */
  readonly deadlineAtMs: number;
  readonly servers: ServerSelector;
  readonly clientAccount?: string;
  /** Fleet-wide limits of the client account; unlimited when omitted. */
  readonly limits?: FleetLimits;
}

/** Options of a service dispatcher. */
export interface ServiceDispatcherOptions {
  readonly clock: Clock;
  readonly client: ServiceClient;
  /** Returns a random number in [0, 1). Defaults to `Math.random`. */
  readonly getRandom?: () => number;
  readonly emitEvent?: (event: RoutingEvent) => void;
  readonly limiter?: AccountLimiter;
  readonly retries?: RetryBudgetOptions;
  readonly ejection?: EjectionOptions;
}

/** Dispatches calls of plain services. */
export interface ServiceDispatcher {
  /**
   * Calls a server of the service, with retries. A call that may have run is retried only if it
   * is idempotent.
   */
  call(
    call: ServiceCall,
    signal?: AbortSignal,
  ): Promise<Result<ServiceAnswer, RequestFailure>>;
  /**
   * Predicts where `call` would send a call now, without an effect. `getRandom` stands for the
   * random numbers; limits of client accounts are not checked.
   */
  predictDispatch(
    call: Pick<ServiceCall, 'service' | 'servers'>,
    getRandom: () => number,
  ): PredictedDispatch;
  /** Lists the servers of a service, and why some of them cannot be called. */
  listServerViews(
    call: Pick<ServiceCall, 'service' | 'servers'>,
  ): readonly ServerView[];
  /** Replaces the set of backend servers. */
  updateServers(servers: readonly BackendServer[]): void;
  /** Returns the number of calls in flight. */
  getOpenCount(): number;
}

const MAX_ATTEMPTS = 3;
const NONE_TRIED: ReadonlySet<ServiceEntry> = new Set();
const UNAVAILABLE_RETRY_AFTER_MS = 1_000;

/** Creates a dispatcher that knows no servers yet. */
export function createServiceDispatcher(
  options: ServiceDispatcherOptions,
): ServiceDispatcher {
  const {clock, client, limiter} = options;
  const budget = createRetryBudget(options.retries);
  const table = createServiceTable({
    clock,
    getRandom: options.getRandom ?? Math.random,
    ejection: options.ejection,
  });
  let openCount = 0;
  return {
    call,
    predictDispatch,
    listServerViews: ({service, servers}) => table.listViews(service, servers),
    updateServers: table.updateServers,
    getOpenCount: () => openCount,
  };

  async function call(
    request: ServiceCall,
    signal?: AbortSignal,
  ): Promise<Result<ServiceAnswer, RequestFailure>> {
    const nowMs = clock.getMonotonicMs();
    const {limits} = request;
    const admission =
      limits && limiter?.tryAdmit(request.clientAccount ?? '', limits, nowMs);
    if (admission?.kind === 'refused') {
      return Err(
        createFailure(FailureKind.LimitExceeded, admission.reason, {
          retryAfterMs: getRetryAfterMs(admission.retryAfterMs),
        }),
      );
    }
    openCount++;
    budget.recordRequest();
    try {
      return await runAttempts(request, signal);
    } finally {
      openCount--;
      admission?.release();
    }
  }

  function predictDispatch(
    {service, servers}: Pick<ServiceCall, 'service' | 'servers'>,
    getRandom: () => number,
  ): PredictedDispatch {
    const entry = table.tryChoose(service, servers, NONE_TRIED, getRandom);
    if (entry !== undefined) return {kind: 'send', serverId: entry.server.id};
    const text = getMessage(FailureKind.Unavailable, service, undefined);
    const failure = createFailure(FailureKind.Unavailable, text, {
      retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS,
    });
    return {kind: 'refuse', failure};
  }

  async function runAttempts(
    request: ServiceCall,
    signal: AbortSignal | undefined,
  ): Promise<Result<ServiceAnswer, RequestFailure>> {
    const tried = new Set<ServiceEntry>();
    let mayHaveRun = false;
    let last: BackendFailure | undefined;
    for (;;) {
      const remainingMs = request.deadlineAtMs - clock.getMonotonicMs();
      if (remainingMs <= 0) return createError(FailureKind.DeadlineExceeded);
      const entry = table.tryChoose(request.service, request.servers, tried);
      if (entry === undefined) break;
      if (last !== undefined && !budget.tryTake()) break;
      tried.add(entry);
      const answer = await callServer(request, entry, remainingMs, signal);
      if (answer.ok) return answer;
      last = answer.val;
      if (last.verdict !== Verdict.NotRun) mayHaveRun = true;
      if (mayHaveRun && !request.idempotent) break;
      if (signal?.aborted || tried.size >= MAX_ATTEMPTS) break;
    }
    if (last === undefined) return createError(FailureKind.Unavailable);
    return createError(FailureKind.BackendFailed);

    function createError(kind: FailureKind): Err<RequestFailure> {
      const message = getMessage(kind, request.service, last);
      emit(request, 'call-refused', `${kind}: ${message}`);
      return Err(
        createFailure(kind, message, {
          verdict: mayHaveRun ? Verdict.MayHaveRun : Verdict.NotRun,
          retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS,
        }),
      );
    }
  }

  async function callServer(
    request: ServiceCall,
    entry: ServiceEntry,
    timeoutMs: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<ServiceAnswer, BackendFailure>> {
    const startMs = clock.getMonotonicMs();
    emit(
      request,
      'call-sent',
      `calls in flight before: ${entry.inFlight}`,
      entry,
    );
    entry.inFlight++;
    const answer = await client.call(
      entry.server,
      {...request, timeoutMs},
      signal,
    );
    entry.inFlight--;
    if (answer.ok) {
      const durationMs = clock.getMonotonicMs() - startMs;
      emitEjection(request, entry, table.recordSuccess(entry, durationMs));
      return Ok(answer.val);
    }
    // A call that its caller cancelled says nothing about the server's health.
    if (signal?.aborted) return answer;
    const {kind, message} = answer.val;
    emit(request, 'call-failed', `${kind}: ${message}`, entry);
    emitEjection(request, entry, table.recordFailure(entry, answer.val));
    return answer;
  }

  function emitEjection(
    request: ServiceCall,
    entry: ServiceEntry,
    cause: EjectionCause | undefined,
  ): void {
    if (cause !== undefined) emit(request, 'server-ejected', cause, entry);
  }

  function emit(
    request: ServiceCall,
    kind: string,
    cause: string,
    entry?: ServiceEntry,
  ): void {
    const {requestId, clientAccount} = request;
    const engine = entry?.server.id;
    options.emitEvent?.({kind, requestId, clientAccount, engine, cause});
  }
}

function getMessage(
  kind: FailureKind,
  service: string,
  last: BackendFailure | undefined,
): string {
  if (kind === FailureKind.DeadlineExceeded) {
    return 'the deadline passed before the call was answered';
  }
  return last?.message ?? `no server of service ${service} is available`;
}
