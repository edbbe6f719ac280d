/** Predicts when an engine would deliver the first token and the last token of an answer. */
import {type EngineReport, EngineRole} from '../backends';
import {type EngineLoad, getKvPieces} from './engine_load';
import {getPeerWork} from './peer_work';
import {NO_WORK, type WorkAmounts} from './work_amounts';

/** The properties of a request that predictions depend on. */
export interface Job {
  readonly promptTokens: number;
  /** Expected number of generated tokens. */
  readonly outputTokens: number;
  readonly isUrgent: boolean;
}

/** Predicted times of a job at an engine, in milliseconds from now unless stated otherwise. */
export interface Prediction {
  /** Duration of the job's own prefill, without the work ahead of it. */
  readonly prefillMs: number;
  readonly firstTokenMs: number;
  readonly completionMs: number;
  /** Completion time before the correction by recently observed answer times. */
  readonly uncorrectedMs: number;
}

/**
 * Work of other nodes at an engine, taken from their digests; used where it exceeds the amounts
 * derived from the engine's report.
 */
export type DigestWork = Readonly<
  Pick<WorkAmounts, 'requests' | 'prefillTokens'>
>;

/** Limits of the work at one engine; above them, further requests wait at the node. */
export interface EngineLimits {
  /** Longest prefill backlog of an engine, in milliseconds until the engine has done it. */
  readonly maxPrefillBacklogMs: number;
  /**
   * Fraction of an engine's batch that non-urgent requests may fill while the node sees urgent
   * requests, 0 to 1.
   */
  readonly maxNonUrgentBatchFraction: number;
  /** Factor by which the limits are raised for urgent requests. */
  readonly urgentFactor: number;
}

/** Non-urgent prefill tokens that an urgent request waits for because they have started. */
const STARTED_PREFILL_TOKENS = 256;
/** Age beyond which a report is no longer used to derive other nodes' work, in milliseconds. */
const REPORT_EXPIRY_MS = 15_000;

/** Prompt tokens that an engine prefills per step while it also decodes, by role. */
const CHUNK_TOKENS: Readonly<Record<EngineRole, number>> = {
  [EngineRole.Prefill]: 1_024,
  [EngineRole.Decode]: 32,
  [EngineRole.Mixed]: 256,
};

/** Largest factor of the correction by observed answer times; the smallest is its inverse. */
const MAX_CORRECTION = 4;
/** Fraction of urgent requests from which `maxNonUrgentBatchFraction` applies. */
const MIN_URGENT_FRACTION = 0.01;
const NO_DIGEST_WORK: DigestWork = NO_WORK;

/** Returns the number of requests at the engine, from this node and from other nodes. */
export function getRequestCount(
  load: EngineLoad,
  nowMs: number,
  digestWork: DigestWork = NO_DIGEST_WORK,
): number {
  return getTotalWork(load, nowMs, digestWork).requests;
}

/** Returns the prompt tokens that wait for prefill at the engine, from all nodes. */
export function getPrefillBacklog(
  load: EngineLoad,
  nowMs: number,
  digestWork: DigestWork = NO_DIGEST_WORK,
): number {
  return getTotalWork(load, nowMs, digestWork).prefillTokens;
}

/** Returns all work at the engine, from this node and from other nodes. */
function getTotalWork(
  load: EngineLoad,
  nowMs: number,
  digestWork: DigestWork = NO_DIGEST_WORK,
): Readonly<WorkAmounts> {
  const isFresh = nowMs - load.reportAtMs <= REPORT_EXPIRY_MS;
  const peerWork = isFresh ? getPeerWork(load, nowMs) : NO_WORK;
  const {current} = load.localWork;
  return {
    requests:
      current.requests + Math.max(peerWork.requests, digestWork.requests),
    prefillTokens:
      current.prefillTokens +
      Math.max(peerWork.prefillTokens, digestWork.prefillTokens),
    urgentPrefillTokens:
      current.urgentPrefillTokens + peerWork.urgentPrefillTokens,
    decodeTokens: current.decodeTokens + peerWork.decodeTokens,
    kvPieces: current.kvPieces + peerWork.kvPieces,
  };
}

/**
 * Predicts the times of a job at an engine that has reported.
 * `cachedTokens` is the number of prompt tokens expected in the engine's prefix cache;
 * `slowdown` is the factor by which the engine is slower than the average of its role;
 * `digestWork` is the work of other nodes according to their digests.
 */
export function predictTimes(
  load: EngineLoad,
  report: EngineReport,
  job: Job,
  options: {
    nowMs: number;
    cachedTokens?: number;
    slowdown?: number;
    digestWork?: DigestWork;
  },
): Prediction {
  const {nowMs, digestWork} = options;
  const uncachedTokens = Math.max(
    1,
    job.promptTokens - (options.cachedTokens ?? 0),
  );
  const work = getTotalWork(load, nowMs, digestWork);
  const {requests, prefillTokens} = work;
  const urgentTokens = work.urgentPrefillTokens + STARTED_PREFILL_TOKENS;
  const tokensAhead = job.isUrgent
    ? Math.min(prefillTokens, urgentTokens)
    : prefillTokens;
  const stepMs = getStepMs(report, requests + 1) * (options.slowdown ?? 1);
  const tokenMs = getPrefillTokenMs(report, requests);
  const waiting = Math.max(0, requests + 1 - report.maxRunning);
  // An urgent request takes the first batch slot that becomes free.
  const queuedSlots = job.isUrgent ? Math.min(1, waiting) : waiting;
  const slotWaitMs = queuedSlots * getSlotIntervalMs(work, report, stepMs);
  const prefillMs = uncachedTokens * tokenMs;
  const firstTokenMs = slotWaitMs + tokensAhead * tokenMs + prefillMs;
  const uncorrectedMs =
    firstTokenMs + Math.max(0, job.outputTokens - 1) * stepMs;
  const completionMs = uncorrectedMs * getCorrectionFactor(load, job);
  return {prefillMs, firstTokenMs, completionMs, uncorrectedMs};
}

/** Returns the duration of a decode step with `requests` requests in the batch, in milliseconds. */
export function getStepMs(report: EngineReport, requests: number): number {
  const running = Math.min(requests, report.maxRunning);
  return report.decodeStepMs + report.decodeStepMsPerRequest * running;
}

/** Returns the time to prefill one token with `requests` requests in the batch, in milliseconds. */
function getPrefillTokenMs(report: EngineReport, requests: number): number {
  const aloneMs = 1_000 / report.prefillTokensPerS;
  if (requests < 1) return aloneMs;
  return aloneMs + getStepMs(report, requests) / CHUNK_TOKENS[report.role];
}

/** Returns whether the engine can take the job within the limits that keep its queue short. */
export function hasCapacity(
  load: EngineLoad,
  report: EngineReport,
  job: Job,
  options: {nowMs: number; limits: EngineLimits; digestWork?: DigestWork},
): boolean {
  const {nowMs, limits, digestWork} = options;
  const {requests, prefillTokens, kvPieces} = getTotalWork(
    load,
    nowMs,
    digestWork,
  );
  if (requests < 1) return true;
  const factor = job.isUrgent ? limits.urgentFactor : 1;
  const batchFraction = job.isUrgent
    ? factor
    : getNonUrgentBatchFraction(load, limits);
  if (requests >= report.maxRunning * batchFraction) return false;
  if (report.totalPieces - kvPieces < getJobKvPieces(job)) return false;
  const backlogMs = prefillTokens * getPrefillTokenMs(report, requests);
  return backlogMs < limits.maxPrefillBacklogMs * factor;
}

/**
 * Returns the fraction of the batch that non-urgent requests may fill. Decode steps get longer
 * with the batch, so urgent answers meet their deadlines only in a small batch.
 */
function getNonUrgentBatchFraction(
  load: EngineLoad,
  limits: EngineLimits,
): number {
  const hasUrgent = (load.roleLoad?.urgentFraction ?? 0) >= MIN_URGENT_FRACTION;
  return hasUrgent ? limits.maxNonUrgentBatchFraction : 1;
}

/** Returns the number of KV memory pieces that a job is expected to need. */
export function getJobKvPieces(job: Job): number {
  return getKvPieces(job.promptTokens + job.outputTokens);
}

/**
 * Returns the mean time between two slots of a full batch becoming free, assuming that requests
 * finish evenly over time.
 */
function getSlotIntervalMs(
  work: Readonly<WorkAmounts>,
  report: EngineReport,
  stepMs: number,
): number {
  const stepsLeft = work.decodeTokens / Math.max(1, work.requests);
  return (stepsLeft * stepMs) / report.maxRunning;
}

/**
 * Returns the bounded ratio of observed to predicted times of recent answers of the same
 * urgency.
 */
function getCorrectionFactor(load: EngineLoad, job: Job): number {
  const {roleLoad} = load;
  if (roleLoad === undefined) return 1;
  const times = job.isUrgent ? roleLoad.urgentTimes : roleLoad.nonUrgentTimes;
  const factor = times.observedMs / Math.max(1, times.predictedMs);
  return Math.min(MAX_CORRECTION, Math.max(1 / MAX_CORRECTION, factor));
}
