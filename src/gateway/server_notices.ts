/** Handles what backend servers state about themselves in the heads of their answers, whichever call the answer belongs to. */
import type {Logger} from '../diagnostics/log';
import type {HeadListener} from './backend_call';
import type {FleetState} from './fleet_state';
import type {Peers} from './peers';
import type {ServerLimits} from './server_limits';
import type {ServerPauses} from './server_pauses';
import type {BackendEntry, BackendProtocol, ServerNotice} from './types';

/** Reads the notices of backend servers. */
export interface ServerNotices {
  /** Records a request to a server; the returned function reads the notice in the head of its answer. */
  recordCall(server: BackendEntry): HeadListener;
}

/** Options of the notices. */
export interface ServerNoticesOptions {
  readonly protocol: Pick<BackendProtocol, 'tryParseNotice'>;
  readonly state: Pick<FleetState, 'recordLeaving'>;
  readonly pauses: Pick<ServerPauses, 'record'>;
  readonly limits: Pick<ServerLimits, 'recordSend'>;
  readonly peers: Pick<Peers, 'notify'>;
  readonly logger: Logger;
}

/** Creates the reader of notices. */
export function createServerNotices(
  options: ServerNoticesOptions,
): ServerNotices {
  const {protocol, state, pauses, limits, peers, logger} = options;
  return {
    recordCall: server => {
      const recordLimit = limits.recordSend(server);
      return (status, rawHeaders) => {
        const notice = protocol.tryParseNotice(status, rawHeaders);
        handleLimit(server, notice, recordLimit);
        if (notice === undefined) return;
        if (notice.pauseMs > 0) handlePause(server, notice.pauseMs);
        if (notice.isLeaving) handleLeaving(server);
      };
    },
  };

  function handleLimit(
    server: BackendEntry,
    notice: ServerNotice | undefined,
    recordLimit: (limitPerS: number | undefined) => void,
  ): void {
    if (notice?.malformedLimit === undefined) {
      recordLimit(notice?.limitPerS);
      return;
    }
    logger.log('warn', 'backend server states a limit that is not a number', {
      serverId: server.id,
      limit: notice.malformedLimit,
    });
  }

  function handlePause(server: BackendEntry, pauseMs: number): void {
    pauses.record(server, pauseMs);
    logger.log('info', 'backend server requested a pause', {
      serverId: server.id,
      pauseMs,
    });
  }

  function handleLeaving({id, startedAtMs}: BackendEntry): void {
    if (!state.recordLeaving(id, startedAtMs)) return;
    logger.log('info', 'backend server reports that it is leaving', {
      serverId: id,
      startedAtMs,
    });
    peers.notify({kind: 'leaving', serverId: id, startedAtMs});
  }
}
