/**
 * Recovers a stream's state after a start: from the log, or from a peer's snapshot when the log is
 * unavailable, slow or long. The node must not serve until the recovery is ready.
 */
import type {Clock, Timer} from '../runtime';
import type {FoldSnapshot, StreamFollower} from './types';

/** How far a peer has folded a stream. */
export interface PeerOffset {
  readonly peer: string;
  /** Offset of the next record that the peer will apply. */
  readonly nextOffset: number;
  /** True when the peer's state is complete and up to date. */
  readonly isCaughtUp: boolean;
}

/** Reads snapshots of other nodes. They only save time: the log stays authoritative. */
export interface SnapshotSource {
  /** Lists the offsets of the peers that are known, a bounded number of them. */
  listOffsets(stream: string): Promise<readonly PeerOffset[]>;
  /** Reads a peer's snapshot; resolves with undefined when the peer does not answer. */
  tryLoadSnapshot(
    peer: string,
    stream: string,
  ): Promise<FoldSnapshot | undefined>;
}

/** Options of the recovery. */
export interface StreamRecoveryOptions<State, Entry> {
  readonly clock: Clock;
  readonly follower: StreamFollower<State, Entry>;
  /** Absent on a node without peers. */
  readonly source?: SnapshotSource;
  /** Returns a random number from 0 to 1. */
  readonly getRandom: () => number;
  /** Maximum random delay of the start, in milliseconds; spreads nodes that start together. */
  readonly startSpreadMs?: number;
  /** Wait for the log before peers are asked, and check interval when ready, in milliseconds. */
  readonly peerFallbackDelayMs?: number;
  /**
   * Appends an entry that changes nothing. After a gap a fold is complete only when the log's clock
   * has advanced far enough, and it learns the time from records alone. This entry supplies it on a
   * stream that nobody else writes to.
   */
  readonly writeMark?: () => void;
}

/** The recovery of one stream. */
export interface StreamRecovery {
  start(): void;
  stop(): void;
  /** True once the state is complete and up to date; false again after a gap in the log. */
  isReady(): boolean;
}

const DEFAULT_START_SPREAD_MS = 500;
const DEFAULT_PEER_FALLBACK_DELAY_MS = 1_000;
const MAX_CHECK_INTERVAL_MS = 10_000;
/** How long a stream must be without entries before another mark is written, in milliseconds. */
const MIN_QUIET_BEFORE_MARK_MS = 30_000;

/** Creates the recovery; the follower reads nothing before `start`. */
export function createStreamRecovery<State, Entry>(
  options: StreamRecoveryOptions<State, Entry>,
): StreamRecovery {
  const {clock, follower, source, getRandom} = options;
  const startSpreadMs = options.startSpreadMs ?? DEFAULT_START_SPREAD_MS;
  const peerFallbackDelayMs =
    options.peerFallbackDelayMs ?? DEFAULT_PEER_FALLBACK_DELAY_MS;
  let targetOffset = 0;
  let checkIntervalMs = peerFallbackDelayMs;
  let isRunning = false;
  let timer: Timer | undefined;
  let hasWrittenMark = false;
  let lastEntryAtMs = clock.getMonotonicMs();
  follower.subscribe(() => {
    lastEntryAtMs = clock.getMonotonicMs();
  });
  return {start, stop, isReady};

  function isReady(): boolean {
    return follower.isCaughtUp() && follower.getNextOffset() >= targetOffset;
  }

  function start(): void {
    isRunning = true;
    const delayMs = startSpreadMs * getRandom();
    timer = clock.schedule(delayMs, () => {
      follower.start();
      scheduleCheck();
    });
  }

  function stop(): void {
    isRunning = false;
    timer?.cancel();
    follower.stop();
  }

  function scheduleCheck(): void {
    timer = clock.schedule(
      checkIntervalMs * (0.5 + getRandom()),
      () => void runCheck(),
    );
  }

  async function runCheck(): Promise<void> {
    if (isReady()) {
      checkIntervalMs = peerFallbackDelayMs;
    } else {
      checkIntervalMs = Math.min(MAX_CHECK_INTERVAL_MS, checkIntervalMs * 2);
      if (source !== undefined) await loadFromPeers(source);
      writeMarkIfQuiet();
    }
    if (isRunning) scheduleCheck();
  }

  function writeMarkIfQuiet(): void {
    if (follower.isCaughtUp() || !follower.hasReachedEnd()) return;
    const quietMs = clock.getMonotonicMs() - lastEntryAtMs;
    if (hasWrittenMark && quietMs < MIN_QUIET_BEFORE_MARK_MS) return;
    hasWrittenMark = true;
    options.writeMark?.();
  }

  /** Imports the snapshot of the most advanced peer that answers; the next check tries again. */
  async function loadFromPeers(peers: SnapshotSource): Promise<void> {
    const offsets = (await peers.listOffsets(follower.stream))
      .filter(item => item.isCaughtUp)
      .sort((left, right) => right.nextOffset - left.nextOffset);
    if (!isRunning || offsets.length === 0) return;
    targetOffset = Math.max(targetOffset, offsets[0].nextOffset);
    if (isReady()) return;
    for (const {peer} of offsets) {
      const snapshot = await peers.tryLoadSnapshot(peer, follower.stream);
      if (!isRunning) return;
      if (snapshot !== undefined && follower.importSnapshot(snapshot)) return;
    }
  }
}
