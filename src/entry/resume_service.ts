/** Issues resume tokens for streams, and resumes streams whose node has failed. */
import type {H3Event} from 'h3';
import {Err, Ok, type Result} from 'ts-results';
import type {EngineClient} from '../backends';
import type {AnswerSink, RequestHandle} from '../routing';
import type {Clock} from '../runtime';
import type {Template} from '../state';
import {
  createResumeToken,
  type ResumeTokenClaims,
  resumeAnswer,
  tryParseResumeToken,
} from '../streams';
import {createFailure, FailureKind, type RequestFailure} from '../verdict';
import {getClassification} from './classify';
import type {CompletionRequest} from './completion_schema';
import type {ModelInput} from './types';

/** Options of the service. */
export interface ResumeServiceOptions {
  readonly clock: Clock;
  /** The secret that all nodes share. */
  readonly secret: string;
  /** Throws for an engine that is not listed. */
  readonly getEngineClient: (engine: string) => EngineClient;
  /** How long a token is valid, in milliseconds. */
  readonly tokenLifetimeMs?: number;
}

/** A stream that can be resumed; `start` resumes it. */
export interface ResumedStream {
  readonly requestId: string;
  readonly completion: CompletionRequest;
  readonly start: (sink: AnswerSink) => RequestHandle;
}

/** The service of one node. */
export interface ResumeService {
  createToken(
    input: ModelInput,
    completion: CompletionRequest,
    engine: string,
  ): string;
  /**
   * Validates the token and the `Last-Event-ID` header, which is the number of tokens that the
   * caller has received.
   */
  open(
    token: string,
    template: Template,
    event: H3Event,
  ): Result<ResumedStream, RequestFailure>;
}

const DEFAULT_TOKEN_LIFETIME_MS = 600_000;
const MAX_EVENT_ID = 10_000_000;

/** Creates the service. */
export function createResumeService(
  options: ResumeServiceOptions,
): ResumeService {
  const {clock, secret} = options;
  const tokenLifetimeMs = options.tokenLifetimeMs ?? DEFAULT_TOKEN_LIFETIME_MS;
  return {createToken, open};

  function createToken(
    input: ModelInput,
    completion: CompletionRequest,
    engine: string,
  ): string {
    const {template, model} = input;
    const traits = {kind: 'model' as const, target: model};
    return createResumeToken(secret, {
      requestId: input.options.requestId,
      clientAccount: template.client_account,
      model,
      shape: completion.shape,
      engine,
      idempotent: getClassification(template, traits).idempotent,
      expiresAtMs: Math.floor(clock.getWallMs() + tokenLifetimeMs),
    });
  }

  function open(
    token: string,
    template: Template,
    event: H3Event,
  ): Result<ResumedStream, RequestFailure> {
    const claims = tryParseResumeToken([secret], token, {
      clientAccount: template.client_account,
      nowWallMs: clock.getWallMs(),
    });
    if (claims.err) return claims;
    const firstTokenIndex = Number(event.req.headers.get('last-event-id') ?? 0);
    if (!isEventId(firstTokenIndex)) {
      const text = 'Last-Event-ID must be the number of tokens received so far';
      return Err(createFailure(FailureKind.BadRequest, text));
    }
    return Ok({
      requestId: claims.val.requestId,
      completion: createCompletion(claims.val),
      start: sink =>
        resumeAnswer({
          claims: claims.val,
          firstTokenIndex,
          getEngineClient: options.getEngineClient,
          sink,
        }),
    });
  }
}

function isEventId(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= MAX_EVENT_ID;
}

/** The engine already has the prompt and the token limit, so neither is set here. */
function createCompletion(claims: ResumeTokenClaims): CompletionRequest {
  return {
    shape: claims.shape,
    model: claims.model,
    prompt: '',
    maxTokens: 0,
    isStream: true,
    includeUsage: false,
  };
}
