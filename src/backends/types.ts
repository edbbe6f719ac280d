/** Types of the clients of backend servers: model engines and plain services. */
import type {Result} from 'ts-results';
import type {Verdict} from '../verdict';

/** Which phases of a request a model engine runs. */
export const EngineRole = {
  Prefill: 'prefill',
  Decode: 'decode',
  Mixed: 'mixed',
} as const;
export type EngineRole = (typeof EngineRole)[keyof typeof EngineRole];

/** State of a model engine; tells whether it accepts new requests. */
export const EngineState = {
  Ready: 'ready',
  /** Finishes the requests that it has and accepts no new ones. */
  Draining: 'draining',
  ChangingRole: 'changing_role',
  Loading: 'loading',
  Leaving: 'leaving',
} as const;
export type EngineState = (typeof EngineState)[keyof typeof EngineState];

/** Number of tokens in one piece, the unit of allocation of an engine's KV cache memory. */
export const TOKENS_PER_PIECE = 2_048;

/** A backend server as listed by the platform or by the settings. */
export interface BackendServer {
  readonly id: string;
  readonly kind: 'model_engine' | 'service';
  /** Base address, such as `http://127.0.0.1:9001`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly building: string;
  /** Name of the plain service, with kind `service`. */
  readonly service?: string;
  /** True when it refuses commands with an old fencing number. */
  readonly checksFencing: boolean;
  /** True when the platform's list shows it as leaving. */
  readonly isLeaving: boolean;
}

/** A model engine's report of its load and state. It may be several seconds old. */
export interface EngineReport {
  readonly engine: string;
  /** Number of this report, counted from the start of the engine. */
  readonly sequence: number;
  /** Identifies the engine's process; changes when it restarts after a crash. */
  readonly incarnation: string;
  readonly role: EngineRole;
  readonly state: EngineState;
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly version: string;
  /** Number of requests in the batch. */
  readonly running: number;
  /** Number of requests that wait to enter the batch. */
  readonly waiting: number;
  /** Prompt tokens not yet prefilled, of running and waiting requests. */
  readonly prefillTokens: number;
  /** Tokens that running and waiting requests may still generate. */
  readonly decodeTokens: number;
  readonly freePieces: number;
  readonly totalPieces: number;
  /** Prompt tokens that the engine prefills per second when it does nothing else. */
  readonly prefillTokensPerS: number;
  /** Time of one decode step with an empty batch, in milliseconds. */
  readonly decodeStepMs: number;
  /** Time that each running request adds to a decode step, in milliseconds. */
  readonly decodeStepMsPerRequest: number;
  readonly maxRunning: number;
  /** Highest fencing number that the engine has accepted; 0 when none. */
  readonly fencingNumber: number;
}

/** Reference to a KV cache that a prefill engine holds for export. */
export interface KvHandle {
  readonly engine: string;
  /** Base address of the engine that exports the KV cache. */
  readonly address: string;
  readonly id: string;
  readonly tokens: number;
}

/** A request to a model engine. */
export interface EngineRequest {
  readonly requestId: string;
  readonly model: string;
  readonly adapter?: string;
  /** Absent in a replay. */
  readonly prompt?: string;
  readonly promptTokens: number;
  /** Maximum number of tokens to generate. */
  readonly maxTokens: number;
  /** Requests with a higher value go first. */
  readonly priority: number;
  /** `prefill` stops after the first token and keeps the KV cache for export. */
  readonly phase: 'full' | 'prefill' | 'decode';
  /** KV cache to import, with phase `decode`. */
  readonly kv?: KvHandle;
  /** Index of the first token to send; those before it have been delivered. */
  readonly firstTokenIndex: number;
  /** Text of the delivered tokens, from which the engine continues. */
  readonly deliveredText?: string;
  /** Hashes of the prompt's leading blocks; each also covers all blocks before it. */
  readonly prefixHashes: readonly string[];
  /** Prompt tokens that `prefixHashes` cover. */
  readonly prefixTokens: number;
}

/** Consecutive tokens of an answer. */
export interface TokenBatch {
  readonly firstIndex: number;
  readonly count: number;
  /** Text of the tokens; empty in a replay. */
  readonly text: string;
  /**
   * When the first and last of them were generated, on the client's monotonic clock; over HTTP,
   * when they arrived.
   */
  readonly firstAtMs: number;
  readonly lastAtMs: number;
}

/** End of an answer from a model engine. */
export interface EngineEnd {
  readonly finishReason: 'stop' | 'length' | 'prefilled';
  readonly promptTokens: number;
  /** Prompt tokens that came from the prefix cache. */
  readonly cachedTokens: number;
  readonly generatedTokens: number;
  /** With `prefilled`: the KV cache that a decode engine can import. */
  readonly kv?: KvHandle;
}

/** A failed call to a backend server. */
export interface BackendFailure {
  readonly kind:
    | 'refused'
    | 'overloaded'
    | 'unavailable'
    | 'broken'
    | 'timeout'
    | 'cancelled'
    | 'stale-command';
  readonly verdict: Verdict;
  readonly message: string;
}

/** Receives a model engine's answer. Nothing comes after `onEnd` or `onFailure`. */
export interface EngineSink {
  onTokens(batch: TokenBatch): void;
  onEnd(end: EngineEnd): void;
  onFailure(failure: BackendFailure): void;
}

/** A request in progress at a model engine. */
export interface EngineCall {
  /** Tells the engine to stop; the sink receives nothing more. */
  cancel(): void;
  /** Pauses or resumes reading the answer, as backpressure for a slow caller. */
  setPaused(isPaused: boolean): void;
}

/** A change that a model engine is ordered to make. */
export type EngineOrder =
  | {readonly kind: 'set-role'; readonly role: EngineRole}
  | {readonly kind: 'load-model'; readonly model: string}
  | {readonly kind: 'unload-model'; readonly model: string}
  | {readonly kind: 'load-adapter'; readonly adapter: string}
  | {readonly kind: 'set-version'; readonly version: string}
  | {readonly kind: 'set-draining'; readonly isDraining: boolean};

/** A command: an order with the fencing number that authorizes it. */
export interface EngineCommand {
  readonly id: string;
  /** Offset of the log record that granted the sender's lease. */
  readonly fencingNumber: number;
  readonly order: EngineOrder;
}

/** A prefix-cache event. Events arrive late, and their sequence numbers may have gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  readonly hashes: readonly string[];
}

/** Client of one model engine. */
export interface EngineClient {
  start(request: EngineRequest, sink: EngineSink): EngineCall;
  /** Resumes an answer that the engine still holds, from a token index on. */
  resume(
    requestId: string,
    firstTokenIndex: number,
    sink: EngineSink,
  ): EngineCall;
  getReport(): Promise<Result<EngineReport, BackendFailure>>;
  sendCommand(command: EngineCommand): Promise<Result<void, BackendFailure>>;
  listCacheEvents(
    afterSequence: number,
  ): Promise<Result<readonly CacheEvent[], BackendFailure>>;
  /** Closes every connection, so that nothing written before this call reaches the engine later. */
  close(): void;
}

/** A request to a plain service. */
export interface ServiceRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path below the service's base address, with its query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Longest wait for the whole answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** Answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Client of the plain services. */
export interface ServiceClient {
  call(
    server: BackendServer,
    request: ServiceRequest,
    signal?: AbortSignal,
  ): Promise<Result<ServiceAnswer, BackendFailure>>;
}
