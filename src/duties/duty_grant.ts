/** Holds the grant of one duty, and gives the duties up when the platform does not take this node's calls. */
import {Err, Ok, type Result} from 'ts-results';
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import {createCallFailures, YIELD_MS} from './call_failures';
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

/** Creates the grant of a duty that this node does not hold yet. */
export function createDutyGrant(options: DutyGrantOptions): DutyGrant {
  const {authority, clock, logger} = options;
  let grant: Grant | undefined;
  const failures = createCallFailures();
  return {
    tryGet,
    tryGetLatest: () => grant,
    recordSuccess: () => {
      failures.recordEnd('success', clock.getMonotonicMs());
    },
    recordFailure,
  };

  async function tryGet(): Promise<Result<Grant, Denial>> {
    if (grant?.isValid() === true) return Ok(grant);
    // A grant under which no call succeeded is not renewed: the other nodes count from the last grant.
    if (failures.isFailing()) {
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
    if (failure.kind === 'fenced') grant = undefined;
    const isOver = failures.recordEnd(failure.kind, clock.getMonotonicMs());
    if (isOver) release(failure.message);
  }

  function release(cause: string): void {
    grant = undefined;
    failures.clear();
    authority.release(YIELD_MS);
    logger.log('warn', 'duties given up: calls to the platform fail', {
      cause,
      forMs: YIELD_MS,
    });
  }
}
