/**
 * An upper bound on the goodput of a trace that no policy can exceed, whatever roles
 * it gives the engines and however much it knows. Each step only relaxes the problem:
 *
 * 1. Each request takes at least its best-case engine time: its prompt at the full
 *    prefill rate, less a prefix that an earlier request had, and each token at its
 *    share of a full batch. Roles, role changes, KV transfer, queues, memory and
 *    routing cost nothing.
 * 2. All engines that are up act as one server whose time can be divided at will.
 * 3. A request that is in time gets all its engine time between its arrival and its
 *    deadline. Of the requests whose whole window lies in an interval, no more can
 *    be in time than the cheapest ones that fit the interval's engine time; the
 *    others miss their deadline. Misses of disjoint intervals add up, and the bound
 *    takes the set of disjoint intervals with the most misses.
 * 4. A request that would be late even alone on an idle engine misses its deadline
 *    too, and so does a non-idempotent one whose whole window lies in an outage of
 *    the log: it may not run before it is claimed there.
 */
import {ENGINE_DEFAULTS} from '../standins';
import type {Trace, TraceFault, TraceRequest} from './types';

/** An upper bound on goodput, and the counts that it comes from. */
export interface GoodputBound {
  /** No policy has a higher goodput. */
  readonly goodput: number;
  readonly requests: number;
  /** Requests that miss their deadline under any policy, at least. */
  readonly missed: number;
}

/** Cost parameters of an engine; see `ENGINE_DEFAULTS`. */
export type EngineCosts = Pick<
  typeof ENGINE_DEFAULTS,
  'prefillTokensPerS' | 'decodeStepMs' | 'decodeStepMsPerRequest' | 'maxRunning'
>;

/** Maximum number of points of time that intervals start and end at. */
const MAX_TIME_POINTS = 160;

interface Job {
  readonly startMs: number;
  readonly endMs: number;
  /** Minimum engine time, in milliseconds; Infinity when the request cannot be in time. */
  readonly engineMs: number;
}

/** Computes the upper bound on the goodput of a trace. */
export function computeGoodputBound(
  trace: Trace,
  costs: EngineCosts = ENGINE_DEFAULTS,
): GoodputBound {
  const jobs = listJobs(trace, costs);
  const missed = countMissed(trace, jobs);
  const requests = trace.requests.length;
  const goodput = requests === 0 ? 1 : (requests - missed) / requests;
  return {goodput, requests, missed};
}

/** Returns the minimum engine time of a request, in milliseconds. */
export function computeMinEngineMs(
  request: Pick<TraceRequest, 'prompt_tokens' | 'output_tokens'>,
  cachedTokens: number,
  costs: EngineCosts,
): number {
  const prompt = Math.max(1, request.prompt_tokens - cachedTokens);
  const prefillMs = (prompt / costs.prefillTokensPerS) * 1_000;
  const tokenMs =
    costs.decodeStepMs / costs.maxRunning + costs.decodeStepMsPerRequest;
  return prefillMs + (request.output_tokens - 1) * tokenMs;
}

function listJobs(trace: Trace, costs: EngineCosts): readonly Job[] {
  const seenPrefixTokens = new Map<string, number>();
  const jobs: Job[] = [];
  for (const request of trace.requests) {
    const canClaim = request.idempotent || !isInLogOutage(trace, request);
    if (request.kind !== 'model') {
      if (!canClaim) jobs.push(createMissedJob(request));
      continue;
    }
    const {prefix, prefix_tokens, at_ms, deadline_ms} = request;
    let cached = 0;
    if (prefix !== undefined) {
      cached = Math.min(prefix_tokens, seenPrefixTokens.get(prefix) ?? 0);
      seenPrefixTokens.set(
        prefix,
        Math.max(prefix_tokens, seenPrefixTokens.get(prefix) ?? 0),
      );
    }
    const engineMs = computeMinEngineMs(request, cached, costs);
    const isPossible =
      canClaim && computeMinLatencyMs(request, cached, costs) <= deadline_ms;
    jobs.push({
      startMs: at_ms,
      endMs: at_ms + deadline_ms,
      engineMs: isPossible ? engineMs : Infinity,
    });
  }
  return jobs;
}

function createMissedJob(request: TraceRequest): Job {
  const startMs = request.at_ms;
  return {startMs, endMs: startMs + request.deadline_ms, engineMs: Infinity};
}

function isInLogOutage(trace: Trace, request: TraceRequest): boolean {
  const endMs = request.at_ms + request.deadline_ms;
  return trace.header.faults.some(
    fault =>
      fault.kind === 'log_outage' &&
      fault.at_ms <= request.at_ms &&
      fault.at_ms + (fault.for_ms ?? 0) >= endMs,
  );
}

/** Returns the latency of a request that runs alone on an idle engine, in milliseconds. */
function computeMinLatencyMs(
  request: TraceRequest,
  cached: number,
  costs: EngineCosts,
): number {
  const prompt = Math.max(1, request.prompt_tokens - cached);
  const stepMs = costs.decodeStepMs + costs.decodeStepMsPerRequest;
  const prefillMs = (prompt / costs.prefillTokensPerS) * 1_000;
  return prefillMs + (request.output_tokens - 1) * stepMs;
}

/** Returns the most misses over sets of disjoint intervals, by dynamic programming over points of time. */
function countMissed(trace: Trace, jobs: readonly Job[]): number {
  const points = listTimePoints(jobs);
  const maxMissed = new Array<number>(points.length).fill(0);
  const sorted = [...jobs].sort(
    (left, right) => left.engineMs - right.engineMs,
  );
  const windows = sorted.map(job => ({
    job,
    from: findPointAtOrBefore(points, job.startMs),
    to: findPointAtOrAfter(points, job.endMs),
  }));
  for (let end = 1; end < points.length; end++) {
    maxMissed[end] = maxMissed[end - 1];
    for (let start = 0; start < end; start++) {
      const capacityMs = computeCapacityMs(trace, points[start], points[end]);
      const missed = countMissedWithin(windows, start, end, capacityMs);
      maxMissed[end] = Math.max(maxMissed[end], maxMissed[start] + missed);
    }
  }
  return maxMissed[points.length - 1] ?? 0;
}

function countMissedWithin(
  windows: ReadonlyArray<{job: Job; from: number; to: number}>,
  start: number,
  end: number,
  capacityMs: number,
): number {
  let usedMs = 0;
  let missed = 0;
  for (const {job, from, to} of windows) {
    if (from < start || to > end) continue;
    usedMs += job.engineMs;
    if (usedMs > capacityMs + 1e-6) missed++;
  }
  return missed;
}

/** Lists evenly spaced points of time from the first arrival to the last deadline. */
function listTimePoints(jobs: readonly Job[]): readonly number[] {
  if (jobs.length === 0) return [0];
  const startMs = Math.min(...jobs.map(job => job.startMs));
  const endMs = Math.max(...jobs.map(job => job.endMs));
  const count = Math.min(MAX_TIME_POINTS, Math.ceil(endMs - startMs) + 1);
  const stepMs = (endMs - startMs) / Math.max(1, count - 1);
  return Array.from({length: count}, (_, index) =>
    index === count - 1 ? endMs : startMs + index * stepMs,
  );
}

/** Returns the index of the last point at or before a time. */
function findPointAtOrBefore(points: readonly number[], ms: number): number {
  const first = findPointAtOrAfter(points, ms);
  return points[first] > ms ? first - 1 : first;
}

/** Returns the index of the first point at or after a time. */
function findPointAtOrAfter(points: readonly number[], ms: number): number {
  let low = 0;
  let high = points.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (points[middle] >= ms) high = middle;
    else low = middle + 1;
  }
  return low;
}

/** Returns the engine time of all engines in the interval, less their longest crash, in milliseconds. */
function computeCapacityMs(
  trace: Trace,
  startMs: number,
  endMs: number,
): number {
  const {engines, faults} = trace.header;
  let capacityMs = 0;
  for (const engine of engines) {
    const crashedMs = faults
      .filter(fault => isCrashOf(fault, engine))
      .reduce((longest, fault) => {
        const from = Math.max(startMs, fault.at_ms);
        const to = Math.min(endMs, fault.at_ms + (fault.for_ms ?? 0));
        return Math.max(longest, to - from);
      }, 0);
    capacityMs += endMs - startMs - crashedMs;
  }
  return capacityMs;
}

function isCrashOf(
  fault: TraceFault,
  engine: {readonly id: string; readonly failure_domain: string},
): boolean {
  if (fault.kind !== 'engine_crash') return false;
  return fault.target === engine.id || fault.target === engine.failure_domain;
}
