/** A request that waits or runs, and its attempts. */
import type {EngineCall, KvHandle} from '../backends';
import type {Timer} from '../runtime';
import {type ReorderBuffer, createReorderBuffer} from './reorder_buffer';
import type {AttemptWork} from './engine_load';
import type {EngineEntry, EnginePool} from './engine_table';
import type {Job} from './estimate';
import type {AnswerSink, ModelRequest} from './types';

/** Part of a request that one engine does. */
export type Phase = 'full' | 'prefill' | 'decode';

/** One sending of a request to an engine. */
export interface Attempt {
  readonly engine: EngineEntry;
  readonly phase: Phase;
  readonly work: AttemptWork;
  readonly startedAtMs: number;
  /** Predicted time of completion before its correction, in milliseconds. */
  readonly predictedMs: number;
  /** Reported time of a decode step when the attempt began, in milliseconds. */
  readonly expectedStepMs: number;
  readonly firstIndex: number;
  firstTokenAtMs: number;
  call: EngineCall | undefined;
  /** True once the missing end of the answer has been asked for again. */
  isResumed: boolean;
}

/** A request between submission and its one answer. */
export interface OpenRequest {
  readonly request: ModelRequest;
  readonly sink: AnswerSink;
  pool: EnginePool;
  readonly job: Job;
  readonly reorderBuffer: ReorderBuffer;
  readonly submittedAtMs: number;
  /** Returns the place that the client account's limits gave. */
  releaseLimits: (() => void) | undefined;
  /** Engines that failed it or have done their part: an engine refuses a request it knows. */
  triedEngines: Set<string> | undefined;
  failureCount: number;
  /** True once an answer that broke off has gone on elsewhere. */
  hasContinued: boolean;
  attemptCount: number;
  /** True once an engine may have worked on it. */
  mayHaveRun: boolean;
  attempt: Attempt | undefined;
  /** KV cache that waits for a decode engine. */
  kv: KvHandle | undefined;
  timer: Timer | undefined;
  isPaused: boolean;
  /** True once a slow caller has held the answer back. */
  wasPaused: boolean;
  isClosed: boolean;
}

/** Fewest decode steps that tell an engine's speed. */
const MIN_SLOWDOWN_STEPS = 4;
/** Bound of one observation of an engine's slowness. */
const MAX_SLOWDOWN = 10;

/** Returns the key under which lengths of answers are learned. */
export function getOutputKey(request: ModelRequest): string {
  return `${request.clientAccount}\n${request.model}\n${request.urgent ? 1 : 0}`;
}

/** Creates a request that has not been placed. */
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

/** Returns observed over expected time between tokens; undefined when it tells nothing. */
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

/** Spares an engine the request from now on. */
export function addTriedEngine(entry: OpenRequest, engine: EngineEntry): void {
  entry.triedEngines ??= new Set();
  entry.triedEngines.add(engine.server.id);
}
