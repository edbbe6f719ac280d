/** Checks with which a backend server is asked for a sign of its process. */
import type {FleetState} from './fleet_state';
import {CheckResult} from './process_proofs';
import {parseReportAnswer, ReportedProcess} from './reported_process';
import type {ServerLimits} from './server_limits';
import type {ServerPauses} from './server_pauses';
import type {BackendEntry, BackendProtocol, ControlCall} from './types';

/** A call that any server answers without doing work, and what its answer states. */
export interface ProcessCheck {
  readonly call: ControlCall;
  /** Returns what the answer states about the process. */
  readonly parseResult: (status: number, body: Buffer) => CheckResult;
}

/** Builds the checks. */
export interface ProcessChecks {
  /** True when the answer to a check of the server may state which process gave it. */
  canState(server: BackendEntry): boolean;
  /** True when the servers of the service are known to do so. */
  isStating(server: BackendEntry): boolean;
  /** Returns a check, or undefined while the server must get no calls. */
  tryBuild(server: BackendEntry): ProcessCheck | undefined;
  /** True when a check may be sent beside a request: it must not use up what the server takes. */
  canPrepare(server: BackendEntry): boolean;
  /** True when an answer belongs to the request with this id, or to a call without one; a late copy of another answer does not. */
  isOwnAnswer(
    status: number,
    rawHeaders: readonly string[],
    requestId: string | undefined,
  ): boolean;
}

/** Options of the checks. */
export interface ProcessChecksOptions {
  readonly protocol: Pick<
    BackendProtocol,
    'buildReportCall' | 'buildHealthCall' | 'parseReport' | 'parseAnswer'
  >;
  readonly state: Pick<FleetState, 'tryGetService'>;
  readonly pauses: Pick<ServerPauses, 'isPaused'>;
  readonly limits: Pick<ServerLimits, 'canSend' | 'isLimited'>;
}

const RESULTS: Readonly<Record<ReportedProcess, CheckResult>> = {
  [ReportedProcess.Listed]: CheckResult.SameProcess,
  [ReportedProcess.Other]: CheckResult.OtherProcess,
  [ReportedProcess.Unstated]: CheckResult.Nothing,
};

/** Creates the builder of checks. */
export function createProcessChecks(
  options: ProcessChecksOptions,
): ProcessChecks {
  const {protocol, state, pauses, limits} = options;
  /** Services whose servers state their start in reports. */
  const statingServices = new Set<string>();
  return {
    canState,
    isStating: server =>
      canState(server) && statingServices.has(server.service),
    tryBuild,
    canPrepare: server => !pauses.isPaused(server) && !limits.isLimited(server),
    isOwnAnswer: (status, rawHeaders, requestId) =>
      protocol.parseAnswer(status, rawHeaders).requestId === requestId,
  };

  /** Only engines report, and a report tells nothing unless the entry states the start, too. */
  function canState({stage, startedAtMs}: BackendEntry): boolean {
    return stage !== undefined && startedAtMs > 0;
  }

  function tryBuild(server: BackendEntry): ProcessCheck | undefined {
    if (pauses.isPaused(server) || !limits.canSend(server)) return undefined;
    if (server.stage !== undefined) {
      return {
        call: protocol.buildReportCall(server.id),
        parseResult: (status, body) => parseReport(server, status, body),
      };
    }
    const service = state.tryGetService(server.service);
    if (service === undefined) return undefined;
    return {
      call: protocol.buildHealthCall(server.id, service.healthPath),
      parseResult: () => CheckResult.Nothing,
    };
  }

  function parseReport(
    server: BackendEntry,
    status: number,
    body: Buffer,
  ): CheckResult {
    const answer = {status, body};
    const {process, report} = parseReportAnswer(server, answer, protocol);
    if (report?.startedAtMs === 0) statingServices.delete(server.service);
    else if (report !== undefined) statingServices.add(server.service);
    return RESULTS[process];
  }
}
