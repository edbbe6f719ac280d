/** Resumes an answer that an engine still holds, after the node that was sending it has failed. */
import type {EngineCall, EngineClient, EngineSink} from '../backends';
import {
  type AnswerSink,
  createReorderBuffer,
  type RequestHandle,
} from '../routing';
import {createFailure, FailureKind, Verdict} from '../verdict';
import {getRetryAdvice, type ResumeTokenClaims} from './resume_token';

/** Options of a resumed answer. */
export interface ResumeOptions {
  readonly claims: ResumeTokenClaims;
  /** Number of tokens that the caller already has, from `Last-Event-ID`. */
  readonly firstTokenIndex: number;
  /** Throws when the engine is not listed. */
  readonly getEngineClient: (engine: string) => EngineClient;
  readonly sink: AnswerSink;
}

/**
 * How often the engine is called for one answer. A call is repeated from the first missing token
 * when it breaks off or ends with tokens missing.
 */
const MAX_CALLS = 3;

/** Resumes the answer; the sink receives each token from `firstTokenIndex` on once. */
export function resumeAnswer(options: ResumeOptions): RequestHandle {
  const {claims, sink} = options;
  const reorderBuffer = createReorderBuffer(options.firstTokenIndex);
  let call: EngineCall | undefined;
  let callCount = 0;
  let isClosed = false;
  let isPaused = false;
  callEngine();
  return {
    cancel: () => {
      if (isClosed) return;
      isClosed = true;
      call?.cancel();
    },
    setPaused: value => {
      isPaused = value;
      call?.setPaused(value);
    },
    tryGetEngine: () => (isClosed ? undefined : claims.engine),
  };

  function callEngine(): void {
    callCount++;
    const callNumber = callCount;
    const isCurrent = () => !isClosed && callNumber === callCount;
    reorderBuffer.startAttempt();
    try {
      call = options
        .getEngineClient(claims.engine)
        .resume(
          claims.requestId,
          reorderBuffer.getNextIndex(),
          createSink(isCurrent),
        );
      if (isPaused) call.setPaused(true);
    } catch {
      failAnswer(`engine ${claims.engine} is no longer listed`);
    }
  }

  function createSink(isCurrent: () => boolean): EngineSink {
    return {
      onTokens: batch => {
        if (!isCurrent()) return;
        for (const ready of reorderBuffer.takeReady(batch))
          sink.onTokens(ready);
      },
      onEnd: end => {
        if (!isCurrent()) return;
        if (reorderBuffer.getNextIndex() < end.generatedTokens) {
          resumeRemaining();
          return;
        }
        isClosed = true;
        sink.onEnd({...end, engine: claims.engine});
      },
      onFailure: failure => {
        if (!isCurrent()) return;
        if (failure.kind === 'broken') resumeRemaining();
        else failAnswer(failure.message);
      },
    };
  }

  function resumeRemaining(): void {
    if (callCount < MAX_CALLS) callEngine();
    else failAnswer('the answer broke off');
  }

  function failAnswer(reason: string): void {
    if (isClosed) return;
    isClosed = true;
    const message = `the answer cannot be resumed: ${reason}; ${getRetryAdvice(claims)}`;
    sink.onFailure(
      createFailure(FailureKind.BackendFailed, message, {
        verdict: Verdict.MayHaveRun,
      }),
    );
  }
}
