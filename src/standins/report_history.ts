/** Load reports that come out late. */
import type {EngineReport} from '../backends';
import type {Clock} from '../runtime';

/** Past reports of one engine. */
export interface ReportHistory {
  /** Keeps the present report and returns the newest that is old enough. */
  record(report: Omit<EngineReport, 'sequence'>): EngineReport;
}

/** Creates a history whose reports are at least `lagMs` old, but for the first. */
export function createReportHistory(
  clock: Clock,
  lagMs: number,
): ReportHistory {
  const past: Array<{readonly atMs: number; readonly report: EngineReport}> =
    [];
  let sequence = 0;
  return {record};

  function record(report: Omit<EngineReport, 'sequence'>): EngineReport {
    const nowMs = clock.getMonotonicMs();
    past.push({atMs: nowMs, report: {...report, sequence: ++sequence}});
    while (past.length > 1 && past[1].atMs <= nowMs - lagMs) past.shift();
    return past[0].report;
  }
}
