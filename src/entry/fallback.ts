/** Sends a request to a fallback set of servers when no server of the first set is available. */
import type {AnswerSink, RequestHandle} from '../routing';
import {FailureKind, type RequestFailure, Verdict} from '../verdict';

/** Options of `createFallbackRun`. */
export interface FallbackOptions {
  readonly sink: AnswerSink;
  readonly submit: (sink: AnswerSink) => RequestHandle;
  readonly submitFallback: (sink: AnswerSink) => RequestHandle;
}

/** Returns whether the request did not run because no server was available. */
export function isUnserved(failure: RequestFailure): boolean {
  return (
    failure.verdict === Verdict.NotRun &&
    failure.kind === FailureKind.Unavailable
  );
}

/**
 * Submits the request to the first set of servers, and to the fallback when it is unserved there.
 */
export function createFallbackRun(options: FallbackOptions): RequestHandle {
  const {sink} = options;
  let isPaused = false;
  let isCancelled = false;
  let handle: RequestHandle | undefined;
  const first = options.submit({
    onTokens: sink.onTokens,
    onEnd: sink.onEnd,
    onFailure: failure => {
      if (isUnserved(failure) && !isCancelled) startFallback();
      else sink.onFailure(failure);
    },
  });
  // The first submit may fail, and start the fallback, before it returns.
  handle ??= first;
  return {
    cancel: () => {
      isCancelled = true;
      handle?.cancel();
    },
    setPaused: value => {
      isPaused = value;
      handle?.setPaused(value);
    },
    tryGetEngine: () => handle?.tryGetEngine(),
  };

  function startFallback(): void {
    handle = options.submitFallback(sink);
    if (isPaused) handle.setPaused(true);
  }
}
