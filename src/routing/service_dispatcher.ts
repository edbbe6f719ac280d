/** Sends calls of plain services to a backend server of that service. */
import {Err, Ok, type Result} from 'ts-results';
import type {
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
import {isSelected} from './selector';

/** A call of a plain service on its way. */
export interface ServiceCall extends Omit<ServiceRequest, 'timeoutMs'> {
  readonly service: string;
  readonly idempotent: boolean;
  /** When the answer must be complete, on the node's monotonic clock. */
  readonly deadlineAtMs: number;
  readonly servers: ServerSelector;
}

/** Options of the dispatcher. */
export interface ServiceDispatcherOptions {
  readonly clock: Clock;
  readonly client: ServiceClient;
}

/** Sends calls to plain services. */
export interface ServiceDispatcher {
  call(
    call: ServiceCall,
    signal?: AbortSignal,
  ): Promise<Result<ServiceAnswer, RequestFailure>>;
  updateServers(servers: readonly BackendServer[]): void;
}

const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1_000;

/** Creates a dispatcher without servers. */
export function createServiceDispatcher(
  options: ServiceDispatcherOptions,
): ServiceDispatcher {
  const {clock, client} = options;
  let servers: readonly BackendServer[] = [];
  let turn = 0;
  return {
    call,
    updateServers: next => {
      servers = next.filter(server => server.kind === 'service');
    },
  };

  async function call(
    request: ServiceCall,
    signal?: AbortSignal,
  ): Promise<Result<ServiceAnswer, RequestFailure>> {
    const eligible = servers.filter(
      server =>
        server.service === request.service &&
        !server.isLeaving &&
        isSelected(server, request.servers),
    );
    let failure = createFailure(
      FailureKind.Unavailable,
      `no server of service ${request.service} is available`,
      {retryAfterMs: RETRY_AFTER_MS},
    );
    const attempts = Math.min(MAX_ATTEMPTS, eligible.length);
    for (let attempt = 0; attempt < attempts; attempt++) {
      const server = eligible[turn++ % eligible.length];
      const timeoutMs = request.deadlineAtMs - clock.getMonotonicMs();
      if (timeoutMs <= 0) break;
      const answer = await client.call(server, {...request, timeoutMs}, signal);
      if (answer.ok) return Ok(answer.val);
      failure = createFailure(FailureKind.BackendFailed, answer.val.message, {
        verdict: answer.val.verdict,
      });
      const isSafe =
        request.idempotent || answer.val.verdict === Verdict.NotRun;
      if (!isSafe) break;
    }
    return Err(failure);
  }
}
