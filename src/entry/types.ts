/** Types of the entry folder: requests of callers, and the pipeline that answers them. */
import type {Result} from 'ts-results';
import type {ServiceAnswer} from '../backends';
import type {
  AnswerSink,
  PredictedDispatch,
  RequestHandle,
  ServerView,
} from '../routing';
import type {ServerSelector, Template} from '../state';
import type {RequestFailure, Verdict} from '../verdict';

/** Options from the request headers. */
export interface CallerOptions {
  readonly requestId: string;
  readonly idempotencyKey?: string;
  /** Deadline that the caller asks for, in milliseconds from arrival. */
  readonly deadlineMs?: number;
  readonly priority?: number;
}

/** A model request of a client account. */
export interface ModelInput {
  readonly kind: 'model';
  readonly template: Template;
  readonly options: CallerOptions;
  readonly model: string;
  /** Prompt text; absent in a replay. */
  readonly prompt?: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixHashes: readonly string[];
  readonly prefixTokens: number;
}

/** A call of a plain service by a client account. */
export interface ServiceInput {
  readonly kind: 'service';
  readonly template: Template;
  readonly options: CallerOptions;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** A request of either kind. */
export type RequestInput = ModelInput | ServiceInput;

/** The answer of a plain service, with its verdict. */
export interface ServiceResult extends ServiceAnswer {
  readonly verdict: Verdict;
}

/** Outcome of one request, for metrics, the gates of account moves and recorded traces. */
export interface RequestSummary {
  readonly requestId: string;
  readonly clientAccount: string;
  readonly kind: 'model' | 'service';
  /** Name of the model or of the service. */
  readonly target: string;
  readonly className: string;
  readonly urgent: boolean;
  readonly idempotent: boolean;
  /** When it arrived, on the node's monotonic clock. */
  readonly receivedAtMs: number;
  readonly deadlineMs: number;
  /** From arrival to the end, in milliseconds. */
  readonly durationMs: number;
  /** From arrival to the first token, in milliseconds; absent without a token. */
  readonly firstTokenMs?: number;
  /** Mean time between tokens, in milliseconds; absent with fewer than two tokens. */
  readonly betweenTokensMs?: number;
  readonly promptTokens: number;
  readonly generatedTokens: number;
  readonly prefixHashes: readonly string[];
  readonly prefixTokens: number;
  readonly engine?: string;
  /** Truncated hash of the idempotency key. */
  readonly keyHash?: string;
  /** Absent when the request was answered. */
  readonly failure?: RequestFailure;
  /** True when the whole answer came within the deadline. */
  readonly isInDeadline: boolean;
}

/** The servers for a request, and the fallback to use when none of them is available. */
export interface ServerChoice {
  readonly servers: ServerSelector;
  readonly fallback?: ServerSelector;
}

/** Chooses the backend servers that may serve a request of a client account. */
export type SelectServers = (
  template: Template,
  requestId: string,
) => ServerChoice;

/** What a pipeline would do with a request now. */
export interface RequestPreview {
  /** Predicts what becomes of the request, without an effect; `getRandom` stands for the random numbers. */
  predict(input: RequestInput, getRandom: () => number): PredictedDispatch;
  /** Lists the servers, and why the request cannot be sent to some of them. */
  listServerViews(input: RequestInput): readonly ServerView[];
}

/** Answers requests: classification, admission, claim, then routing. */
export interface RequestPipeline {
  readonly preview: RequestPreview;
  runModel(input: ModelInput, sink: AnswerSink): RequestHandle;
  runService(
    input: ServiceInput,
    signal?: AbortSignal,
  ): Promise<Result<ServiceResult, RequestFailure>>;
  /** Returns the number of requests in progress. */
  getOpenCount(): number;
  /** Refuses new requests; resolves when no request is in progress. */
  drain(): Promise<void>;
}
