/** Delays the load reports of an engine. */
import type {EngineReport} from '../backends';
import type {Clock} from '../runtime';

/** Past reports of one engine. */
export interface ReportHistory {
  /** Stores the current report and returns the newest one that is at least `lagMs` old, else the oldest. */
  record(report: Omit<EngineReport, 'sequence'>): EngineReport;
}

/** Creates an empty history that delays reports by `lagMs`. */
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
