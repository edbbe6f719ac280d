/** Computes when servers that pause or limit their requests take the next one. */
import type {ServerLimits} from './server_limits';
import type {ServerPauses} from './server_pauses';
import {MIN_RETRY_AFTER_MS} from './stream_admission';
import type {BackendEntry} from './types';

/** What holds requests to servers back. */
export interface ServerWaits {
  readonly pauses: Pick<ServerPauses, 'getRemainingMs'>;
  readonly limits: Pick<ServerLimits, 'getWaitMs'>;
}

/** Returns the time after which a caller may retry because one of the servers takes requests again, in milliseconds; undefined unless a pause or a limit holds back all of them. */
export function tryGetRetryAfterMs(
  {pauses, limits}: ServerWaits,
  servers: readonly BackendEntry[],
): number | undefined {
  if (servers.length === 0) return undefined;
  const shortestMs = Math.min(
    ...servers.map(server =>
      Math.max(pauses.getRemainingMs(server), limits.getWaitMs(server)),
    ),
  );
  return shortestMs > 0 ? Math.max(MIN_RETRY_AFTER_MS, shortestMs) : undefined;
}
