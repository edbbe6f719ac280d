/** The rule by which a node whose calls to the platform fail leaves the duties to other nodes, which may reach it. */
import type {DutyFailure} from './types';

/** How a call ended; `unknown` is an unavailable platform that may have carried it out, and `lapsed` a call that was not sent. */
export type CallEnd = DutyFailure['kind'] | 'success' | 'unknown' | 'lapsed';

/** The calls of one duty. */
export interface CallFailures {
  /** Records the end of a call; returns true when the duty is to be left to other nodes for `YIELD_MS`, after which the count begins anew. */
  recordEnd(end: CallEnd, nowMs: number): boolean;
  /** Returns whether the calls have failed since the platform last answered. */
  isFailing(): boolean;
  clear(): void;
}

/** How long calls must fail for a node to leave a duty to others, in milliseconds. */
const MAX_FAILING_MS = 2_000;
/** How long it then leaves the duty to others, in milliseconds. */
export const YIELD_MS = 10_000;

/** Creates the record of a duty without calls. */
export function createCallFailures(): CallFailures {
  let failingSinceMs: number | undefined;
  return {
    recordEnd,
    isFailing: () => failingSinceMs !== undefined,
    clear: () => {
      failingSinceMs = undefined;
    },
  };

  function recordEnd(end: CallEnd, nowMs: number): boolean {
    switch (end) {
      case 'unavailable':
      case 'unknown':
        failingSinceMs ??= nowMs;
        if (nowMs - failingSinceMs < MAX_FAILING_MS) return false;
        failingSinceMs = undefined;
        return true;
      case 'success':
      case 'fenced':
      case 'none-available':
        failingSinceMs = undefined;
        return false;
      // Calls that were held back at the node end so too, which shows nothing of the platform.
      case 'limited':
      case 'expired':
      case 'lapsed':
        return false;
    }
  }
}
