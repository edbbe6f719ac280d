/** Tracks the limits on the rate of requests that servers state in their answers. */
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import type {GatewayMetrics} from './gateway_metrics';
import type {BackendEntry} from './types';

/** Limits that servers state on the rate of requests from all nodes together. */
export interface ServerLimits {
  /** Records a request to a server; the returned function records the limit in its answer, in requests per second, or undefined when there is none. */
  recordSend(server: BackendEntry): (limitPerS: number | undefined) => void;
  /** Forgets the limits of all servers but these. */
  retainOnly(serverIds: ReadonlySet<string>): void;
}

/** Options of the limits. */
export interface ServerLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<GatewayMetrics, 'recordLimitedSend'>;
}

interface LimitState {
  readonly serverId: string;
  limitPerS: number | undefined;
  /** When this was last stated, on the monotonic clock, in milliseconds. */
  statedAtMs: number;
}

/** Creates a list without any limits. */
export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const {clock, logger, metrics} = options;
  const states = new Map<string, LimitState>();
  return {
    recordSend,
    retainOnly: serverIds => {
      for (const [key, {serverId}] of states) {
        if (!serverIds.has(serverId)) states.delete(key);
      }
    },
  };

  function recordSend(
    server: BackendEntry,
  ): (limitPerS: number | undefined) => void {
    const sentAtMs = clock.getMonotonicMs();
    if (states.get(formatKey(server))?.limitPerS !== undefined) {
      metrics.recordLimitedSend(server.id);
    }
    return limitPerS => recordLimit(server, limitPerS, sentAtMs);
  }

  function recordLimit(
    server: BackendEntry,
    limitPerS: number | undefined,
    sentAtMs: number,
  ): void {
    const key = formatKey(server);
    const known = states.get(key);
    const nowMs = clock.getMonotonicMs();
    // The answer to an earlier request may have been written before the limit was stated.
    const statedAtMs = limitPerS === undefined ? sentAtMs : nowMs;
    if (known === undefined && limitPerS === undefined) return;
    if (known !== undefined && known.statedAtMs >= statedAtMs) return;
    states.set(key, {serverId: server.id, limitPerS, statedAtMs});
    if (known?.limitPerS === limitPerS) return;
    logger.log('info', 'backend server states another limit', {
      serverId: server.id,
      limitPerS,
      previousPerS: known?.limitPerS,
    });
  }
}

/** The key includes the start time: a limit does not apply to a server that restarted under the same id. */
function formatKey(server: BackendEntry): string {
  return `${server.id} ${server.startedAtMs}`;
}
