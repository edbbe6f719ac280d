/** Types of routing: from a request admitted to the backend calls that answer it. */
import type {
  BackendServer,
  CacheEvent,
  EngineClient,
  EngineEnd,
  EngineReport,
  TokenBatch,
} from '../backends';
import type {Clock} from '../runtime';
import type {ServerSelector} from '../state';
import type {RequestFailure} from '../verdict';
import type {FleetLimits} from './account_limiter';
import type {PeerWork} from './estimate';

/** A model request on its way to an engine. */
export interface ModelRequest {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly model: string;
  /** Absent in a replay. */
  readonly prompt?: string;
  readonly promptTokens: number;
  /** Most tokens to generate. */
  readonly maxTokens: number;
  /** When the answer must be complete, on the node's monotonic clock. */
  readonly deadlineAtMs: number;
  readonly urgent: boolean;
  /** Higher goes first among requests of the same urgency. */
  readonly priority: number;
  readonly idempotent: boolean;
  readonly prefixHashes: readonly string[];
  readonly prefixTokens: number;
  /** Engines that the client account may use for this request. */
  readonly engines: ServerSelector;
  /** Share of the client account under overload, against the other weights. */
  readonly weight: number;
  /** Limits of the client account over the whole fleet; none when omitted. */
  readonly limits?: FleetLimits;
}

/** Receives the answer. Nothing comes after `onEnd` or `onFailure`. */
export interface AnswerSink {
  onTokens(batch: TokenBatch): void;
  onEnd(end: AnswerEnd): void;
  onFailure(failure: RequestFailure): void;
}

/** End of a complete answer. */
export interface AnswerEnd extends EngineEnd {
  /** Engine that gave the last token. */
  readonly engine: string;
}

/** A request in progress. */
export interface RequestHandle {
  /** The caller went away: nobody waits for the answer any more. */
  cancel(): void;
  /** Holds the answer back for a slow caller. */
  setPaused(isPaused: boolean): void;
  /** Returns the engine that is answering, if any. */
  tryGetEngine(): string | undefined;
}

/** An event for the time line. */
export interface RoutingEvent {
  readonly kind: string;
  readonly requestId?: string;
  readonly clientAccount?: string;
  readonly engine?: string;
  /** Why, for a person. */
  readonly cause: string;
}

/** What the dispatcher uses of the outside. */
export interface DispatcherHost {
  readonly clock: Clock;
  /** Returns the client of an engine. */
  getEngineClient(engine: string): EngineClient;
  /** Returns a number from 0 up to and without 1. */
  getRandom(): number;
  emitEvent(event: RoutingEvent): void;
  /** Returns the number of live nodes, this one included; 1 when omitted. */
  getNodeCount?(): number;
  /** Returns the work that other nodes' digests show at an engine. */
  tryGetPeerWork?(engine: string): PeerWork | undefined;
}

/** Counts of what a dispatcher has done since it started. */
export interface DispatcherCounts {
  readonly requests: number;
  /** Sendings of whole requests or of their first part to an engine. */
  readonly attempts: number;
  readonly retries: number;
  readonly refused: number;
  readonly ejections: number;
  /** Engine events that belonged to no running attempt. */
  readonly lateEvents: number;
  /** Answers whose missing tokens were asked for again. */
  readonly resumed: number;
}

/** Work that this node has at an engine, for digests to other nodes. */
export interface LocalEngineWork {
  readonly engine: string;
  readonly requests: number;
  readonly prefillTokens: number;
  readonly decodeTokens: number;
}

/** Sends model requests to engines. */
export interface Dispatcher {
  submit(request: ModelRequest, sink: AnswerSink): RequestHandle;
  /** Replaces the set of backend servers. */
  updateServers(servers: readonly BackendServer[]): void;
  /** Takes a load report. */
  updateReport(report: EngineReport): void;
  /** Takes prefix-cache events of an engine, in any order and with gaps. */
  updateCacheEvents(engine: string, events: readonly CacheEvent[]): void;
  /** Returns the sequence after which cache events of an engine are wanted. */
  getCacheSequence(engine: string): number;
  getCounts(): DispatcherCounts;
  /** Lists this node's work at each engine that has any. */
  listLocalWork(): readonly LocalEngineWork[];
  /** Returns the number of requests that wait. */
  getWaitingCount(): number;
  /** Returns the number of requests that wait or run. */
  getOpenCount(): number;
  /** Refuses everything new; resolves when nothing is open. */
  drain(): Promise<void>;
}
