/** An open request, which is queued or running, and its attempts. */
import type {EngineCall, KvHandle} from '../backends';
import type {Timer} from '../runtime';
import {createReorderBuffer, type ReorderBuffer} from './reorder_buffer';
import type {AttemptWork} from './engine_load';
import type {EngineEntry, EnginePool} from './engine_table';
import type {Job} from './estimate';
import type {AnswerSink, ModelRequest} from './types';

/** Part of a request that one engine runs. */
export type Phase = 'full' | 'prefill' | 'decode';

/** One try to run a request, or a phase of it, on an engine. */
export interface Attempt {
  readonly engine: EngineEntry;
  readonly phase: Phase;
  readonly work: AttemptWork;
  readonly startedAtMs: number;
  /** Predicted time from the start to the end of the attempt, uncorrected, in milliseconds. */
  readonly predictedMs: number;
  /** Time of a decode step according to the engine's report at the start, in milliseconds. */
  readonly expectedStepMs: number;
  /** Index of the first token that the attempt was to deliver. */
  readonly firstIndex: number;
  /** When its first tokens arrived, on the node's monotonic clock; -1 before. */
  firstTokenAtMs: number;
  call: EngineCall | undefined;
  /** True once tokens that were missing at the end have been requested again. */
  isResumed: boolean;
}

/** A request from its submission until it is closed. */
export interface OpenRequest {
  readonly request: ModelRequest;
  readonly sink: AnswerSink;
  pool: EnginePool;
  readonly job: Job;
  readonly reorderBuffer: ReorderBuffer;
  readonly submittedAtMs: number;
  /** Releases the request's hold on its client account's concurrency limit. */
  releaseLimits: (() => void) | undefined;
  /**
   * Engines that failed the request or prefilled it; they are not tried again, since an engine
   * refuses a request it has seen.
   */
  triedEngines: Set<string> | undefined;
  /** Failed attempts that may have run. */
  failureCount: number;
  /** True once a broken answer has been retried outside the retry budget. */
  hasContinued: boolean;
  attemptCount: number;
  /** True once an engine may have worked on it. */
  mayHaveRun: boolean;
  attempt: Attempt | undefined;
  /** KV cache that a decode engine can import. */
  kv: KvHandle | undefined;
  /** Timer of the latest start time while queued, and of the deadline while running. */
  timer: Timer | undefined;
  isPaused: boolean;
  /** True once paused for a slow caller; the answer's times are then not used as observations. */
  wasPaused: boolean;
  isClosed: boolean;
}

/** Decode steps needed to judge an engine's speed by an answer. */
const MIN_SLOWDOWN_STEPS = 4;
/** Largest slowdown taken from one answer; the smallest is its inverse. */
const MAX_SLOWDOWN = 10;

/** Returns the key under which answer lengths are learned: client account, model and urgency. */
export function getOutputKey(request: ModelRequest): string {
  return `${request.clientAccount}\n${request.model}\n${request.urgent ? 1 : 0}`;
}

/** Creates a request that has no engine yet. */
export function createOpenRequest(
  request: ModelRequest,
  sink: AnswerSink,
  options: {pool: EnginePool; outputTokens: number; nowMs: number},
): OpenRequest {
  return {
    request,
    sink,
    pool: options.pool,
    job: {
      promptTokens: request.promptTokens,
      outputTokens: options.outputTokens,
      isUrgent: request.urgent,
    },
    reorderBuffer: createReorderBuffer(),
    submittedAtMs: options.nowMs,
    releaseLimits: undefined,
    triedEngines: undefined,
    failureCount: 0,
    hasContinued: false,
    attemptCount: 0,
    mayHaveRun: false,
    attempt: undefined,
    kv: undefined,
    timer: undefined,
    isPaused: false,
    wasPaused: false,
    isClosed: false,
  };
}

/**
 * Returns the observed over the expected time between tokens; undefined if the answer was
 * paused or too short.
 */
export function tryGetSlowdown(
  entry: OpenRequest,
  attempt: Attempt,
  nowMs: number,
): number | undefined {
  const steps = entry.reorderBuffer.getNextIndex() - attempt.firstIndex - 1;
  if (entry.wasPaused || steps < MIN_SLOWDOWN_STEPS) return undefined;
  const stepMs = (nowMs - attempt.firstTokenAtMs) / steps;
  const ratio = stepMs / attempt.expectedStepMs;
  return Math.min(MAX_SLOWDOWN, Math.max(1 / MAX_SLOWDOWN, ratio));
}

/** Excludes an engine from further attempts of the request. */
export function addTriedEngine(entry: OpenRequest, engine: EngineEntry): void {
  entry.triedEngines ??= new Set();
  entry.triedEngines.add(engine.server.id);
}
