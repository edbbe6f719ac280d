/** Types of routing: how a model request gets to the engines that answer it. */
import type {
  BackendServer,
  CacheEvent,
  EngineClient,
  EngineEnd,
  EngineReport,
  EngineRole,
  TokenBatch,
} from '../backends';
import type {Clock} from '../runtime';
import type {ServerSelector} from '../state';
import type {RequestFailure} from '../verdict';
import type {FleetLimits} from './account_limiter';
import type {DigestWork} from './estimate';

/** A model request to be sent to an engine. */
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
  /** Chained hashes of the prompt's leading blocks; see `PrefixHashes`. */
  readonly prefixHashes: readonly string[];
  /** Prompt tokens that `prefixHashes` cover. */
  readonly prefixTokens: number;
  /** Engines that the client account may use for this request. */
  readonly engines: ServerSelector;
  /** Weight of the client account in fair sharing under overload. */
  readonly weight: number;
  /** Fleet-wide limits of the client account; unlimited when omitted. */
  readonly limits?: FleetLimits;
}

/** Receives the answer. No further call follows `onEnd` or `onFailure`. */
export interface AnswerSink {
  onTokens(batch: TokenBatch): void;
  onEnd(end: AnswerEnd): void;
  onFailure(failure: RequestFailure): void;
}

/** End of a complete answer. */
export interface AnswerEnd extends EngineEnd {
  /** Engine that generated the last token. */
  readonly engine: string;
}

/** A request in progress. */
export interface RequestHandle {
  /** Cancels the request because its caller no longer waits; the sink gets no further calls. */
  cancel(): void;
  /** Stops or resumes reading the answer from the engine, for a slow caller. */
  setPaused(isPaused: boolean): void;
  /** Returns the engine of the running attempt, if any. */
  tryGetEngine(): string | undefined;
}

/** An event for the timeline. */
export interface RoutingEvent {
  readonly kind: string;
  readonly requestId?: string;
  readonly clientAccount?: string;
  readonly engine?: string;
  /** Human-readable cause. */
  readonly cause: string;
}

/** What a dispatcher uses from its node. */
export interface DispatcherHost {
  readonly clock: Clock;
  /** Returns the client of an engine. */
  getEngineClient(engine: string): EngineClient;
  /** Returns a random number in [0, 1). */
  getRandom(): number;
  emitEvent(event: RoutingEvent): void;
  /** Returns the number of live nodes, including this one; 1 when omitted. */
  getNodeCount?(): number;
  /** Returns the work of other nodes at an engine according to their digests, if known. */
  tryGetDigestWork?(engine: string): DigestWork | undefined;
}

/** Counts since the dispatcher started. */
export interface DispatcherCounts {
  readonly requests: number;
  /** Attempts that run a whole request or its prefill; decodes after a prefill are not counted. */
  readonly attempts: number;
  readonly retries: number;
  /** Requests that ended with a failure, with or without an attempt. */
  readonly refused: number;
  readonly ejections: number;
  /** Engine events that arrived after their attempt was over. */
  readonly lateEvents: number;
  /** Resume calls for tokens that were missing at the end of an answer. */
  readonly resumed: number;
}

/** Work of this node at an engine, for digests to other nodes. */
export interface LocalEngineWork {
  readonly engine: string;
  readonly requests: number;
  readonly prefillTokens: number;
  readonly decodeTokens: number;
}

/** What a dispatcher would do with a request now. */
export type PredictedDispatch =
  | {readonly kind: 'send'; readonly serverId: string}
  | {
      readonly kind: 'wait';
      /** Predicted wait, and the longest that can still meet the deadline, in milliseconds. */
      readonly waitMs: number;
      readonly budgetMs: number;
    }
  | {readonly kind: 'refuse'; readonly failure: RequestFailure};

/** A backend server as a dispatcher sees it for one request. */
export interface ServerView {
  readonly id: string;
  readonly failureDomain: string;
  /** Absent for plain services, and for engines that have not reported. */
  readonly role?: EngineRole;
  /** Probability that the health filter lets it pass, 0 to 1. */
  readonly healthyChance: number;
  /** Time for which it gets no requests because it refused one, in milliseconds. */
  readonly pausedMs: number;
  /** Learned time relative to the average of its role; at least 1. */
  readonly slowdown: number;
  /** Requests known to be at the server. */
  readonly openCount: number;
  /** Why the request cannot be sent to it now; absent when it can. */
  readonly cause?: string;
  /** Predicted times in milliseconds; absent where there is nothing to predict from. */
  readonly waitMs?: number;
  readonly prefillMs?: number;
  /** Absent where servers are compared by their open requests; lower is better. */
  readonly score?: number;
}

/** Dispatches model requests to engines. */
export interface Dispatcher {
  /**
   * Admits or refuses a request. The sink gets one `onEnd` or `onFailure` unless it is
   * cancelled.
   */
  submit(request: ModelRequest, sink: AnswerSink): RequestHandle;
  /**
   * Predicts what `submit` would do now, without an effect. `getRandom` stands for the random
   * numbers; limits of client accounts are not checked, and `choose` must hold no state.
   */
  predictDispatch(
    request: ModelRequest,
    getRandom: () => number,
  ): PredictedDispatch;
  /** Lists all engines, and why the request cannot be sent to some of them. */
  listServerViews(request: ModelRequest): readonly ServerView[];
  /** Replaces the set of backend servers. */
  updateServers(servers: readonly BackendServer[]): void;
  /** Applies a load report of an engine; one that is older than the last is ignored. */
  updateReport(report: EngineReport): void;
  /** Applies prefix-cache events of an engine, in any order and with gaps. */
  updateCacheEvents(engine: string, events: readonly CacheEvent[]): void;
  /** Returns the sequence of the last cache event applied for an engine; 0 when none. */
  getCacheSequence(engine: string): number;
  getCounts(): DispatcherCounts;
  /** Lists this node's work at each engine where it has requests. */
  listLocalWork(): readonly LocalEngineWork[];
  /** Returns the number of queued requests. */
  getWaitingCount(): number;
  /** Returns the number of requests that are queued or running. */
  getOpenCount(): number;
  /** Refuses new requests from now on; resolves when no request is open. */
  drain(): Promise<void>;
}
