/** Predicts when an engine would give the first token and the whole answer of a request. */
import {type EngineReport, EngineRole} from '../backends';
import {type EngineLoad, getKvPieces} from './engine_load';
import {getPeerWork} from './peer_work';
import {NO_WORK, type WorkAmounts} from './work_amounts';

/** A request as the prediction sees it. */
export interface Job {
  readonly promptTokens: number;
  /** Tokens expected to be generated. */
  readonly outputTokens: number;
  readonly isUrgent: boolean;
}

/** What is predicted of a job at an engine, in milliseconds from now. */
export interface Prediction {
  /** Engine time that the job's own prefill takes. */
  readonly prefillMs: number;
  readonly firstTokenMs: number;
  readonly completionMs: number;
  /** Time of completion before it was corrected by observed answers. */
  readonly uncorrectedMs: number;
}

/** Work of other nodes known from their digests; replaces smaller reported amounts. */
export type PeerWork = Readonly<
  Pick<WorkAmounts, 'requests' | 'prefillTokens'>
>;

/** Limits of what one engine is given at a time. */
export interface EngineLimits {
  /** Most prefill work that waits at an engine, in milliseconds until it is done. */
  readonly maxPrefillBacklogMs: number;
  /** Part of an engine's batch that other requests fill where there are urgent ones. */
  readonly maxNonUrgentBatchFraction: number;
  /** Factor of the limits for urgent requests. */
  readonly urgentFactor: number;
}

/** Prefill work of others that an urgent request waits for, since it has begun, in tokens. */
const STARTED_PREFILL_TOKENS = 256;
/** A report older than this says nothing of other nodes' work, in milliseconds. */
const REPORT_EXPIRY_MS = 15_000;

/** Prompt tokens that an engine prefills in a step while it decodes, by role. */
const CHUNK_TOKENS: Readonly<Record<EngineRole, number>> = {
  [EngineRole.Prefill]: 1_024,
  [EngineRole.Decode]: 32,
  [EngineRole.Mixed]: 256,
};

/** Bound of the correction by observed answers. */
const MAX_CORRECTION = 4;
/** Part of urgent requests from which the batch is kept small for them. */
const MIN_URGENT_FRACTION = 0.01;
const NO_PEER_WORK: PeerWork = NO_WORK;

/** Returns the requests at the engine, this node's and the others'. */
export function getRequestCount(
  load: EngineLoad,
  nowMs: number,
  digestWork: PeerWork = NO_PEER_WORK,
): number {
  return getTotalWork(load, nowMs, digestWork).requests;
}

/** Returns the prompt tokens that wait for prefill at the engine. */
export function getPrefillBacklog(
  load: EngineLoad,
  nowMs: number,
  digestWork: PeerWork = NO_PEER_WORK,
): number {
  return getTotalWork(load, nowMs, digestWork).prefillTokens;
}

/** Returns all work at the engine, this node's and the others'. */
function getTotalWork(
  load: EngineLoad,
  nowMs: number,
  digestWork: PeerWork = NO_PEER_WORK,
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
 * `cachedTokens` of the prompt are expected in its prefix cache, and `slowdown` is
 * the factor by which it is slower than the others of its fleet. `rawMs` is
 * the time of completion before the correction by what was lately observed.
 */
export function predictTimes(
  load: EngineLoad,
  report: EngineReport,
  job: Job,
  options: {
    nowMs: number;
    cachedTokens?: number;
    slowdown?: number;
    digestWork?: PeerWork;
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
  // An urgent request takes the first place that comes free.
  const queuedSlots = job.isUrgent ? Math.min(1, waiting) : waiting;
  const slotWaitMs = queuedSlots * getSlotIntervalMs(work, report, stepMs);
  const prefillMs = uncachedTokens * tokenMs;
  const firstTokenMs = slotWaitMs + tokensAhead * tokenMs + prefillMs;
  const uncorrectedMs =
    firstTokenMs + Math.max(0, job.outputTokens - 1) * stepMs;
  const completionMs = uncorrectedMs * getCorrectionFactor(load, job);
  return {prefillMs, firstTokenMs, completionMs, uncorrectedMs};
}

/** Returns the time of a decode step with `requests` in the batch, in milliseconds. */
export function getStepMs(report: EngineReport, requests: number): number {
  const running = Math.min(requests, report.maxRunning);
  return report.decodeStepMs + report.decodeStepMsPerRequest * running;
}

/** Returns the time to prefill a token while `requests` share the steps, in milliseconds. */
function getPrefillTokenMs(report: EngineReport, requests: number): number {
  const aloneMs = 1_000 / report.prefillTokensPerS;
  if (requests < 1) return aloneMs;
  return aloneMs + getStepMs(report, requests) / CHUNK_TOKENS[report.role];
}

/** Returns whether the engine can take the job without a long queue of its own. */
export function hasCapacity(
  load: EngineLoad,
  report: EngineReport,
  job: Job,
  options: {nowMs: number; limits: EngineLimits; digestWork?: PeerWork},
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

/** Decode steps grow with the batch, so urgent answers are in time only if it stays small. */
function getNonUrgentBatchFraction(
  load: EngineLoad,
  limits: EngineLimits,
): number {
  const hasUrgent = (load.roleLoad?.urgentFraction ?? 0) >= MIN_URGENT_FRACTION;
  return hasUrgent ? limits.maxNonUrgentBatchFraction : 1;
}

/** Returns the pieces of KV memory that a job is expected to need. */
export function getJobKvPieces(job: Job): number {
  return getKvPieces(job.promptTokens + job.outputTokens);
}

/** Time in which one place of a full batch comes free: requests leave it evenly. */
function getSlotIntervalMs(
  work: Readonly<WorkAmounts>,
  report: EngineReport,
  stepMs: number,
): number {
  const stepsLeft = work.decodeTokens / Math.max(1, work.requests);
  return (stepsLeft * stepMs) / report.maxRunning;
}

/** Factor by which answers lately took longer or shorter than predicted. */
function getCorrectionFactor(load: EngineLoad, job: Job): number {
  const {roleLoad} = load;
  if (roleLoad === undefined) return 1;
  const times = job.isUrgent ? roleLoad.urgentTimes : roleLoad.nonUrgentTimes;
  const factor = times.observedMs / Math.max(1, times.predictedMs);
  return Math.min(MAX_CORRECTION, Math.max(1 / MAX_CORRECTION, factor));
}
