/**
 * Time on which the nodes agree although the wall clock of some VMs jumps: the
 * median of the nodes' wall clocks, carried on by the monotonic clock.
 */
import type {Clock} from '../runtime/types';

/** The fleet's time. */
export interface FleetTime {
  /** Returns milliseconds since the Unix epoch. */
  getTimeMs(): number;
  /** Converts a time of this node's monotonic clock. */
  toTimeMs(monotonicMs: number): number;
  /** False just after the start or after this node's wall clock moved against its monotonic clock, until other nodes' times show which of the two is right. */
  isSettled(): boolean;
  /** Records the time that another node states in a message that has just arrived. */
  recordSample(from: string, timeMs: number): void;
}

/** Deviation of this node's wall clock that is not taken for a jump, in milliseconds: messages between nodes take some time. */
const MAX_DEVIATION_MS = 50;
/** Number of latest samples kept of each node. A message that waited in a buffer states too early a time, so the latest time counts. */
const SAMPLES_PER_NODE = 3;
/** Age after which a node's samples no longer count, in milliseconds. */
const SAMPLE_EXPIRY_MS = 60_000;
/** Samples after which the time is settled, and the longest wait for them, in milliseconds. */
const SETTLING_SAMPLES = 2;
const MAX_SETTLING_MS = 1_500;
/** Minimum interval between computations of the median, in milliseconds. */
const MEDIAN_INTERVAL_MS = 100;

/** Creates the time of a node that has heard of no other. */
export function createFleetTime(clock: Clock): FleetTime {
  const samples = new Map<string, {offsets: number[]; atMs: number}>();
  /** Offsets are differences between a wall clock and this node's monotonic clock. */
  let ownOffset = getOwnOffset();
  let medianOffset = ownOffset;
  let computedAtMs = -Infinity;
  let unsettledSinceMs = clock.getMonotonicMs();
  let samplesSince = 0;
  return {
    getTimeMs: () => toTimeMs(clock.getMonotonicMs()),
    toTimeMs,
    isSettled,
    recordSample,
  };

  function recordSample(from: string, timeMs: number): void {
    const atMs = clock.getMonotonicMs();
    const earlier = samples.get(from)?.offsets ?? [];
    const offsets = [...earlier, timeMs - atMs].slice(-SAMPLES_PER_NODE);
    samples.set(from, {offsets, atMs});
    samplesSince++;
  }

  function toTimeMs(monotonicMs: number): number {
    checkOwnClock();
    const isOwnRight = Math.abs(ownOffset - medianOffset) <= MAX_DEVIATION_MS;
    return monotonicMs + (isOwnRight ? ownOffset : medianOffset);
  }

  function isSettled(): boolean {
    checkOwnClock();
    return (
      samplesSince >= SETTLING_SAMPLES ||
      clock.getMonotonicMs() - unsettledSinceMs >= MAX_SETTLING_MS
    );
  }

  function checkOwnClock(): void {
    const nowMs = clock.getMonotonicMs();
    const offset = getOwnOffset();
    const hasJumped = Math.abs(offset - ownOffset) > MAX_DEVIATION_MS;
    ownOffset = offset;
    if (hasJumped) {
      unsettledSinceMs = nowMs;
      samplesSince = 0;
    }
    if (!hasJumped && nowMs - computedAtMs < MEDIAN_INTERVAL_MS) return;
    computedAtMs = nowMs;
    medianOffset = computeMedianOffset(nowMs);
  }

  function computeMedianOffset(nowMs: number): number {
    const offsets = [ownOffset];
    for (const [name, sample] of samples) {
      if (nowMs - sample.atMs > SAMPLE_EXPIRY_MS) samples.delete(name);
      else offsets.push(Math.max(...sample.offsets));
    }
    offsets.sort((left, right) => left - right);
    const upper = offsets[Math.floor(offsets.length / 2)];
    const lower = offsets[Math.floor((offsets.length - 1) / 2)];
    // Of two that disagree, the one closer to the time so far has not jumped.
    const isLowerCloser =
      Math.abs(lower - medianOffset) <= Math.abs(upper - medianOffset);
    return isLowerCloser ? lower : upper;
  }

  function getOwnOffset(): number {
    return clock.getWallMs() - clock.getMonotonicMs();
  }
}
