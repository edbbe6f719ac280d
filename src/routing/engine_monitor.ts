/** Updates the known state of engines from reports, cache events and the outcomes of attempts. */
import type {BackendFailure, CacheEvent, EngineReport} from '../backends';
import {createEjector, type EjectionCause, type Ejector} from './ejection';
import {applyReport, recordTimes} from './engine_load';
import type {EngineEntry, EngineTable} from './engine_table';
import type {ResolvedOptions} from './dispatcher_options';
import {type Attempt, type OpenRequest, tryGetSlowdown} from './open_request';
import type {PrefixIndex} from './prefix_index';
import {isHealthFailure} from './retrying';
import type {DispatcherHost} from './types';

/** Weight of one answer in the average slowdown of a role. */
const ROLE_SLOWDOWN_WEIGHT = 0.05;

/** Monitors the engines of a table. */
export interface EngineMonitor {
  readonly ejector: Ejector;
  /** Applies a report; returns its engine, or undefined if that is unknown or the report is old. */
  applyReport(report: EngineReport): EngineEntry | undefined;
  applyCacheEvents(engine: string, events: readonly CacheEvent[]): void;
  recordSuccess(entry: OpenRequest, attempt: Attempt): void;
  /** Records the time of an answer, or of one that was cut off at its deadline. */
  recordTime(entry: OpenRequest, attempt: Attempt): void;
  recordFailure(attempt: Attempt, failure: BackendFailure): void;
  getEjectionCount(): number;
}

/** Creates a monitor of the engines of a table. */
export function createEngineMonitor(
  host: DispatcherHost,
  table: EngineTable,
  prefixes: PrefixIndex,
  options: ResolvedOptions,
): EngineMonitor {
  const ejector = createEjector(
    listHealth,
    () => host.getRandom(),
    options.ejection,
  );
  let ejections = 0;
  return {
    ejector,
    applyReport: takeReport,
    applyCacheEvents: prefixes.applyEvents,
    recordSuccess,
    recordTime,
    recordFailure,
    getEjectionCount: () => ejections,
  };

  function* listHealth(): Generator<EngineEntry['health']> {
    for (const engine of table.list()) yield engine.health;
  }

  function takeReport(report: EngineReport): EngineEntry | undefined {
    const engine = table.tryGet(report.engine);
    if (engine === undefined) return undefined;
    const previous = engine.load.report;
    if (previous !== undefined && previous.incarnation === report.incarnation) {
      if (report.sequence <= previous.sequence) return undefined;
    } else if (previous !== undefined) {
      prefixes.removeEngine(report.engine);
      emit(engine, 'engine-restarted', `incarnation ${report.incarnation}`);
    }
    const nowMs = host.clock.getMonotonicMs();
    table.setNodeCount(host.getNodeCount?.() ?? 1);
    applyReport(engine.load, report, nowMs, options.reportLagMs);
    table.updateEngine(engine, previous);
    return engine;
  }

  function recordSuccess(entry: OpenRequest, attempt: Attempt): void {
    const nowMs = host.clock.getMonotonicMs();
    const {engine} = attempt;
    const observed = tryGetSlowdown(entry, attempt, nowMs);
    const ratio = observed ?? engine.health.slowdown;
    const {roleLoad} = engine.load;
    if (observed !== undefined && roleLoad !== undefined) {
      roleLoad.slowdown +=
        ROLE_SLOWDOWN_WEIGHT * (observed - roleLoad.slowdown);
    }
    recordEjection(engine, ejector.recordSuccess(engine.health, ratio, nowMs));
  }

  function recordTime(entry: OpenRequest, attempt: Attempt): void {
    const {roleLoad} = attempt.engine.load;
    if (roleLoad === undefined || entry.wasPaused) return;
    const observedMs = host.clock.getMonotonicMs() - attempt.startedAtMs;
    const times = entry.job.isUrgent
      ? roleLoad.urgentTimes
      : roleLoad.nonUrgentTimes;
    recordTimes(times, observedMs, attempt.predictedMs);
  }

  function recordFailure(attempt: Attempt, failure: BackendFailure): void {
    if (!isHealthFailure(failure)) return;
    // `unavailable` means that no connection could be made.
    const isUnreachable = failure.kind === 'unavailable';
    const {engine} = attempt;
    const nowMs = host.clock.getMonotonicMs();
    recordEjection(
      engine,
      ejector.recordFailure(engine.health, nowMs, isUnreachable),
    );
  }

  function recordEjection(
    engine: EngineEntry,
    cause: EjectionCause | undefined,
  ): void {
    if (cause === undefined) return;
    ejections++;
    const remainingMs =
      engine.health.ejectedUntilMs - host.clock.getMonotonicMs();
    const reason =
      cause === 'failures'
        ? `${engine.health.consecutiveFailures} failures in a row`
        : `${engine.health.slowdown.toFixed(1)} times its reported step time`;
    emit(
      engine,
      'engine-ejected',
      `${reason}; ejected for ${Math.round(remainingMs)} ms`,
    );
  }

  function emit(engine: EngineEntry, kind: string, cause: string): void {
    host.emitEvent({kind, engine: engine.server.id, cause});
  }
}
