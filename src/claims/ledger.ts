/** Claims non-idempotent requests through the log, so that each key runs at most once. */
import {randomUUID} from 'node:crypto';
import {PlatformFailureKind} from '../control_services';
import type {Clock} from '../runtime';
import type {StreamFollower, StreamWriter} from '../state';
import {
  getClaimKey,
  getMaxWindowMs,
  getShortHash,
  tryGetKeyTimeMs,
} from './claim_key';
import {type ClaimsState, tryGetLiveClaim} from './claims_fold';
import {createKeyWaiters} from './key_waiters';
import {
  type ClaimEntry,
  type ClaimOutcome,
  ClaimRefusal,
  type ClaimRequest,
  type ClaimResult,
  type ClaimsLedger,
  type ClaimState,
  type ClaimTicket,
} from './types';

/** Options of the ledger. */
export interface ClaimsLedgerOptions {
  /** Identifies this process incarnation; never used by another. */
  readonly node: string;
  readonly clock: Clock;
  readonly follower: StreamFollower<ClaimsState, ClaimEntry>;
  readonly writer: StreamWriter<ClaimEntry>;
  /** How long the log keeps a record, in milliseconds; a key's window is shorter than that. */
  readonly logRetentionMs?: number;
  /** Longest window of a key, in milliseconds; the log's retention may shorten it. */
  readonly maxWindowMs?: number;
  /** Returns whether the log is known to be unavailable. */
  readonly isLogUnavailable?: () => boolean;
  /** Returns whether a process incarnation is known to have ended. */
  readonly isProcessTerminated?: (node: string) => boolean;
  /** Longest answer body that is stored in the log, in characters. */
  readonly maxStoredBodyChars?: number;
  /** Returns an identifier that no other attempt has. */
  readonly createAttemptId?: () => string;
}

const DEFAULT_LOG_RETENTION_MS = 86_400_000;
const DEFAULT_MAX_STORED_BODY_CHARS = 8_192;
const RETRY_AFTER_MS = 1_000;
/**
 * How often a request that waits for another attempt's outcome checks whether that outcome can
 * still arrive, in milliseconds.
 */
const WAIT_CHECK_MS = 250;
/**
 * A claim whose write fails after at least this time, in milliseconds, indicates that the log
 * accepts no records.
 */
const SUSPECTED_OUTAGE_MS = 1_000;
/**
 * How often a drain checks whether all outcomes and releases have been read back, in
 * milliseconds.
 */
const DRAIN_CHECK_MS = 10;
/** Fraction of a key's window within which a grant must have been read back. */
const GRANT_WINDOW_FRACTION = 0.5;

interface Attempt extends ClaimTicket {
  readonly requestHash: string;
  readonly windowMs: number;
  readonly keyAtMs: number | undefined;
  /**
   * Time on the monotonic clock after which a grant that is read back is released instead of
   * used.
   */
  readonly deadlineAtMs: number;
}

/** Creates the ledger of one node. */
export function createClaimsLedger(options: ClaimsLedgerOptions): ClaimsLedger {
  const {node, clock, follower, writer} = options;
  const maxStoredBodyChars =
    options.maxStoredBodyChars ?? DEFAULT_MAX_STORED_BODY_CHARS;
  const maxWindowMs = Math.min(
    options.maxWindowMs ?? Infinity,
    getMaxWindowMs(options.logRetentionMs ?? DEFAULT_LOG_RETENTION_MS),
  );
  const isLogUnavailable = options.isLogUnavailable ?? (() => false);
  const isProcessTerminated = options.isProcessTerminated ?? (() => false);
  const createAttemptId = options.createAttemptId ?? randomUUID;
  const waiters = createKeyWaiters(clock);
  /** Outcomes not yet read back from the log, by attempt. */
  const unconfirmedOutcomes = new Map<string, ClaimOutcome>();
  /** Attempts that did not run and will not, until their release has been read back. */
  const pendingReleases = new Set<string>();
  let claimsInFlight = 0;
  let hasTimedOut = false;
  follower.subscribe(entry => waiters.notify(entry.key));
  return {claim, settle, release, drain};

  async function claim(request: ClaimRequest): Promise<ClaimResult> {
    const key = getClaimKey(request.clientAccount, request.idempotencyKey);
    const deadlineAtMs = clock.getMonotonicMs() + request.timeoutMs;
    for (;;) {
      const liveClaim = tryGetLiveClaim(follower.getState(), key);
      const result =
        liveClaim === undefined
          ? await tryClaim(createAttempt(key, request, deadlineAtMs))
          : await resolveLiveClaim(key, liveClaim, request, deadlineAtMs);
      if (result !== undefined) return result;
    }
  }

  function createAttempt(
    key: string,
    request: ClaimRequest,
    deadlineAtMs: number,
  ): Attempt {
    const windowMs = Math.min(request.windowMs, maxWindowMs);
    const grantAtMs = clock.getMonotonicMs() + windowMs * GRANT_WINDOW_FRACTION;
    return {
      key,
      attempt: createAttemptId(),
      requestHash: getShortHash(request.requestHash),
      windowMs,
      keyAtMs: tryGetKeyTimeMs(request.idempotencyKey),
      deadlineAtMs: Math.min(deadlineAtMs, grantAtMs),
    };
  }

  /** Returns undefined when another attempt holds the key. */
  async function tryClaim(attempt: Attempt): Promise<ClaimResult | undefined> {
    const {key, windowMs, keyAtMs, requestHash, deadlineAtMs} = attempt;
    const {nowMs} = follower.getState();
    const isKeyExpired = keyAtMs !== undefined && keyAtMs + windowMs <= nowMs;
    if (isKeyExpired) return {kind: 'expired'};
    const remainingMs = deadlineAtMs - clock.getMonotonicMs();
    if (remainingMs <= 0 || isRefusingClaims()) return createUnavailable();
    claimsInFlight++;
    const sentAtMs = clock.getMonotonicMs();
    const answer = await writer.write(
      {
        kind: 'claim',
        key,
        node,
        attempt: attempt.attempt,
        requestHash,
        windowMs,
        keyAtMs,
      },
      remainingMs,
    );
    claimsInFlight--;
    if (answer.ok) hasTimedOut = false;
    else if (clock.getMonotonicMs() - sentAtMs >= SUSPECTED_OUTAGE_MS) {
      hasTimedOut = true;
    }
    if (answer.err) {
      if (answer.val.mayHaveTakenEffect) release(attempt);
      return createUnavailable();
    }
    if (answer.val.kind === 'rejected') {
      const isExpired = answer.val.reason === ClaimRefusal.Expired;
      return isExpired ? {kind: 'expired'} : undefined;
    }
    // A process that was paused may read its grant after the key's window has ended.
    if (clock.getMonotonicMs() > deadlineAtMs) {
      release(attempt);
      return createUnavailable();
    }
    return {kind: 'granted', ticket: {key, attempt: attempt.attempt}};
  }

  /**
   * Returns whether a new claim is refused at once. After a long timeout, one claim at a time is
   * let through to find out whether the log accepts records again.
   */
  function isRefusingClaims(): boolean {
    return isLogUnavailable() || (hasTimedOut && claimsInFlight > 0);
  }

  /** Returns undefined when the claim may have changed and must be looked up again. */
  async function resolveLiveClaim(
    key: string,
    liveClaim: ClaimState,
    request: ClaimRequest,
    deadlineAtMs: number,
  ): Promise<ClaimResult | undefined> {
    const requestHash = getShortHash(request.requestHash);
    if (liveClaim.requestHash !== requestHash) return {kind: 'conflict'};
    const outcome =
      liveClaim.outcome ?? unconfirmedOutcomes.get(liveClaim.attempt);
    if (outcome !== undefined) return {kind: 'answered', outcome};
    const remainingMs = deadlineAtMs - clock.getMonotonicMs();
    const isWaitPointless = remainingMs <= 0 || isLogUnavailable();
    if (pendingReleases.has(liveClaim.attempt) && isWaitPointless)
      return createUnavailable();
    if (remainingMs <= 0 || isOutcomeOutOfReach(liveClaim)) {
      return {kind: 'unresolved', retryAfterMs: RETRY_AFTER_MS};
    }
    await waiters.wait(key, Math.min(remainingMs, WAIT_CHECK_MS));
    return undefined;
  }

  /**
   * Returns whether another node's attempt cannot report its outcome soon: the log is
   * unavailable or that node has ended.
   */
  function isOutcomeOutOfReach(liveClaim: ClaimState): boolean {
    if (liveClaim.node === node) return false;
    return isLogUnavailable() || isProcessTerminated(liveClaim.node);
  }

  function settle(ticket: ClaimTicket, outcome: ClaimOutcome): void {
    const isBodyStored = (outcome.body ?? '').length <= maxStoredBodyChars;
    const {status, contentType} = outcome;
    const verdict = outcome.verdict === 'ran' ? 'ran' : 'may-have-run';
    const body = isBodyStored ? outcome.body : undefined;
    unconfirmedOutcomes.set(ticket.attempt, {
      verdict,
      status,
      contentType,
      body,
    });
    waiters.notify(ticket.key);
    void writeOutcome(ticket, {verdict, status, contentType, body});
  }

  async function writeOutcome(
    ticket: ClaimTicket,
    outcome: Omit<ClaimOutcome, 'verdict'> & {verdict: 'ran' | 'may-have-run'},
  ): Promise<void> {
    const {key, attempt} = ticket;
    const answer = await writer.write(
      {kind: 'claim-outcome', key, attempt, ...outcome},
      maxWindowMs,
    );
    const isRefused =
      answer.err && answer.val.kind === PlatformFailureKind.Rejected;
    if (isRefused && outcome.body !== undefined) {
      // The log may reject the record as too large: the verdict is then recorded without the body.
      return writeOutcome(ticket, {...outcome, body: undefined});
    }
    unconfirmedOutcomes.delete(attempt);
  }

  async function drain(timeoutMs: number): Promise<boolean> {
    const deadlineAtMs = clock.getMonotonicMs() + timeoutMs;
    while (unconfirmedOutcomes.size > 0 || pendingReleases.size > 0) {
      if (clock.getMonotonicMs() >= deadlineAtMs) return false;
      await clock.sleep(DRAIN_CHECK_MS);
    }
    return true;
  }

  function release(ticket: ClaimTicket): void {
    const {key, attempt} = ticket;
    pendingReleases.add(attempt);
    void writer
      .write({kind: 'claim-release', key, attempt}, maxWindowMs)
      .then(() => pendingReleases.delete(attempt));
  }
}

function createUnavailable(): ClaimResult {
  return {kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS};
}
