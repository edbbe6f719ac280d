/** Types of the entry: what a caller asks for, and the pipeline that answers. */
import type {Result} from 'ts-results';
import type {ServiceAnswer} from '../backends';
import type {AnswerSink, RequestHandle} from '../routing';
import type {Template} from '../state';
import type {RequestFailure, Verdict} from '../verdict';

/** What the request headers say. */
export interface CallerOptions {
  readonly requestId: string;
  readonly idempotencyKey?: string;
  /** Time that the caller waits, in milliseconds. */
  readonly deadlineMs?: number;
  readonly priority?: number;
}

/** A model request of a client account. */
export interface ModelInput {
  readonly template: Template;
  readonly options: CallerOptions;
  readonly model: string;
  /** Absent in a replay. */
  readonly prompt?: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixHashes: readonly string[];
  readonly prefixTokens: number;
}

/** A call of a plain service by a client account. */
export interface ServiceInput {
  readonly template: Template;
  readonly options: CallerOptions;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** The answer of a plain service, with its verdict. */
export interface ServiceResult extends ServiceAnswer {
  readonly verdict: Verdict;
}

/** Answers requests: classes, limits, claims, then routing. */
export interface RequestPipeline {
  runModel(input: ModelInput, sink: AnswerSink): RequestHandle;
  runService(
    input: ServiceInput,
    signal?: AbortSignal,
  ): Promise<Result<ServiceResult, RequestFailure>>;
}
