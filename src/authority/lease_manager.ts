/**
 * Periodic task that renews the lease of one shard, or claims it when the holder has stopped
 * renewing.
 */
import type {Clock, Timer} from '../runtime';
import type {StreamFollower, StreamWriter} from '../state';
import {tryGetLease} from './control_fold';
import {
  CANDIDATE_STAGGER_MS,
  getChallengeWaitMs,
  LEASE_DURATION_MS,
  LEASE_RENEW_INTERVAL_MS,
} from './lease_timing';
import type {
  Authority,
  ControlEntry,
  ControlState,
  Lease,
  LeaseManager,
} from './types';

/** Options of `createLeaseManager`. */
export interface LeaseManagerOptions {
  readonly shard: string;
  readonly clock: Clock;
  readonly follower: StreamFollower<ControlState, ControlEntry>;
  readonly writer: StreamWriter<ControlEntry>;
  /**
   * Returns this process's rank among the candidates, starting at 0, or undefined when it is not
   * one.
   */
  readonly getRank: () => number | undefined;
  readonly leaseDurationMs?: number;
  readonly renewIntervalMs?: number;
  /** Called when this process gains or loses the authority. */
  readonly onChange?: (authority: Authority | undefined) => void;
}

/** Time between two checks of the lease, in milliseconds. */
const TICK_MS = 200;
/** Longest wait for a release to be read back, in milliseconds. */
const RELEASE_TIMEOUT_MS = 2_000;

/** Creates the task; it does nothing before `start`. */
export function createLeaseManager(options: LeaseManagerOptions): LeaseManager {
  const {shard, clock, follower, writer} = options;
  const leaseDurationMs = options.leaseDurationMs ?? LEASE_DURATION_MS;
  const renewIntervalMs = options.renewIntervalMs ?? LEASE_RENEW_INTERVAL_MS;
  const holder = writer.writer;
  let timer: Timer | undefined;
  let expiryTimer: Timer | undefined;
  let authority: Authority | undefined;
  let authorityExpiresAtMs = 0;
  let nextRenewalAtMs = 0;
  let isWriting = false;
  let isReleasing = false;
  /** Term, renewals and release of the lease as last read, to detect changes. */
  let observedLease = '';
  /** Start of the wait before a claim: when the last change was read, or after start or a claim. */
  let observedAtMs = 0;
  return {
    shard,
    tryGetAuthority,
    start: () => {
      observedAtMs = clock.getMonotonicMs();
      timer = clock.schedule(TICK_MS, runTick);
    },
    stop,
    release,
  };

  function tryGetAuthority(): Authority | undefined {
    if (authority === undefined || isReleasing) return undefined;
    if (clock.getMonotonicMs() >= authorityExpiresAtMs) return undefined;
    const lease = tryGetLease(follower.getState(), shard);
    return lease?.term === authority.term ? authority : undefined;
  }

  function stop(): void {
    timer?.cancel();
    timer = undefined;
    cancelAuthority();
  }

  async function release(): Promise<void> {
    const held = tryGetAuthority();
    isReleasing = true;
    stop();
    if (held === undefined) return;
    const {term} = held;
    await writer.write(
      {kind: 'lease-release', shard, term, holder},
      RELEASE_TIMEOUT_MS,
    );
  }

  function runTick(): void {
    timer = clock.schedule(TICK_MS, runTick);
    if (!follower.isCaughtUp()) return;
    const lease = tryGetLease(follower.getState(), shard);
    observeLease(lease);
    if (authority !== undefined && tryGetAuthority() === undefined) {
      cancelAuthority();
    }
    if (isWriting) return;
    const isHeldHere = lease?.holder === holder && !lease.isReleased;
    if (isHeldHere && clock.getMonotonicMs() >= nextRenewalAtMs) {
      void sendRenewal(lease);
    }
    if (!isHeldHere && isChallengeDue(lease)) void claimLease(lease);
  }

  function observeLease(lease: Lease | undefined): void {
    const leaseKey =
      lease === undefined
        ? 'none'
        : `${lease.term}/${lease.renewals}/${lease.isReleased}`;
    if (leaseKey === observedLease) return;
    observedLease = leaseKey;
    observedAtMs = clock.getMonotonicMs();
  }

  function isChallengeDue(lease: Lease | undefined): boolean {
    const rank = options.getRank();
    if (rank === undefined) return false;
    // While the log is unreachable, no lease can be renewed or granted: missing renewals prove nothing.
    if (follower.getLogAnswerAgeMs() > leaseDurationMs) return false;
    const isFree = lease === undefined || lease.isReleased;
    const waitMs = isFree
      ? rank * CANDIDATE_STAGGER_MS
      : getChallengeWaitMs(leaseDurationMs, rank);
    return clock.getMonotonicMs() - observedAtMs >= waitMs;
  }

  async function claimLease(lease: Lease | undefined): Promise<void> {
    isWriting = true;
    const sentAtMs = clock.getMonotonicMs();
    const answer = await writer.write(
      {
        kind: 'lease-claim',
        shard,
        holder,
        replacesTerm: lease?.term ?? 0,
        seenRenewals: lease?.renewals ?? 0,
      },
      leaseDurationMs,
    );
    isWriting = false;
    observedAtMs = clock.getMonotonicMs();
    if (answer.err || answer.val.kind === 'rejected') return;
    const isHandedOver = lease === undefined || lease.isReleased;
    grantAuthority(answer.val.position.offset + 1, sentAtMs, isHandedOver);
  }

  async function sendRenewal(lease: Lease): Promise<void> {
    isWriting = true;
    const sentAtMs = clock.getMonotonicMs();
    nextRenewalAtMs = sentAtMs + renewIntervalMs;
    const answer = await writer.write(
      {
        kind: 'lease-renew',
        shard,
        holder,
        term: lease.term,
        renewals: lease.renewals + 1,
      },
      leaseDurationMs,
    );
    isWriting = false;
    if (answer.err || answer.val.kind === 'rejected') return;
    grantAuthority(lease.term, sentAtMs, false);
  }

  /**
   * Starts or extends the authority. Its time counts from when the claim or renewal was sent, because
   * a challenger cannot have read it, and started its wait, before that.
   */
  function grantAuthority(
    term: number,
    sentAtMs: number,
    isHandedOver: boolean,
  ): void {
    if (timer === undefined) return;
    authorityExpiresAtMs = Math.max(
      authorityExpiresAtMs,
      sentAtMs + leaseDurationMs,
    );
    const remainingMs = authorityExpiresAtMs - clock.getMonotonicMs();
    if (remainingMs <= 0) return;
    expiryTimer?.cancel();
    expiryTimer = clock.schedule(remainingMs, expireAuthority);
    if (authority?.term === term) return;
    authority = {
      shard,
      term,
      grantedAtMs: clock.getMonotonicMs(),
      isHandedOver,
    };
    options.onChange?.(authority);
  }

  function expireAuthority(): void {
    if (clock.getMonotonicMs() >= authorityExpiresAtMs) cancelAuthority();
  }

  function cancelAuthority(): void {
    expiryTimer?.cancel();
    if (authority === undefined) return;
    authority = undefined;
    authorityExpiresAtMs = 0;
    options.onChange?.(undefined);
  }
}
