/**
 * Brings a stream's state into force after a start: from the log, or from a peer's copy when the
 * log is out, slow or long. Until then the node must not serve.
 */
import type {Clock, Timer} from '../runtime';
import type {FoldSnapshot, StreamFollower} from './types';

/** How far a peer has folded a stream. */
export interface PeerOffset {
  readonly peer: string;
  /** Offset of the next record that the peer will apply. */
  readonly nextOffset: number;
  /** True when the peer knows the state in force. */
  readonly isCaughtUp: boolean;
}

/** Asks other nodes for their copies. A copy saves time; the log decides what it must hold. */
export interface SnapshotSource {
  /** Lists the offsets of the peers that answer, at most a few of them. */
  listOffsets(stream: string): Promise<readonly PeerOffset[]>;
  /** Returns a peer's copy, or undefined when it does not answer. */
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
  /** Returns a number from 0 to 1. */
  readonly getRandom: () => number;
  /** Nodes that start together begin to read the log within this time, in milliseconds. */
  readonly startSpreadMs?: number;
  /** How long the log may take before peers are asked, in milliseconds. */
  readonly peerFallbackDelayMs?: number;
  /**
   * Appends an entry that says nothing. A fold with a gap tells from its time that the records read
   * go back far enough, also when nobody else writes.
   */
  readonly writeMark?: () => void;
}

/** The recovery of one stream. */
export interface StreamRecovery {
  start(): void;
  stop(): void;
  /** True once the state in force is known; false again after a gap in the log. */
  isReady(): boolean;
}

const DEFAULT_START_SPREAD_MS = 500;
const DEFAULT_PEER_FALLBACK_DELAY_MS = 1_000;
const MAX_CHECK_INTERVAL_MS = 10_000;
/** A stream without a record for so long gets a mark, in milliseconds. */
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

  /** Takes the copy of the peer that is furthest; the next check tries again. */
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
