/** Measures the work that arrives for each stage of a service's engines. */
import type {Clock} from '../runtime/types';

/** Work that arrives in a second. */
export interface StageDemand {
  /** Time of reading prompts, in milliseconds. */
  readonly readMs: number;
  /** Time for which streams hold slots, in milliseconds. */
  readonly slotMs: number;
  /** Tokens that streams hold in KV memory times the time, in token milliseconds. */
  readonly memoryTokenMs: number;
  /** Time of moving KV caches, in milliseconds. */
  readonly moveMs: number;
}

/** The meter of one node. */
export interface StageDemandMeter {
  record(service: string, work: StageDemand): void;
  /** Lists the services that work has arrived for, with the work of a second. */
  list(): Array<{service: string; demand: StageDemand}>;
}

/** Time over which arrivals are averaged, in milliseconds: several times what an engine is away for when its stage changes. */
const DECAY_TIME_CONSTANT_MS = 20_000;
const MS_PER_S = 1_000;

/** A demand without work. */
export const NO_STAGE_DEMAND: StageDemand = {
  readMs: 0,
  slotMs: 0,
  memoryTokenMs: 0,
  moveMs: 0,
};

/** Creates a meter that has seen nothing; older arrivals fade. */
export function createStageDemandMeter(clock: Clock): StageDemandMeter {
  const services = new Map<string, {sum: StageDemand; atMs: number}>();
  return {
    record: (service, work) => {
      const nowMs = clock.getMonotonicMs();
      const sum = addStageDemands(getDecayedSum(service, nowMs), work);
      services.set(service, {sum, atMs: nowMs});
    },
    list: () => {
      const nowMs = clock.getMonotonicMs();
      return [...services.keys()].map(service => ({
        service,
        demand: computeScaledDemand(
          getDecayedSum(service, nowMs),
          MS_PER_S / DECAY_TIME_CONSTANT_MS,
        ),
      }));
    },
  };

  function getDecayedSum(service: string, nowMs: number): StageDemand {
    const known = services.get(service);
    if (known === undefined) return NO_STAGE_DEMAND;
    return computeScaledDemand(
      known.sum,
      Math.exp((known.atMs - nowMs) / DECAY_TIME_CONSTANT_MS),
    );
  }
}

/** Adds two demands. */
export function addStageDemands(
  left: StageDemand,
  right: StageDemand,
): StageDemand {
  return {
    readMs: left.readMs + right.readMs,
    slotMs: left.slotMs + right.slotMs,
    memoryTokenMs: left.memoryTokenMs + right.memoryTokenMs,
    moveMs: left.moveMs + right.moveMs,
  };
}

function computeScaledDemand(demand: StageDemand, factor: number): StageDemand {
  return {
    readMs: demand.readMs * factor,
    slotMs: demand.slotMs * factor,
    memoryTokenMs: demand.memoryTokenMs * factor,
    moveMs: demand.moveMs * factor,
  };
}
