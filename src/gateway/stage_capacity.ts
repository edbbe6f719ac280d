/** Estimates how much of its engines a service can use in each stage when servers limit their requests. */
import type {StageCapacity, StageLoad} from '../planning/stage_split';
import type {BackendEntry} from './types';

/** Input of `createCapacityModel`. */
export interface CapacityModelInput {
  readonly decode: readonly BackendEntry[];
  readonly prefill: readonly BackendEntry[];
  readonly load: StageLoad;
  /** Returns the limit that an engine states, in requests per second; undefined when there is none. */
  readonly tryGetLimitPerS: (engine: BackendEntry) => number | undefined;
}

/** Returns a function of the number of decode engines. The engines with the highest limits change to decode first, as each request needs a decode engine, and are the last ones to change back. */
export function createCapacityModel({
  decode,
  prefill,
  load,
  tryGetLimitPerS,
}: CapacityModelInput): (decodeCount: number) => StageCapacity {
  const getLimitPerS = (engine: BackendEntry) =>
    tryGetLimitPerS(engine) ?? Number.POSITIVE_INFINITY;
  const listLimits = (engines: readonly BackendEntry[]) =>
    engines.map(getLimitPerS).sort((a, b) => (a < b ? 1 : -1));
  const decodeLimits = listLimits(decode);
  const prefillLimits = listLimits(prefill);
  return decodeCount => {
    const stayCount = Math.min(decodeCount, decode.length);
    const joinCount = decodeCount - stayCount;
    return {
      decodeEngines: computeUsable(
        [
          ...decodeLimits.slice(0, stayCount),
          ...prefillLimits.slice(0, joinCount),
        ],
        load.decodeEngines,
        load.requests?.decodePerS,
      ),
      prefillEngines: computeUsable(
        [...prefillLimits.slice(joinCount), ...decodeLimits.slice(stayCount)],
        load.prefillEngines,
        load.requests?.prefillPerS,
      ),
    };
  };
}

/** Sums up the fractions of engines that can be used within their limits: a request occupies an engine for a fraction of a second. */
function computeUsable(
  limitsPerS: readonly number[],
  busyEngines: number,
  requestsPerS = 0,
): number {
  // Not a number while nodes of an earlier version do not report it.
  if (!(requestsPerS > 0)) return limitsPerS.length;
  const secondsPerRequest = busyEngines / requestsPerS;
  return limitsPerS
    .map(limitPerS => Math.min(1, limitPerS * secondsPerRequest))
    .reduce((sum, fraction) => sum + fraction, 0);
}
