/** Types, options and cost constants of the model engine stand-in. */
import type {Result} from 'ts-results';
import {
  type BackendFailure,
  type CacheEvent,
  type EngineCall,
  type EngineCommand,
  type EngineReport,
  type EngineRequest,
  EngineRole,
  type EngineSink,
  type EngineState,
  type KvHandle,
} from '../backends';
import type {Clock} from '../runtime';

/** Hears what truly happened at an engine, whatever its callers believe. */
export interface EngineObserver {
  /** A request was sent to the engine; it may be refused. */
  onOffered?(request: EngineRequest, isLeaving: boolean): void;
  /** A request entered the batch: from here on it has run. */
  onRun?(request: EngineRequest): void;
  /** A command took effect. `highest` is the highest fencing number seen before it. */
  onCommand?(command: EngineCommand, highestFencingNumber: number): void;
  /** A role change took the engine away, or has ended. */
  onRoleChange?(isChanging: boolean): void;
}

/** Options of an engine model. Its costs default to `ENGINE_DEFAULTS`. */
export interface EngineModelOptions {
  readonly id: string;
  readonly address: string;
  readonly clock: Clock;
  readonly role?: EngineRole;
  readonly models?: readonly string[];
  /** Prompt tokens prefilled a second. */
  readonly prefillTokensPerS?: number;
  /** Time of one decode step with an empty batch, in milliseconds. */
  readonly decodeStepMs?: number;
  /** What each running request adds to a decode step, in milliseconds. */
  readonly decodeStepMsPerRequest?: number;
  readonly maxRunning?: number;
  /** KV memory of running requests and held exports, in pieces of 2,048 tokens. */
  readonly totalPieces?: number;
  /** Memory of the prefix cache, in pieces of 2,048 tokens; beside `totalPieces`. */
  readonly cachePieces?: number;
  /** How long a role change takes the engine away, in milliseconds. */
  readonly roleChangeMs?: number;
  /** How long a model, an adapter or a version takes to load, in milliseconds. */
  readonly loadMs?: number;
  readonly checksFencing?: boolean;
  /** Age of the load reports, in milliseconds. */
  readonly reportLagMs?: number;
  /** Age of the prefix-cache events, in milliseconds. */
  readonly cacheEventLagMs?: number;
  /** Part of the prefix-cache events that never arrives, 0 to 1. */
  readonly cacheEventLoss?: number;
  /** Most tokens of one request in one event; 1 makes a stream look real. */
  readonly tokensPerEvent?: number;
  /** Decides lost cache events and the role after a crash; 0 up to and without 1. */
  readonly getRandom?: () => number;
  /** Takes KV cache from the engine that holds it; false when it is gone. */
  readonly importKv?: (handle: KvHandle) => boolean;
  readonly observer?: EngineObserver;
}

/** The true state of an engine, for observers. */
export interface EngineStatus {
  readonly role: EngineRole;
  readonly state: EngineState;
  /** True while any request is waiting, running or held for export. */
  readonly isBusy: boolean;
  readonly running: number;
  readonly waiting: number;
}

/** A model engine with faults that can be ordered. */
export interface EngineModel {
  readonly id: string;
  start(request: EngineRequest, sink: EngineSink): EngineCall;
  resume(
    requestId: string,
    firstTokenIndex: number,
    sink: EngineSink,
  ): EngineCall;
  cancel(requestId: string): void;
  /** Returns the newest report that is at least `reportLagMs` old. */
  getReport(): EngineReport;
  sendCommand(command: EngineCommand): Result<void, BackendFailure>;
  /** Lists events after a sequence that have come out; some never do. */
  listCacheEvents(afterSequence: number): readonly CacheEvent[];
  /** Gives held KV cache to another engine and frees it; false when it is gone. */
  exportKv(id: string): boolean;
  /** Breaks every answer; the engine comes back empty, in its first or its last role. */
  crash(downtimeMs: number): void;
  setLeaving(isLeaving: boolean): void;
  /** False while it is down after a crash. */
  isUp(): boolean;
  /** Returns its state now, without the lag of a report. */
  getStatus(): EngineStatus;
}

/**
 * Costs of the stand-in, in the range of a model of about 8 billion parameters
 * on one accelerator. A step of the batch takes
 * `decodeStepMs + decodeStepMsPerRequest * decoding + prefilled / prefillTokensPerS`,
 * without the first term when nothing decodes.
 */
export const ENGINE_DEFAULTS = {
  prefillTokensPerS: 16_000,
  decodeStepMs: 12,
  decodeStepMsPerRequest: 0.8,
  maxRunning: 48,
  totalPieces: 192,
  cachePieces: 64,
  roleChangeMs: 4_000,
  loadMs: 500,
  tokensPerEvent: 1,
};

/** Most prompt tokens that a step prefills while other requests decode, by role. */
export const CHUNK_TOKENS_BY_ROLE = {
  [EngineRole.Prefill]: 1_024,
  [EngineRole.Decode]: 32,
  [EngineRole.Mixed]: 256,
} as const;
/** Most prompt tokens that a step prefills while nothing decodes. */
export const PREFILL_ONLY_CHUNK_TOKENS = 2_048;
/** KV cache imported a second, in tokens, and the fixed time of an import. */
export const IMPORT_TOKENS_PER_S = 100_000;
export const IMPORT_SETUP_MS = 5;
/** How long an ended answer can be resumed, in milliseconds. */
export const ENDED_ANSWER_RETENTION_MS = 30_000;
/** How long KV cache is held for export, in milliseconds. */
export const EXPORT_RETENTION_MS = 5_000;
/** Requests that may wait, as a multiple of the batch. */
export const MAX_REQUESTS_PER_BATCH_SLOT = 4;
