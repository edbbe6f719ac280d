/** Claims non-idempotent requests through the log. */
import {createHash, randomUUID} from 'node:crypto';
import type {Clock} from '../runtime';
import type {StreamFollower, StreamWriter} from '../state';
import type {ClaimsState} from './claims_fold';
import type {
  ClaimEntry,
  ClaimOutcome,
  ClaimRequest,
  ClaimResult,
  ClaimsLedger,
  ClaimState,
  ClaimTicket,
} from './types';

/** Options of the ledger. */
export interface ClaimsLedgerOptions {
  readonly node: string;
  readonly clock: Clock;
  readonly follower: StreamFollower<ClaimsState, ClaimEntry>;
  readonly writer: StreamWriter<ClaimEntry>;
  /** Longest answer that is kept in the log, in characters. */
  readonly maxKeptBody?: number;
}

const DEFAULT_MAX_KEPT_BODY = 8_192;
const OUTCOME_TIMEOUT_MS = 600_000;
const RETRY_AFTER_MS = 1_000;
/** Length of a claim's key in the log, in hexadecimal digits. */
const KEY_DIGITS = 32;

/** Creates the ledger of one node. */
export function createClaimsLedger(options: ClaimsLedgerOptions): ClaimsLedger {
  const {node, clock, follower, writer} = options;
  const maxKeptBody = options.maxKeptBody ?? DEFAULT_MAX_KEPT_BODY;
  return {claim, settle, release};

  async function claim(request: ClaimRequest): Promise<ClaimResult> {
    const startedAtMs = clock.getMonotonicMs();
    const key = getClaimKey(request.clientAccount, request.idempotencyKey);
    const known = follower.getState().claims.get(key);
    if (known !== undefined) return resolveKnown(known, request, startedAtMs);
    const ticket = {key, attempt: randomUUID()};
    const answer = await writer.write(
      {
        kind: 'claim',
        ...ticket,
        node,
        requestHash: request.requestHash,
        expiresAtMs: clock.getWallMs() + request.windowMs,
      },
      request.timeoutMs,
    );
    if (answer.err) {
      if (answer.val.mayHaveTakenEffect) release(ticket);
      return {kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS};
    }
    if (answer.val.kind === 'accepted') return {kind: 'granted', ticket};
    const holder = follower.getState().claims.get(key);
    if (holder === undefined) return {kind: 'unresolved'};
    return resolveKnown(holder, request, startedAtMs);
  }

  /** Waits for the outcome of another attempt while there is time. */
  async function resolveKnown(
    known: ClaimState,
    request: ClaimRequest,
    startedAtMs: number,
  ): Promise<ClaimResult> {
    if (known.requestHash !== request.requestHash) return {kind: 'conflict'};
    const leftMs = startedAtMs + request.timeoutMs - clock.getMonotonicMs();
    if (known.outcome === undefined) await waitForOutcome(known, leftMs);
    if (known.outcome === undefined) return {kind: 'unresolved'};
    return {kind: 'answered', outcome: known.outcome};
  }

  function waitForOutcome(known: ClaimState, timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = clock.schedule(timeoutMs, settleWaiter);
      const unsubscribe = follower.subscribe(() => {
        if (known.outcome !== undefined) settleWaiter();
      });
      function settleWaiter(): void {
        timer.cancel();
        unsubscribe();
        resolve();
      }
    });
  }

  function settle(ticket: ClaimTicket, outcome: ClaimOutcome): void {
    const isKept = (outcome.body ?? '').length <= maxKeptBody;
    void writer.write(
      {
        kind: 'claim-outcome',
        ...ticket,
        verdict: outcome.verdict === 'ran' ? 'ran' : 'may-have-run',
        status: outcome.status,
        contentType: outcome.contentType,
        body: isKept ? outcome.body : undefined,
      },
      OUTCOME_TIMEOUT_MS,
    );
  }

  function release(ticket: ClaimTicket): void {
    void writer.write({kind: 'claim-release', ...ticket}, OUTCOME_TIMEOUT_MS);
  }
}

/** Returns a claim's key in the log: client accounts cannot reach one another's keys. */
export function getClaimKey(
  clientAccount: string,
  idempotencyKey: string,
): string {
  return createHash('sha256')
    .update(`${clientAccount}\n${idempotencyKey}`)
    .digest('hex')
    .slice(0, KEY_DIGITS);
}
