/** Holds the grant of one duty, and gives the duties up when the platform does not take this node's calls. */
import {Err, Ok, type Result} from 'ts-results';
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import type {Authority, Denial, DutyFailure, Grant} from './types';

/** The grant of a duty at this node. */
export interface DutyGrant {
  /** Returns the grant while it is valid, and acquires one otherwise. */
  tryGet(): Promise<Result<Grant, Denial>>;
  /** Returns the latest grant, which may have ended. */
  tryGetLatest(): Grant | undefined;
  recordSuccess(): void;
  /** Records a failed call; the grant ends when the platform has seen a higher fencing number. */
  recordFailure(failure: DutyFailure): void;
}

/** Options of the grant. */
export interface DutyGrantOptions {
  readonly authority: Authority;
  readonly clock: Pick<Clock, 'getMonotonicMs'>;
  readonly logger: Logger;
  /** Called with each new grant. */
  readonly onGranted?: (grant: Grant) => void;
}

/** Time for which calls may fail before this node gives up the duties, and for how long it does, in milliseconds: another node may reach the platform. */
const MAX_FAILING_MS = 2_000;
const RELEASE_MS = 10_000;

/** Creates the grant of a duty that this node does not hold yet. */
export function createDutyGrant(options: DutyGrantOptions): DutyGrant {
  const {authority, clock, logger} = options;
  let grant: Grant | undefined;
  /** When the calls began to fail; undefined after a success. */
  let failingSinceMs: number | undefined;
  return {
    tryGet,
    tryGetLatest: () => grant,
    recordSuccess: () => {
      failingSinceMs = undefined;
    },
    recordFailure,
  };

  async function tryGet(): Promise<Result<Grant, Denial>> {
    if (grant?.isValid() === true) return Ok(grant);
    // A grant under which no call succeeded is not renewed: the other nodes count from the last grant.
    if (failingSinceMs !== undefined) {
      release('no call succeeded until the grant ended');
      return Err({reason: 'released', message: 'calls to the platform fail'});
    }
    const acquired = await authority.tryAcquire();
    if (acquired.err) return acquired;
    grant = acquired.val;
    options.onGranted?.(grant);
    return acquired;
  }

  function recordFailure(failure: DutyFailure): void {
    switch (failure.kind) {
      case 'fenced':
        grant = undefined;
        return;
      case 'unavailable':
        failingSinceMs ??= clock.getMonotonicMs();
        if (clock.getMonotonicMs() - failingSinceMs < MAX_FAILING_MS) return;
        release(failure.message);
        return;
      default:
    }
  }

  function release(cause: string): void {
    grant = undefined;
    failingSinceMs = undefined;
    authority.release(RELEASE_MS);
    logger.log('warn', 'duties given up: calls to the platform fail', {
      cause,
      forMs: RELEASE_MS,
    });
  }
}
