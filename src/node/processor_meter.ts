/** Measures the CPU usage of this process. */
import type {Clock} from '../runtime';

/** Minimum length of a measurement period, in milliseconds. */
const MIN_PERIOD_MS = 1_000;

/** Returns a function that gives the mean CPU usage over the last period, in cores. */
export function createProcessorMeter(clock: Clock): () => number {
  let cores = 0;
  let sampledAtMs = clock.getMonotonicMs();
  let usage = process.cpuUsage();
  return () => {
    const nowMs = clock.getMonotonicMs();
    const periodMs = nowMs - sampledAtMs;
    if (periodMs < MIN_PERIOD_MS) return cores;
    const used = process.cpuUsage(usage);
    cores = (used.user + used.system) / 1_000 / periodMs;
    usage = process.cpuUsage();
    sampledAtMs = nowMs;
    return cores;
  };
}
