/** Sends calls of plain services to a backend server of that service. */
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
import {
  createEjector,
  createServerHealth,
  type EjectionOptions,
  type Ejector,
  type ServerHealth,
} from './ejection';
import {createRetryBudget, type RetryBudgetOptions} from './retry_budget';
import {isHealthFailure} from './retrying';
import {isSelected} from './selector';
import type {RoutingEvent} from './types';

/** A call of a plain service on its way. */
export interface ServiceCall extends Omit<ServiceRequest, 'timeoutMs'> {
  readonly service: string;
  readonly idempotent: boolean;
  /** When the answer must be complete, on the node's monotonic clock. */
  readonly deadlineAtMs: number;
  readonly servers: ServerSelector;
  readonly clientAccount?: string;
  /** Limits of the client account over the whole fleet; none when omitted. */
  readonly limits?: FleetLimits;
}

/** Options of the dispatcher. */
export interface ServiceDispatcherOptions {
  readonly clock: Clock;
  readonly client: ServiceClient;
  /** Returns a number from 0 up to and without 1. */
  readonly getRandom?: () => number;
  readonly emitEvent?: (event: RoutingEvent) => void;
  readonly limiter?: AccountLimiter;
  readonly retries?: RetryBudgetOptions;
  readonly ejection?: EjectionOptions;
}

/** Sends calls to plain services. */
export interface ServiceDispatcher {
  call(
    call: ServiceCall,
    signal?: AbortSignal,
  ): Promise<Result<ServiceAnswer, RequestFailure>>;
  updateServers(servers: readonly BackendServer[]): void;
  /** Returns the number of calls in progress. */
  getOpenCount(): number;
}

/** A server of a plain service as routing knows it. */
interface ServiceEntry {
  server: BackendServer;
  readonly health: ServerHealth;
  inFlight: number;
}

/** The servers of one service. */
interface ServiceFleet {
  readonly entries: Map<string, ServiceEntry>;
  readonly ejector: Ejector;
  /** Average time of an answer, in milliseconds. */
  averageMs: number;
}

const MAX_ATTEMPTS = 3;
const UNAVAILABLE_RETRY_AFTER_MS = 1_000;
const AVERAGE_WEIGHT = 0.05;

/** Creates a dispatcher without servers. */
export function createServiceDispatcher(
  options: ServiceDispatcherOptions,
): ServiceDispatcher {
  const {clock, client, limiter} = options;
  const getRandom = options.getRandom ?? Math.random;
  const budget = createRetryBudget(options.retries);
  const fleets = new Map<string, ServiceFleet>();
  let openCount = 0;
  return {call, updateServers, getOpenCount: () => openCount};

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

  async function runAttempts(
    request: ServiceCall,
    signal: AbortSignal | undefined,
  ): Promise<Result<ServiceAnswer, RequestFailure>> {
    const tried = new Set<ServiceEntry>();
    let mayHaveRun = false;
    let last: BackendFailure | undefined;
    for (;;) {
      const leftMs = request.deadlineAtMs - clock.getMonotonicMs();
      if (leftMs <= 0) return createError(FailureKind.DeadlineExceeded);
      const entry = tryChoose(request, tried);
      if (entry === undefined) break;
      if (last !== undefined && !budget.tryTake()) break;
      tried.add(entry);
      const answer = await callServer(request, entry, leftMs, signal);
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

  /** Takes the one with fewer calls of two chosen at random. */
  function tryChoose(
    request: ServiceCall,
    tried: ReadonlySet<ServiceEntry>,
  ): ServiceEntry | undefined {
    const fleet = fleets.get(request.service);
    if (fleet === undefined) return undefined;
    const nowMs = clock.getMonotonicMs();
    const listed = [...fleet.entries.values()].filter(
      entry =>
        !entry.server.isLeaving &&
        !tried.has(entry) &&
        isSelected(entry.server, request.servers),
    );
    const usable = listed.filter(entry =>
      fleet.ejector.isUsable(entry.health, nowMs),
    );
    // With every server ejected, one that may fail is better than none.
    const eligible = usable.length > 0 ? usable : listed;
    if (eligible.length < 2) return eligible[0];
    const first = Math.floor(getRandom() * eligible.length);
    const step = 1 + Math.floor(getRandom() * (eligible.length - 1));
    const left = eligible[first];
    const right = eligible[(first + step) % eligible.length];
    return right.inFlight < left.inFlight ? right : left;
  }

  async function callServer(
    request: ServiceCall,
    entry: ServiceEntry,
    timeoutMs: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<ServiceAnswer, BackendFailure>> {
    const startMs = clock.getMonotonicMs();
    emit(request, 'call-sent', `calls in progress ${entry.inFlight}`, entry);
    entry.inFlight++;
    const answer = await client.call(
      entry.server,
      {...request, timeoutMs},
      signal,
    );
    entry.inFlight--;
    if (answer.ok) {
      recordSuccess(request, entry, clock.getMonotonicMs() - startMs);
      return Ok(answer.val);
    }
    if (!signal?.aborted) recordFailure(request, entry, answer.val);
    return answer;
  }

  function recordSuccess(
    request: ServiceCall,
    entry: ServiceEntry,
    durationMs: number,
  ): void {
    const fleet = fleets.get(request.service);
    if (fleet === undefined) return;
    if (fleet.averageMs === 0) fleet.averageMs = durationMs;
    fleet.averageMs += AVERAGE_WEIGHT * (durationMs - fleet.averageMs);
    const ratio = durationMs / Math.max(1, fleet.averageMs);
    const nowMs = clock.getMonotonicMs();
    const cause = fleet.ejector.recordSuccess(entry.health, ratio, nowMs);
    if (cause !== undefined) emit(request, 'server-ejected', cause, entry);
  }

  function recordFailure(
    request: ServiceCall,
    entry: ServiceEntry,
    failure: BackendFailure,
  ): void {
    const cause = `${failure.kind}: ${failure.message}`;
    emit(request, 'call-failed', cause, entry);
    const fleet = fleets.get(request.service);
    if (fleet === undefined || !isHealthFailure(failure)) return;
    const nowMs = clock.getMonotonicMs();
    const ejection = fleet.ejector.recordFailure(
      entry.health,
      nowMs,
      failure.kind === 'unavailable',
    );
    if (ejection !== undefined) {
      emit(request, 'server-ejected', ejection, entry);
    }
  }

  function updateServers(servers: readonly BackendServer[]): void {
    const listed = new Set<string>();
    for (const server of servers) {
      if (server.kind !== 'service' || server.service === undefined) continue;
      listed.add(server.id);
      const {entries} = getFleet(server.service);
      const known = entries.get(server.id);
      if (known !== undefined) known.server = server;
      else {
        const health = createServerHealth();
        entries.set(server.id, {server, health, inFlight: 0});
      }
    }
    for (const {entries} of fleets.values()) {
      for (const id of entries.keys()) if (!listed.has(id)) entries.delete(id);
    }
  }

  function getFleet(service: string): ServiceFleet {
    const known = fleets.get(service);
    if (known !== undefined) return known;
    const entries = new Map<string, ServiceEntry>();
    const created: ServiceFleet = {
      entries,
      ejector: createEjector(
        () => [...entries.values()].map(entry => entry.health),
        getRandom,
        options.ejection,
      ),
      averageMs: 0,
    };
    fleets.set(service, created);
    return created;
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
