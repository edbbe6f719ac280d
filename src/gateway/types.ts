/** Types of the gateway, which passes callers' HTTP requests on to backend servers. */
import type {Result} from 'ts-results';
import type {Verdict} from '../verdict';

/** What may be repeated of a request. */
export const RequestKind = {
  Idempotent: 'idempotent',
  NonIdempotent: 'non-idempotent',
  /** Answered by server-sent events of a model engine. */
  Stream: 'stream',
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** Which part of a model request an engine works on. */
export const EngineStage = {Prefill: 'prefill', Decode: 'decode'} as const;
export type EngineStage = (typeof EngineStage)[keyof typeof EngineStage];

/** A service that takes part of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Share of the route's requests relative to the other services. */
  readonly weight: number;
}

/** Where requests of one host and path prefix go. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time a caller is kept waiting for the end of an answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective of the whole answer, or of the first event of a stream, in milliseconds. */
  readonly objectiveMs: number;
  /** Longest pause between events for which a stream is on time, in milliseconds. */
  readonly pauseObjectiveMs: number;
  /** Rank among the routes; 0 is served first. */
  readonly rank: number;
  /** Most backend servers on which one request may run. */
  readonly maxServers: number;
  /** True when a stream may go on at another server after its last event. */
  readonly isResumable: boolean;
  readonly services: readonly WeightedService[];
}

/** Sizes of the model engines of a service. */
export interface EngineLimits {
  readonly maxRunning: number;
  /** KV memory, in tokens. */
  readonly kvTokens: number;
  readonly kvBytesPerToken: number;
  /** Bandwidth for KV transfers, in megabits a second. */
  readonly linkMbps: number;
  /** How long an engine is away when its stage changes, in milliseconds. */
  readonly stageChangeMs: number;
  /** How long a prefilled KV cache waits to be fetched, in milliseconds. */
  readonly handleLifetimeMs: number;
}

/** A service and what its servers bear. */
export interface BackendService {
  readonly name: string;
  readonly healthPath: string;
  /** Most connections that one server accepts from all callers together. */
  readonly maxConnections: number;
  /** Present when the servers are model engines. */
  readonly engine?: EngineLimits;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Limits where a configuration says none, or none is known; a large header and body of ordinary web servers. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** The operator's configuration. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly BackendService[];
  readonly limits: CallerLimits;
}

/** A backend server as service discovery shows it. */
export interface BackendEntry {
  /** Names one server; a restart mostly brings a new one. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly maxRunning: number;
  /** True when it takes no new requests. */
  readonly isLeaving: boolean;
  /** Present for model engines. */
  readonly stage?: EngineStage;
  /** Start of the process, in milliseconds since the Unix epoch; 0 when unknown. */
  readonly startedAtMs: number;
}

/** One part of a prompt. Requests with the same leading parts can share their KV cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Sizes of a model request. */
export interface ModelRequest {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** In order; the last one belongs to the request or its session alone. */
  readonly parts: readonly PromptPart[];
}

/** What a caller's headers say of a request. */
export interface CallerRequest {
  readonly requestId: string;
  /** How long the caller waits, in milliseconds; undefined when not said. */
  readonly deadlineMs?: number;
  /** Last event that the caller has of a stream it resumes. */
  readonly lastEventId?: string;
  readonly model?: ModelRequest;
}

/** KV cache of a prompt, held by the engine that prefilled it. */
export interface KvReference {
  readonly serverId: string;
  readonly host: string;
  readonly port: number;
  readonly handle: string;
}

/** What the gateway says to a backend server beside the caller's own headers. */
export interface SendOptions {
  /** Time that is left for the request, in milliseconds. */
  readonly deadlineMs: number;
  /** The server meant; another one at the same address refuses. */
  readonly serverId: string;
  /** Rank of the route, for model engines. */
  readonly rank?: number;
  /** True when only the prompt is read and the KV cache kept. */
  readonly isPrefillOnly?: boolean;
  readonly kv?: KvReference;
  /** Last event that was delivered, when a stream goes on at another server. */
  readonly lastEventId?: string;
}

/** What the head of a backend server's answer says. */
export interface AnswerHead {
  /** Id of the request that the server answers; undefined when not said. */
  readonly requestId?: string;
  /** True when the server vouches for the answer. */
  readonly isSealed: boolean;
  /** True when the server states that it did not run the request. */
  readonly isNotRun: boolean;
  /** True when the body is not what the server sent in plain. */
  readonly isEncoded: boolean;
}

/** What a server says of itself beside its answer. */
export interface ServerNotice {
  /** True when it leaves and takes no new requests. */
  readonly isLeaving: boolean;
  /** How long it wants nothing from this node, in milliseconds; 0 when it asks for no pause. */
  readonly pauseMs: number;
}

/** An engine's own view of its work, some hundred milliseconds old. */
export interface StageReport {
  readonly stage?: EngineStage;
  /** True while it carries out an order. */
  readonly isBusy: boolean;
  /** Orders that it has accepted since its start. */
  readonly acceptedOrders: number;
}

/** An order to an engine to work on another stage. */
export interface StageOrder {
  readonly serverId: string;
  readonly stage: EngineStage;
  readonly holder: string;
  readonly fencingNumber: number;
  /** The order is refused unless the engine has accepted this many before. */
  readonly acceptedOrders: number;
}

/** A call of the gateway's own to a backend server. */
export interface ControlCall {
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body?: Buffer;
}

/** The wire format between callers, gateway and backend servers. */
export interface BackendProtocol {
  parseCallerRequest(rawHeaders: readonly string[]): CallerRequest;
  /** Builds the headers for a backend server as a flat list of names and values. */
  buildHeaders(rawHeaders: readonly string[], options: SendOptions): string[];
  /** Builds the headers of an answer for the caller as a flat list. */
  buildAnswerHeaders(rawHeaders: readonly string[]): string[];
  parseAnswer(status: number, rawHeaders: readonly string[]): AnswerHead;
  /** Returns what the head of any answer says of its server, or undefined when it says nothing. */
  tryParseNotice(
    status: number,
    rawHeaders: readonly string[],
  ): ServerNotice | undefined;
  /** Returns the handle of a prefilled KV cache, or undefined when the answer is malformed. */
  parsePrefillAnswer(body: Buffer): string | undefined;
  /** Headers that tell the caller when to come back, as a flat list. */
  buildRetryHeaders(requestId: string, retryAfterMs: number): string[];
  /** Builds the call that frees a KV cache nobody will fetch. */
  buildReleaseCall(kv: KvReference): ControlCall;
  buildReportCall(serverId: string): ControlCall;
  /** Returns what a report says, or undefined when it is malformed. */
  parseReport(body: Buffer): StageReport | undefined;
  buildStageOrderCall(order: StageOrder): ControlCall;
}

/** A failed call of a backend server. */
export interface CallFailure {
  readonly verdict: Verdict;
  readonly reason: 'connect' | 'reset' | 'mismatch' | 'rejected' | 'stalled';
  /** Status of the server's answer, when it rejected the request. */
  readonly status?: number;
  readonly message: string;
}

/** Why a call to the store failed. */
export interface StoreFailure {
  readonly kind: 'unavailable' | 'expired' | 'conflict' | 'malformed';
  /** True when the call may have taken effect all the same. */
  readonly mayHaveTakenEffect: boolean;
  readonly message: string;
  /** With `expired`: the first offset that is still kept. */
  readonly firstOffset?: number;
}

/** A change of one entry of service discovery. */
export interface EntryChange {
  readonly id: string;
  /** Undefined when the entry is gone or names no usable server. */
  readonly entry?: BackendEntry;
}

/** The newest configuration and where to read on. */
export interface ConfigPage {
  /** Undefined when there is none. */
  readonly config?: GatewayConfig;
  readonly nextOffset: number;
}

/** All entries of service discovery, or changes of them, and where to read on. */
export interface EntryPage {
  readonly changes: readonly EntryChange[];
  readonly nextOffset: number;
}

/** A node of the gateway as it announces itself. */
export interface NodeRecord {
  readonly name: string;
  readonly host: string;
  /** UDP port for messages between nodes. */
  readonly peerPort: number;
  /** TCP port of the listener for other nodes. */
  readonly controlPort: number;
  readonly failureDomain: string;
}

/** The latest grant of authority over the engines' stages. */
export interface AuthorityState {
  /** Offset that the next grant gets. */
  readonly endOffset: number;
  readonly holder?: string;
}

/** What the gateway needs of the platform's store. */
export interface FleetStore {
  loadConfig(): Promise<Result<ConfigPage, StoreFailure>>;
  /** Waits up to `waitMs` for a configuration from an offset on. */
  waitForConfig(
    fromOffset: number,
    waitMs: number,
  ): Promise<Result<ConfigPage, StoreFailure>>;
  loadEntries(): Promise<Result<EntryPage, StoreFailure>>;
  readEntries(fromOffset: number): Promise<Result<EntryPage, StoreFailure>>;
  registerNode(node: NodeRecord): Promise<Result<void, StoreFailure>>;
  listNodes(): Promise<Result<readonly NodeRecord[], StoreFailure>>;
  readAuthority(): Promise<Result<AuthorityState, StoreFailure>>;
  /** Takes or renews authority if no other grant has come since `atOffset`; returns the fencing number. */
  claimAuthority(
    holder: string,
    atOffset: number,
  ): Promise<Result<number, StoreFailure>>;
}
