/** Measures the load that arrives for the prefill and decode stages of each service. */
import type {Clock} from '../runtime/types';

/** Load of requests, or load that arrives per second. */
export interface StageDemand {
  /** Prefill time of prompts, in milliseconds. */
  readonly readMs: number;
  /** Time that streams occupy decode slots, in milliseconds. */
  readonly slotMs: number;
  /** KV cache memory of streams, as tokens times the milliseconds for which they are held. */
  readonly memoryTokenMs: number;
  /** Transfer time of KV caches, in milliseconds. */
  readonly moveMs: number;
  /** Number of requests to prefill engines. */
  readonly prefillRequests: number;
  /** Number of requests to decode engines. */
  readonly decodeRequests: number;
}

/** Measures the demand of one node by service. */
export interface StageDemandMeter {
  /** Adds the load of an arriving request. */
  record(service: string, demand: StageDemand): void;
  /** Lists the services that have had requests, each with its demand per second. */
  list(): Array<{service: string; demand: StageDemand}>;
}

/**
 * Time constant of the exponential average of arrivals, in milliseconds. It is several times as
 * long as an engine is unavailable during a stage change, so that shorter bursts cause no change.
 */
const DECAY_TIME_CONSTANT_MS = 20_000;
const MS_PER_S = 1_000;

/** A demand of zero. */
export const NO_STAGE_DEMAND: StageDemand = {
  readMs: 0,
  slotMs: 0,
  memoryTokenMs: 0,
  moveMs: 0,
  prefillRequests: 0,
  decodeRequests: 0,
};

/**
 * Creates a meter without any recorded requests. The weight of arrivals decays exponentially with
 * age, by the time constant, in milliseconds.
 */
export function createStageDemandMeter(
  clock: Clock,
  timeConstantMs = DECAY_TIME_CONSTANT_MS,
): StageDemandMeter {
  const services = new Map<string, {sum: StageDemand; atMs: number}>();
  return {
    record: (service, demand) => {
      const nowMs = clock.getMonotonicMs();
      const sum = addStageDemands(getDecayedSum(service, nowMs), demand);
      services.set(service, {sum, atMs: nowMs});
    },
    list: () => {
      const nowMs = clock.getMonotonicMs();
      return [...services.keys()].map(service => ({
        service,
        demand: computeScaledDemand(
          getDecayedSum(service, nowMs),
          MS_PER_S / timeConstantMs,
        ),
      }));
    },
  };

  function getDecayedSum(service: string, nowMs: number): StageDemand {
    const known = services.get(service);
    if (known === undefined) return NO_STAGE_DEMAND;
    return computeScaledDemand(
      known.sum,
      Math.exp((known.atMs - nowMs) / timeConstantMs),
    );
  }
}

/** Returns the sum of two demands. */
export function addStageDemands(
  left: StageDemand,
  right: StageDemand,
): StageDemand {
  return {
    readMs: left.readMs + right.readMs,
    slotMs: left.slotMs + right.slotMs,
    memoryTokenMs: left.memoryTokenMs + right.memoryTokenMs,
    moveMs: left.moveMs + right.moveMs,
    prefillRequests: left.prefillRequests + right.prefillRequests,
    decodeRequests: left.decodeRequests + right.decodeRequests,
  };
}

function computeScaledDemand(demand: StageDemand, factor: number): StageDemand {
  return {
    readMs: demand.readMs * factor,
    slotMs: demand.slotMs * factor,
    memoryTokenMs: demand.memoryTokenMs * factor,
    moveMs: demand.moveMs * factor,
    prefillRequests: demand.prefillRequests * factor,
    decodeRequests: demand.decodeRequests * factor,
  };
}
