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

/** Observes what actually happens at an engine, independently of what it reports. */
export interface EngineObserver {
  /** A request was sent to the engine; it may be refused. */
  onOffered?(request: EngineRequest, isLeaving: boolean): void;
  /** A request entered the batch for the first time; from then on it counts as run. */
  onRun?(request: EngineRequest): void;
  /** A command took effect. `highestFencingNumber` is the highest number seen before it. */
  onCommand?(command: EngineCommand, highestFencingNumber: number): void;
  /** A role change began, which makes the engine unavailable, or ended. */
  onRoleChange?(isChanging: boolean): void;
}

/** Options of an engine model. Its costs default to `ENGINE_DEFAULTS`. */
export interface EngineModelOptions {
  readonly id: string;
  readonly address: string;
  readonly clock: Clock;
  readonly role?: EngineRole;
  readonly models?: readonly string[];
  /** Prompt tokens prefilled per second. */
  readonly prefillTokensPerS?: number;
  /** Time of one decode step with an empty batch, in milliseconds. */
  readonly decodeStepMs?: number;
  /** What each running request adds to a decode step, in milliseconds. */
  readonly decodeStepMsPerRequest?: number;
  readonly maxRunning?: number;
  /** KV memory of running requests and held exports, in pieces of 2,048 tokens. */
  readonly totalPieces?: number;
  /** Memory of the prefix cache, in pieces of 2,048 tokens, in addition to `totalPieces`. */
  readonly cachePieces?: number;
  /** Time for which a role change makes the engine unavailable, in milliseconds. */
  readonly roleChangeMs?: number;
  /** How long a model, an adapter or a version takes to load, in milliseconds. */
  readonly loadMs?: number;
  readonly checksFencing?: boolean;
  /** Age of the load reports, in milliseconds. */
  readonly reportLagMs?: number;
  /** Age of the prefix-cache events, in milliseconds. */
  readonly cacheEventLagMs?: number;
  /** Fraction of the prefix-cache events that is lost, 0 to 1. */
  readonly cacheEventLoss?: number;
  /** Maximum tokens of a request in one event; with 1, tokens are streamed one by one as from a real engine. */
  readonly tokensPerEvent?: number;
  /** Returns a number in [0, 1), which decides lost cache events and the role after a crash. */
  readonly getRandom?: () => number;
  /** Imports KV cache from the engine that holds it; returns false when it is no longer held. */
  readonly importKv?: (handle: KvHandle) => boolean;
  readonly observer?: EngineObserver;
}

/** The current state of an engine, without the lag of its reports. */
export interface EngineStatus {
  readonly role: EngineRole;
  readonly state: EngineState;
  /** True while any request is waiting, running or held for export. */
  readonly isBusy: boolean;
  readonly running: number;
  readonly waiting: number;
}

/** A simulated model engine with fault injection. */
export interface EngineModel {
  readonly id: string;
  start(request: EngineRequest, sink: EngineSink): EngineCall;
  resume(
    requestId: string,
    firstTokenIndex: number,
    sink: EngineSink,
  ): EngineCall;
  cancel(requestId: string): void;
  /** Takes a report and returns the newest one that is at least `reportLagMs` old. */
  getReport(): EngineReport;
  sendCommand(command: EngineCommand): Result<void, BackendFailure>;
  /** Lists the events after a sequence number that are `cacheEventLagMs` old; lost events never appear. */
  listCacheEvents(afterSequence: number): readonly CacheEvent[];
  /** Hands held KV cache to another engine and frees it; returns false when it is no longer held. */
  exportKv(id: string): boolean;
  /** Fails all answers; after `downtimeMs` the engine is back without any requests or KV cache, in its first or its last role. */
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

/** Maximum prompt tokens that a step prefills while other requests decode, by role. */
export const CHUNK_TOKENS_BY_ROLE = {
  [EngineRole.Prefill]: 1_024,
  [EngineRole.Decode]: 32,
  [EngineRole.Mixed]: 256,
} as const;
/** Maximum prompt tokens that a step prefills while no request decodes. */
export const PREFILL_ONLY_CHUNK_TOKENS = 2_048;
/** Tokens of KV cache imported per second, and the fixed time of an import. */
export const IMPORT_TOKENS_PER_S = 100_000;
export const IMPORT_SETUP_MS = 5;
/** How long an ended answer can be resumed, in milliseconds. */
export const ENDED_ANSWER_RETENTION_MS = 30_000;
/** How long KV cache is held for export, in milliseconds. */
export const EXPORT_RETENTION_MS = 5_000;
/** Maximum waiting and running requests, as a multiple of `maxRunning`. */
export const MAX_REQUESTS_PER_BATCH_SLOT = 4;
