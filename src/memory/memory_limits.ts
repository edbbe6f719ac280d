/** Derives what a process may hold from the memory limit of its VM. */
import type {MemoryLimits} from './types';

const BYTES_PER_MB = 1_048_576;
/** Resident memory of an idle process with some routes, in MB. */
const IDLE_MB = 90;
/** Part of the rest that may be held; the remainder is for sockets, fragmentation, and buffers that the runtime has not collected yet. With 0.55, a process with a limit of 202 MB took 211. */
const HELD_PART = 0.35;
/** Part of all memory that may be held at least, on VMs with little more than an idle process needs. */
const MIN_PART = 0.2;
/** Part of the held memory for answers; a body larger than the rest is never accepted. */
const ANSWER_PART = 0.6;

/** Limits of a deployment that states no memory limit. */
export const NO_MEMORY_LIMITS: MemoryLimits = {
  bodyBytes: Infinity,
  answerBytes: Infinity,
};

/** Computes the limits; bodies and answers get a part each, so that neither can displace the other. */
export function computeMemoryLimits(memoryMb: number): MemoryLimits {
  const heldMb = Math.max(
    (memoryMb - IDLE_MB) * HELD_PART,
    memoryMb * MIN_PART,
  );
  const answerBytes = Math.floor(heldMb * BYTES_PER_MB * ANSWER_PART);
  return {
    answerBytes,
    bodyBytes: Math.floor(heldMb * BYTES_PER_MB) - answerBytes,
  };
}
