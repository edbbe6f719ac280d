/** Asks a backend server whether it is still the process that the node knows. */
import type {Clock} from '../runtime/types';
import type {Connections} from './connections';
import {sendControlCall} from './control_call';
import type {FleetState} from './fleet_state';
import type {ServerLimits} from './server_limits';
import type {ServerPauses} from './server_pauses';
import type {BackendEntry, BackendProtocol} from './types';

/** Options of the check. */
export interface ProcessCheckOptions {
  readonly connections: Connections;
  readonly clock: Clock;
  readonly protocol: Pick<BackendProtocol, 'buildReportCall' | 'parseReport'>;
  readonly state: Pick<FleetState, 'tryGetUsable'>;
  readonly pauses: Pick<ServerPauses, 'isPaused'>;
  readonly limits: Pick<ServerLimits, 'canSend'>;
  readonly server: BackendEntry;
}

/** Time-out of the check, in milliseconds: many round trips, and less than a caller's patience for the end of an answer. */
const CHECK_TIMEOUT_MS = 300;

/** Resolves to true when the server's report names the start that the node knows. Only engines report, and none is asked that takes no requests. */
export async function checkProcess(
  options: ProcessCheckOptions,
): Promise<boolean> {
  const {protocol, server} = options;
  const known = options.state.tryGetUsable(server.id);
  if (known === undefined || server.stage === undefined) return false;
  if (options.pauses.isPaused(known) || !options.limits.canSend(known)) {
    return false;
  }
  const answer = await sendControlCall(
    options.connections,
    options.clock,
    server,
    protocol.buildReportCall(server.id),
    CHECK_TIMEOUT_MS,
  );
  if (answer?.status !== 200) return false;
  const report = protocol.parseReport(answer.body);
  // A server that does not state its start never starts again under its id.
  return report !== undefined && report.startedAtMs === server.startedAtMs;
}
