/** Takes up an answer that an engine still holds, on behalf of a node that is gone. */
import type {EngineCall, EngineClient, EngineSink} from '../backends';
import {
  type AnswerSink,
  createReorderBuffer,
  type RequestHandle,
} from '../routing';
import {createFailure, FailureKind, Verdict} from '../verdict';
import {getAdvice, type ResumeClaims} from './resume_token';

/** Options of a resumed answer. */
export interface ResumeOptions {
  readonly claims: ResumeClaims;
  /** Tokens that the caller has, from `Last-Event-ID`. */
  readonly firstTokenIndex: number;
  /** Throws for an engine that is not listed. */
  readonly getEngineClient: (engine: string) => EngineClient;
  readonly sink: AnswerSink;
}

/** Times that an engine is asked, since an answer in transit may lose its middle. */
const MAX_CALLS = 3;

/** Resumes the answer; the sink hears each token from `firstTokenIndex` on once. */
export function resumeAnswer(options: ResumeOptions): RequestHandle {
  const {claims, sink} = options;
  const gate = createReorderBuffer(options.firstTokenIndex);
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
    const number = callCount;
    const isCurrent = () => !isClosed && number === callCount;
    gate.startAttempt();
    try {
      call = options
        .getEngineClient(claims.engine)
        .resume(claims.requestId, gate.getNextIndex(), createSink(isCurrent));
      if (isPaused) call.setPaused(true);
    } catch {
      failAnswer(`engine ${claims.engine} is gone`);
    }
  }

  function createSink(isCurrent: () => boolean): EngineSink {
    return {
      onTokens: batch => {
        if (!isCurrent()) return;
        for (const ready of gate.takeReady(batch)) sink.onTokens(ready);
      },
      onEnd: end => {
        if (!isCurrent()) return;
        if (gate.getNextIndex() < end.generatedTokens) {
          resumeMissing();
          return;
        }
        isClosed = true;
        sink.onEnd({...end, engine: claims.engine});
      },
      onFailure: failure => {
        if (!isCurrent()) return;
        if (failure.kind === 'broken') resumeMissing();
        else failAnswer(failure.message);
      },
    };
  }

  function resumeMissing(): void {
    if (callCount < MAX_CALLS) callEngine();
    else failAnswer('the answer broke off');
  }

  function failAnswer(reason: string): void {
    if (isClosed) return;
    isClosed = true;
    const message = `the answer cannot be resumed: ${reason}; ${getAdvice(claims)}`;
    sink.onFailure(
      createFailure(FailureKind.BackendFailed, message, {
        verdict: Verdict.MayHaveRun,
      }),
    );
  }
}
