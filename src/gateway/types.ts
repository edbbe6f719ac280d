/** Types of the gateway, which forwards callers' HTTP requests to backend servers. */
import type {Result} from 'ts-results';
import type {ClientAccount} from '../accounts';
import type {ScalingLimits} from '../scaling';
import type {Verdict} from '../verdict';
import type {QuarantineRecord} from './part_quarantine';

/** Kind of a route's requests; decides whether a request may be sent again after a failure. */
export const RequestKind = {
  Idempotent: 'idempotent',
  NonIdempotent: 'non-idempotent',
  /** A request to a model engine, answered with server-sent events. */
  Stream: 'stream',
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** Phase of model requests that an engine works on: prefill processes the prompt, decode generates the output tokens. */
export const EngineStage = {Prefill: 'prefill', Decode: 'decode'} as const;
export type EngineStage = (typeof EngineStage)[keyof typeof EngineStage];

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Share of the route's requests relative to the other services. */
  readonly weight: number;
}

/** A routing rule for the requests of one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time a caller waits for the complete response, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective for the complete response, or for the first event of a stream, in milliseconds. */
  readonly objectiveMs: number;
  /** Longest gap between two events with which a stream still meets its objective, in milliseconds. */
  readonly pauseObjectiveMs: number;
  /** Priority among the routes; 0 is served first. */
  readonly rank: number;
  /** Maximum number of backend servers that may run one request, retries included. */
  readonly maxServers: number;
  /** True when an interrupted stream may be continued by another server, from its last delivered event. */
  readonly isResumable: boolean;
  /** True when callers need no API key. */
  readonly isPublic?: boolean;
  readonly services: readonly WeightedService[];
}

/** Capacity limits of each model engine of a service, as the operator configures them. The type of the same name in `src/routing` limits the work that a node sends to an engine. */
export interface EngineLimits {
  readonly maxRunning: number;
  /** Capacity of the KV cache, in tokens. */
  readonly kvTokens: number;
  readonly kvBytesPerToken: number;
  /** Bandwidth for KV cache transfers, in megabits per second. */
  readonly linkMbps: number;
  /** How long an engine serves nothing while it changes its stage, in milliseconds. */
  readonly stageChangeMs: number;
  /** How long an engine keeps a prefilled KV cache that nobody has fetched, in milliseconds. */
  readonly handleLifetimeMs: number;
}

/** A service and the limits of its backend servers. */
export interface BackendService {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections that one server accepts from all its clients together. */
  readonly maxConnections: number;
  /** Present if the servers are model engines. */
  readonly engine?: EngineLimits;
  /** Present if the servers are ordered and billed by the second. */
  readonly scaling?: ScalingLimits;
}

/** Size limits and time-outs for callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Limits used until a configuration is loaded and where it sets none. The sizes are at the upper end of what ordinary web servers accept. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** The configuration written by the operator. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly BackendService[];
  readonly limits: CallerLimits;
  /** The client accounts; absent when callers need no API keys. */
  readonly accounts?: readonly ClientAccount[];
}

/** A backend server as listed in service discovery. */
export interface BackendEntry {
  /** Identifies one server; a restarted server usually has a new id. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly maxRunning: number;
  /** True when the server is draining and accepts no new requests. */
  readonly isLeaving: boolean;
  /** Present for model engines. */
  readonly stage?: EngineStage;
  /** Start time of the server's process, in milliseconds since the Unix epoch; 0 when unknown. */
  readonly startedAtMs: number;
  /** True when the platform may take the server away at short notice. */
  readonly isReclaimable?: boolean;
  /** Time until a server that is leaving ends, in milliseconds, where it states one. */
  readonly leavesInMs?: number;
}

/** One part of a prompt. Requests with the same leading parts can share the KV cache of those parts. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Token counts of a model request. */
export interface ModelRequest {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** In prompt order; the last part belongs to this request or its session only. */
  readonly parts: readonly PromptPart[];
}

/** Request metadata from a caller's headers. */
export interface CallerRequest {
  readonly requestId: string;
  /** How long the caller waits for the response, in milliseconds; undefined when not stated. */
  readonly deadlineMs?: number;
  /** Id of the last event that the caller received, when it resumes a stream. */
  readonly lastEventId?: string;
  readonly model?: ModelRequest;
  /** Digest of the API key that the caller sent. */
  readonly keyDigest?: string;
}

/** Reference to the KV cache of a prompt, held by the engine that prefilled it. */
export interface KvReference {
  readonly serverId: string;
  readonly host: string;
  readonly port: number;
  readonly handle: string;
}

/** Values that the gateway sends to a backend server in addition to the caller's headers. */
export interface SendOptions {
  /** Time remaining for the request, in milliseconds. */
  readonly deadlineMs: number;
  /** Id of the intended server; a different server at the same address rejects the request. */
  readonly serverId: string;
  /** Set when the configuration has client accounts: the headers that concern them are the system's to set. */
  readonly account?: {
    /** Absent for callers of a public route without a known key. */
    readonly name?: string;
  };
  /** Rank of the account or the route; sent to model engines only. */
  readonly rank?: number;
  /** True when the engine only prefills the prompt and keeps its KV cache. */
  readonly isPrefillOnly?: boolean;
  readonly kv?: KvReference;
  /** Id of the last delivered event, when a stream is continued by another server. */
  readonly lastEventId?: string;
}

/** Information in the status and headers of a backend server's response. */
export interface AnswerHead {
  /** Id of the request that the response belongs to; undefined when not stated. */
  readonly requestId?: string;
  /** True when the response carries the seal with which a server confirms it as its own. */
  readonly isSealed: boolean;
  /** True when the server states that it did not execute the request. */
  readonly isNotRun: boolean;
  /** True when the body has a content encoding, so that it is not the server's plain body. */
  readonly isEncoded: boolean;
}

/** Status that a server reports about itself in the head of any response. */
export interface ServerNotice {
  /** True when the server is draining and accepts no new requests. */
  readonly isLeaving: boolean;
  /** How long this node should send the server no requests, in milliseconds; 0 when it requests no pause. */
  readonly pauseMs: number;
  /** Requests per second that the server takes from all nodes together, until an answer no longer states it. */
  readonly limitPerS?: number;
  /** Text of a stated limit that is not a number. */
  readonly malformedLimit?: string;
}

/** An engine's report on its stage; can be a few hundred milliseconds old. */
export interface StageReport {
  readonly stage?: EngineStage;
  /** True while the engine carries out a stage order. */
  readonly isBusy: boolean;
  /** Number of orders that the engine has accepted since its start. */
  readonly acceptedOrders: number;
  /** Start of the engine's process, as in its entry; 0 when it does not state it. */
  readonly startedAtMs: number;
  /** Number of requests that wait at the engine; absent when it does not state it. */
  readonly waitingCount?: number;
}

/** An order that switches an engine to another stage. */
export interface StageOrder {
  readonly serverId: string;
  readonly stage: EngineStage;
  readonly holder: string;
  readonly fencingNumber: number;
  /** Precondition: the engine refuses the order unless it has accepted exactly this many orders before. */
  readonly acceptedOrders: number;
}

/** A request that the gateway itself makes to a backend server, not on behalf of a caller. */
export interface ControlCall {
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly body?: Buffer;
}

/** The wire format between callers, the gateway and backend servers. */
export interface BackendProtocol {
  parseCallerRequest(rawHeaders: readonly string[]): CallerRequest;
  /** Builds the headers for a backend server as a flat list of names and values. */
  buildHeaders(rawHeaders: readonly string[], options: SendOptions): string[];
  /** Builds the response headers for the caller as a flat list of names and values. */
  buildAnswerHeaders(rawHeaders: readonly string[]): string[];
  parseAnswer(status: number, rawHeaders: readonly string[]): AnswerHead;
  /** Returns the server's notice in the head of a response, or undefined when there is none. */
  tryParseNotice(
    status: number,
    rawHeaders: readonly string[],
  ): ServerNotice | undefined;
  /** Returns the handle of a prefilled KV cache, or undefined when the response is malformed. */
  parsePrefillAnswer(body: Buffer): string | undefined;
  /** Builds the headers that tell the caller when to retry, as a flat list of names and values. */
  buildRetryHeaders(requestId: string, retryAfterMs: number): string[];
  /** Builds the call that frees a KV cache which no engine will fetch. */
  buildReleaseCall(kv: KvReference): ControlCall;
  buildReportCall(serverId: string): ControlCall;
  buildHealthCall(serverId: string, healthPath: string): ControlCall;
  /** Returns the parsed report, or undefined when it is malformed. */
  parseReport(body: Buffer): StageReport | undefined;
  buildStageOrderCall(order: StageOrder): ControlCall;
}

/** The connection of a call, and when its answer came. */
export interface CallEvidence {
  /** Number of the connection, counted by this node. */
  readonly connection: number;
  /** Number of answers that the connection had carried before the request was sent. */
  readonly answersBefore: number;
  /** Time from the sending of the request to the head of its answer, in milliseconds; absent when none came. */
  readonly answerAfterMs?: number;
}

/** A failed call to a backend server. */
export interface CallFailure {
  readonly verdict: Verdict;
  /** `stalled`: the server does not respond; `late`: it responds, but has not completed the call; `moved`: another server takes the call, through no fault of this one. */
  readonly reason:
    | 'connect'
    | 'reset'
    | 'mismatch'
    | 'rejected'
    | 'stalled'
    | 'late'
    | 'moved';
  /** HTTP status of the response, when the server rejected the request. */
  readonly status?: number;
  /** Present when the caller has part of an answer that no other server can continue. */
  readonly isFinal?: boolean;
  /** Absent when the request was not sent. */
  readonly evidence?: CallEvidence;
  /** Whether the answer carried a request id; absent when none came. */
  readonly hasRequestId?: boolean;
  readonly message: string;
}

/** Why a call to the store failed. */
export interface StoreFailure {
  readonly kind: 'unavailable' | 'expired' | 'conflict' | 'malformed';
  /** True when the call may have taken effect despite the failure. */
  readonly mayHaveTakenEffect: boolean;
  readonly message: string;
  /** Set for `expired`: the first offset that the store still keeps. */
  readonly firstOffset?: number;
}

/** A change to one entry of service discovery. */
export interface EntryChange {
  readonly id: string;
  /** Undefined when the entry was removed or describes no usable server. */
  readonly entry?: BackendEntry;
  /** True when there is an entry that describes no usable server. */
  readonly isUnusable?: true;
}

/** The newest configuration and the offset at which to continue reading. */
export interface ConfigPage {
  /** Undefined when there is none. */
  readonly config?: GatewayConfig;
  readonly nextOffset: number;
  /** Era of the store to which the offset belongs; 0 when absent. */
  readonly era?: number;
}

/** All entries of service discovery, or changes to them, and the offset at which to continue reading. */
export interface EntryPage {
  readonly changes: readonly EntryChange[];
  readonly nextOffset: number;
  /** Era of the store to which the offset belongs; 0 when absent. */
  readonly era?: number;
}

/** A gateway node as it registers itself in the store. */
export interface NodeRecord {
  readonly name: string;
  readonly host: string;
  /** UDP port for messages between nodes. */
  readonly peerPort: number;
  /** TCP port of the control listener, which other nodes call. */
  readonly controlPort: number;
  readonly failureDomain: string;
}

/** The stored prompt parts that are kept away from engines, and the offset of the next change. */
export interface QuarantinePage {
  readonly records: readonly QuarantineRecord[];
  readonly endOffset: number;
  /** Era of the store to which the offset belongs; 0 when absent. */
  readonly era?: number;
}

/** The latest grant of authority to change the engines' stages. */
export interface AuthorityState {
  /** Offset at which the next grant will be appended. */
  readonly endOffset: number;
  readonly holder?: string;
  /** Era of the store to which the offset belongs; 0 when absent. */
  readonly era?: number;
  /** True when the store may have lost later grants, which may be valid still: no grant was made in its present era. */
  readonly mayLackGrants?: boolean;
}

/** Operations of the platform's store that the gateway uses. */
export interface FleetStore {
  /** Returns the highest known era of the store, which rises when the store loses its newest records; 0 when it states none. */
  getEra(): number;
  /** Raises the highest known era to that of another node; answers of lower eras are failures. */
  observeEra(era: number): void;
  loadConfig(): Promise<Result<ConfigPage, StoreFailure>>;
  /** Reads the newest configuration at or after an offset; waits up to `waitMs` for one. Fails with `expired` when the offset belongs to an earlier era. */
  waitForConfig(
    fromOffset: number,
    waitMs: number,
    offsetEra?: number,
  ): Promise<Result<ConfigPage, StoreFailure>>;
  /** Loads the entries of all servers; `onPart` is called with each part of a long list but the last when it arrives. */
  loadEntries(
    onPart?: (part: EntryPage) => void,
  ): Promise<Result<EntryPage, StoreFailure>>;
  readEntries(
    fromOffset: number,
    offsetEra?: number,
  ): Promise<Result<EntryPage, StoreFailure>>;
  registerNode(node: NodeRecord): Promise<Result<void, StoreFailure>>;
  listNodes(): Promise<Result<readonly NodeRecord[], StoreFailure>>;
  /** Reads the latest grant, from an offset on that is not after it, or from the first one kept. */
  readAuthority(
    fromOffset?: number,
  ): Promise<Result<AuthorityState, StoreFailure>>;
  /** Acquires or renews authority if the log of grants still ends at `expectedEndOffset`, and fails with `conflict` if not; returns the fencing number. */
  claimAuthority(
    holder: string,
    expectedEndOffset: number,
    offsetEra?: number,
  ): Promise<Result<number, StoreFailure>>;
  loadQuarantine(): Promise<Result<QuarantinePage, StoreFailure>>;
  /** Stores a part, or deletes it when it is no longer active, if the log of changes still ends at `expectedEndOffset`, and fails with `conflict` if not; returns the offset of the change. */
  appendQuarantine(
    entry: QuarantineRecord & {readonly isActive: boolean},
    expectedEndOffset: number,
    offsetEra?: number,
  ): Promise<Result<number, StoreFailure>>;
}
