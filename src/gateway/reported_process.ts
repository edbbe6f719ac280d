/** Tells from the answer to a question for a report whether the listed process of a server gave it. */
import type {BackendEntry, BackendProtocol, StageReport} from './types';

/** Which process of a server gave an answer. */
export const ReportedProcess = {
  /** The one that the entry of the server lists. */
  Listed: 'listed',
  /** Another one, so that calls to the listed one are lost. */
  Other: 'other',
  /** The report or the entry does not state the start of the process. */
  Unstated: 'unstated',
} as const;
export type ReportedProcess =
  (typeof ReportedProcess)[keyof typeof ReportedProcess];

/** An answer to the question for a report. */
export interface ReportAnswer {
  readonly process: ReportedProcess;
  /** Absent where the answer is no report. */
  readonly report?: StageReport;
}

/** Status 421: the server at the address is not the one that was asked. */
const STATUS_MISDIRECTED = 421;

/** Parses an answer that the server or another one at its address gave. */
export function parseReportAnswer(
  server: Pick<BackendEntry, 'startedAtMs'>,
  answer: {readonly status: number; readonly body: Buffer},
  protocol: Pick<BackendProtocol, 'parseReport'>,
): ReportAnswer {
  if (answer.status === STATUS_MISDIRECTED) {
    return {process: ReportedProcess.Other};
  }
  const report =
    answer.status === 200 ? protocol.parseReport(answer.body) : undefined;
  if (report === undefined) return {process: ReportedProcess.Unstated};
  const isStated = report.startedAtMs > 0 && server.startedAtMs > 0;
  if (!isStated) return {process: ReportedProcess.Unstated, report};
  const isListed = report.startedAtMs === server.startedAtMs;
  return {
    process: isListed ? ReportedProcess.Listed : ReportedProcess.Other,
    report,
  };
}
