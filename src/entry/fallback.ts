/** Sends a request to a second set of servers when none of the first is available. */
import type {AnswerSink, RequestHandle} from '../routing';
import {FailureKind, type RequestFailure, Verdict} from '../verdict';

/** Options of `createFallbackRun`. */
export interface FallbackOptions {
  readonly sink: AnswerSink;
  readonly submit: (sink: AnswerSink) => RequestHandle;
  readonly submitFallback: (sink: AnswerSink) => RequestHandle;
}

/** Returns whether the request had no effect because no server took it. */
export function isUnserved(failure: RequestFailure): boolean {
  return (
    failure.verdict === Verdict.NotRun &&
    failure.kind === FailureKind.Unavailable
  );
}

/** Starts the request at the first set of servers. */
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
  // A refusal may have come, and the fallback have begun, before submit returned.
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
