/** The open requests of a node; closes each exactly once. */
import {createFailure, type RequestFailure, Verdict} from '../verdict';
import type {OpenRequest} from './open_request';
import type {AnswerEnd} from './types';

/** The open requests. */
export interface OpenRequestSet {
  add(entry: OpenRequest): void;
  /** Closes a request without an answer; false when it was closed before. */
  close(entry: OpenRequest): boolean;
  /** Closes a request with a failure; the verdict is `may-have-run` if an attempt may have run. */
  fail(entry: OpenRequest, failure: RequestFailure): void;
  /** Closes a request with the end of its answer. */
  settle(entry: OpenRequest, end: AnswerEnd): void;
  getSize(): number;
  /** Resolves when no request is open. */
  waitEmpty(): Promise<void>;
}

/** Creates an empty set. */
export function createOpenRequestSet(): OpenRequestSet {
  const open = new Set<OpenRequest>();
  const waiters: Array<() => void> = [];
  return {
    add: entry => void open.add(entry),
    close,
    fail,
    settle,
    getSize: () => open.size,
    waitEmpty,
  };

  function close(entry: OpenRequest): boolean {
    if (entry.isClosed) return false;
    entry.isClosed = true;
    entry.timer?.cancel();
    entry.releaseLimits?.();
    open.delete(entry);
    if (open.size > 0) return true;
    for (const resolve of waiters.splice(0)) resolve();
    return true;
  }

  function fail(entry: OpenRequest, failure: RequestFailure): void {
    if (!close(entry)) return;
    const verdict = entry.mayHaveRun ? Verdict.MayHaveRun : failure.verdict;
    entry.sink.onFailure(
      createFailure(failure.kind, failure.message, {
        verdict,
        retryAfterMs: failure.retryAfterMs,
      }),
    );
  }

  function settle(entry: OpenRequest, answerEnd: AnswerEnd): void {
    if (close(entry)) entry.sink.onEnd(answerEnd);
  }

  function waitEmpty(): Promise<void> {
    if (open.size === 0) return Promise.resolve();
    return new Promise(resolve => waiters.push(resolve));
  }
}
