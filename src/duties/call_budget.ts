/** Keeps the duty calls of this node within the rate that the platform takes from all nodes together. */
import {Err, type Result} from 'ts-results';
import type {Clock} from '../runtime/types';
import type {DutyClient, DutyFailure} from './types';

/** Options of a limited client. */
export interface LimitedDutyClientOptions {
  readonly client: DutyClient;
  readonly clock: Clock;
  /** Calls that the platform takes from all nodes together, per second. */
  readonly callsPerS: number;
}

const MS_PER_S = 1_000;
/** Added to the time over which calls are counted: calls sent a second apart may arrive closer together. */
const JITTER_FRACTION = 0.1;
/** Time without calls after the platform refused one as too many, in milliseconds. */
const REFUSED_PAUSE_MS = 1_000;

/**
 * Creates a client that refuses calls above the rate as `limited` without
 * sending them. One node at a time holds the duties, so a limit per node is
 * sufficient.
 */
export function createLimitedDutyClient(
  options: LimitedDutyClientOptions,
): DutyClient {
  const {client, clock} = options;
  const maxCalls = Math.max(1, Math.floor(options.callsPerS));
  const windowMs =
    (maxCalls / options.callsPerS) * MS_PER_S * (1 + JITTER_FRACTION);
  let sentAtMs: number[] = [];
  let pausedUntilMs = 0;
  return {
    sendUsage: (report, caller) =>
      callLimited(() => client.sendUsage(report, caller)),
    sendServerOrder: (order, caller) =>
      callLimited(() => client.sendServerOrder(order, caller)),
    close: client.close,
  };

  async function callLimited(
    call: () => Promise<Result<void, DutyFailure>>,
  ): Promise<Result<void, DutyFailure>> {
    const nowMs = clock.getMonotonicMs();
    sentAtMs = sentAtMs.filter(atMs => nowMs - atMs < windowMs);
    if (nowMs < pausedUntilMs || sentAtMs.length >= maxCalls) {
      return Err({
        kind: 'limited',
        mayHaveTakenEffect: false,
        message: 'held back: the rate of duty calls is used up',
      });
    }
    sentAtMs.push(nowMs);
    const answer = await call();
    if (answer.err && answer.val.kind === 'limited') {
      pausedUntilMs = clock.getMonotonicMs() + REFUSED_PAUSE_MS;
    }
    return answer;
  }
}
