/** Records what callers received, and aggregates it into the outcome and the time series. */
import * as hdr from 'hdr-histogram-js';
import type {TokenBatch} from '../backends';
import type {Outcome, ReplayPolicy, SeriesPoint, TraceRequest} from './types';
import type {BackendCounts} from './backend_monitor';

/** How a trace request ended for its caller. */
export type RequestResult =
  | {readonly kind: 'delivered'; readonly atMs: number; readonly tokens: number}
  | {readonly kind: 'refused'}
  | {readonly kind: 'may-have-run'; readonly isCut: boolean};

/** Records the results of requests. */
export interface Recorder {
  recordArrival(request: TraceRequest): void;
  recordFirstToken(request: TraceRequest, firstTokenMs: number): void;
  /** Records the time from the previous token to the batch, and the times between its tokens. */
  recordTokens(batch: TokenBatch, previousAtMs: number | undefined): void;
  recordResult(request: TraceRequest, result: RequestResult): void;
  recordNotRunButRan(): void;
  /** Ends the current point of the series with the state of the fleet. */
  closePoint(fleet: FleetSnapshot): void;
  getOutcome(options: OutcomeOptions): Outcome;
  listSeries(): readonly SeriesPoint[];
}

/** State of the fleet at the end of a point of the series. */
export interface FleetSnapshot {
  readonly waiting: number;
  readonly running: number;
  readonly roles: readonly string[];
}

/** Parts of the outcome that callers do not observe. */
export interface OutcomeOptions {
  readonly backendCounts: BackendCounts;
  readonly seed: number;
  readonly policy: ReplayPolicy;
}

/** Histogram units per millisecond. */
const UNITS_PER_MS = 100;
const MAX_MS = 3_600_000;

/** Creates a recorder whose series has one point per `bucketMs`. */
export function createRecorder(bucketMs: number): Recorder {
  const firstTokens = createHistogram();
  const betweenTokens = createHistogram();
  const firstTokensByPoint: number[][] = [];
  const arrivalsByPoint: Array<{
    count: number;
    prompt: number;
    output: number;
  }> = [];
  const inDeadlineByPoint: number[] = [];
  const fleetSnapshots: FleetSnapshot[] = [];
  const counts = {
    requests: 0,
    delivered: 0,
    inDeadline: 0,
    refused: 0,
    mayHaveRun: 0,
    cut: 0,
    notRunButRan: 0,
    deliveredTokens: 0,
  };
  return {
    recordArrival,
    recordFirstToken,
    recordTokens,
    recordResult,
    recordNotRunButRan: () => {
      counts.notRunButRan++;
    },
    closePoint: fleet => void fleetSnapshots.push(fleet),
    getOutcome,
    listSeries,
  };

  function getPointIndex(request: TraceRequest): number {
    return Math.floor(request.at_ms / bucketMs);
  }

  function recordArrival(request: TraceRequest): void {
    counts.requests++;
    const point = getPointIndex(request);
    const entry = (arrivalsByPoint[point] ??= {count: 0, prompt: 0, output: 0});
    entry.count++;
    entry.prompt += request.prompt_tokens;
    entry.output += request.output_tokens;
  }

  function recordFirstToken(request: TraceRequest, firstTokenMs: number): void {
    recordMs(firstTokens, firstTokenMs, 1);
    (firstTokensByPoint[getPointIndex(request)] ??= []).push(firstTokenMs);
  }

  function recordTokens(
    batch: TokenBatch,
    previousAtMs: number | undefined,
  ): void {
    if (previousAtMs !== undefined) {
      recordMs(betweenTokens, batch.firstAtMs - previousAtMs, 1);
    }
    if (batch.count < 2) return;
    const gaps = batch.count - 1;
    recordMs(betweenTokens, (batch.lastAtMs - batch.firstAtMs) / gaps, gaps);
  }

  function recordResult(request: TraceRequest, result: RequestResult): void {
    switch (result.kind) {
      case 'delivered': {
        counts.delivered++;
        counts.deliveredTokens += result.tokens;
        if (result.atMs > request.at_ms + request.deadline_ms) return;
        counts.inDeadline++;
        const point = getPointIndex(request);
        inDeadlineByPoint[point] = (inDeadlineByPoint[point] ?? 0) + 1;
        return;
      }
      case 'refused':
        counts.refused++;
        return;
      case 'may-have-run':
        counts.mayHaveRun++;
        if (result.isCut) counts.cut++;
    }
  }

  function getOutcome(options: OutcomeOptions): Outcome {
    const {backendCounts} = options;
    return {
      requests: counts.requests,
      delivered: counts.delivered,
      in_deadline: counts.inDeadline,
      late: counts.delivered - counts.inDeadline,
      refused: counts.refused,
      may_have_run: counts.mayHaveRun,
      cut: counts.cut,
      run_twice: backendCounts.runTwice,
      not_run_but_ran: counts.notRunButRan,
      goodput: toRounded(counts.inDeadline / Math.max(1, counts.requests), 5),
      role_changes: backendCounts.roleChanges,
      command_conflicts: backendCounts.commandConflicts,
      stale_commands_effective: backendCounts.staleCommandsEffective,
      new_work_after_leaving: backendCounts.newWorkAfterLeaving,
      wasted_tokens: Math.max(
        0,
        backendCounts.generatedTokens - counts.deliveredTokens,
      ),
      p95_first_token_ms: getPercentile(firstTokens),
      p95_between_tokens_ms: getPercentile(betweenTokens),
      seed: options.seed,
      policy: options.policy,
    };
  }

  function listSeries(): readonly SeriesPoint[] {
    const length = Math.max(arrivalsByPoint.length, fleetSnapshots.length);
    return Array.from({length}, (_, index) => ({
      atMs: index * bucketMs,
      arrived: arrivalsByPoint[index]?.count ?? 0,
      inDeadline: inDeadlineByPoint[index] ?? 0,
      promptTokens: arrivalsByPoint[index]?.prompt ?? 0,
      outputTokens: arrivalsByPoint[index]?.output ?? 0,
      waiting: fleetSnapshots[index]?.waiting ?? 0,
      running: fleetSnapshots[index]?.running ?? 0,
      p95FirstTokenMs: computeP95(firstTokensByPoint[index] ?? []),
      roles: fleetSnapshots[index]?.roles ?? [],
    }));
  }
}

function createHistogram(): hdr.Histogram {
  return hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

function recordMs(histogram: hdr.Histogram, ms: number, count: number): void {
  const units = Math.round(Math.min(MAX_MS, Math.max(0, ms)) * UNITS_PER_MS);
  histogram.recordValueWithCount(units, count);
}

function getPercentile(histogram: hdr.Histogram): number {
  if (histogram.totalCount === 0) return 0;
  return toRounded(histogram.getValueAtPercentile(95) / UNITS_PER_MS, 1);
}

function computeP95(values: readonly number[]): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  return toRounded(sorted[Math.ceil(sorted.length * 0.95) - 1], 1);
}

function toRounded(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
