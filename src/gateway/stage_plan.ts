/** Plans which engines of a service work on prefill and which on decode. */
import {
  planSplit,
  type SplitPlan,
  type StageLoad,
} from '../planning/stage_split';
import {createCapacityModel} from './stage_capacity';
import {planExchange} from './stage_exchange';
import {type BackendEntry, EngineStage} from './types';

/** An engine that should change to another stage. */
export interface StageChange {
  readonly server: BackendEntry;
  readonly stage: EngineStage;
}

/** The planned stages of a service's engines. */
export interface StagePlan {
  readonly wantedDecode: number;
  readonly currentDecode: number;
  /** Number of engines that limit their requests. */
  readonly limitedCount: number;
  readonly changes: readonly StageChange[];
  /** The split planned for the load, when the load is known. */
  readonly split?: SplitPlan;
}

/** Options of a plan. */
export interface StagePlanOptions {
  /** Fraction of the engines that decode while no load is known. */
  readonly decodeFraction?: number;
  /** Arriving work; takes precedence over the fraction. */
  readonly load?: StageLoad;
  /**
   * Fraction of the wanted decode engines that may be missing without a change:
   * a change takes a prefill engine out of service for seconds.
   */
  readonly maxMissingFraction?: number;
  /**
   * True when engines keep their stages unless the load requires a change: each
   * change is priced, and idle engines gain nothing by it.
   */
  readonly keepsStages?: boolean;
  /** Utilization from which on a stage is busy; see `SplitInput`. */
  readonly busyUtilization?: number;
  /** Returns the limit that an engine states, in requests per second; undefined when there is none. */
  readonly tryGetLimitPerS?: (engine: BackendEntry) => number | undefined;
  /** Returns an engine's prefill time relative to its service's; undefined when it was not measured. */
  readonly tryGetTimeFactor?: (engine: BackendEntry) => number | undefined;
  /** True when a fast decode engine may be exchanged against a slow prefill engine while no other change is needed. */
  readonly canExchange?: boolean;
}

/**
 * With the request mix of the deployments, engines spend most of their time on
 * prefill and little on decode; the fraction includes a reserve for lost engines.
 */
const DEFAULT_DECODE_FRACTION = 0.25;
/** Minimum number of decode engines, so that the service survives the loss of one. */
const MIN_DECODE_ENGINES = 2;
/** Minimum number of slots of all decode engines together: a long response holds a slot for seconds. */
const MIN_DECODE_SLOTS = 32;
/** Largest fraction of the engines that the minimum number of slots may require. */
const MAX_DECODE_FRACTION = 0.4;

/** Least number of engines of each stage in each failure domain, on average, where engines keep their stages. */
const MIN_KEPT_PER_DOMAIN = 2;
/**
 * Largest fraction of the engines that decode without need, where engines keep
 * their stages: the others serve the first prompts until the load is known. A
 * half changed 44 of some 290 idle engines, and a sixth of any larger fleet.
 */
const MAX_KEPT_DECODE_FRACTION = 0.75;

/** Plans the changes that bring the engines of a service to the wanted numbers of prefill and decode engines. */
export function planStages(
  engines: readonly BackendEntry[],
  options: StagePlanOptions = {},
): StagePlan {
  const decode = engines.filter(item => item.stage === EngineStage.Decode);
  const prefill = engines.filter(item => item.stage === EngineStage.Prefill);
  const count = decode.length + prefill.length;
  const fraction = options.decodeFraction ?? DEFAULT_DECODE_FRACTION;
  const minDecode = computeMinDecode(engines);
  const usualDecode =
    options.keepsStages === true
      ? computeKeptDecode(engines, decode.length)
      : Math.round(count * fraction);
  const defaultDecode = Math.min(Math.max(minDecode, usualDecode), count - 1);
  const {load, tryGetLimitPerS = () => undefined} = options;
  const isLimited = (engine: BackendEntry) =>
    tryGetLimitPerS(engine) !== undefined;
  const limitedCount = engines.filter(isLimited).length;
  const split =
    load === undefined || count < MIN_DECODE_ENGINES
      ? undefined
      : planSplit({
          load,
          engines: count,
          currentDecode: decode.length,
          defaultDecode,
          minDecode,
          ...(options.busyUtilization === undefined
            ? {}
            : {busyUtilization: options.busyUtilization}),
          ...(limitedCount === 0
            ? {}
            : {
                getCapacity: createCapacityModel({
                  decode,
                  prefill,
                  load,
                  tryGetLimitPerS,
                }),
              }),
        });
  const wantedDecode = split?.generating ?? defaultDecode;
  const surplus = decode.length - wantedDecode;
  const plan = {
    wantedDecode,
    currentDecode: decode.length,
    limitedCount,
    ...(split === undefined ? {} : {split}),
  };
  if (
    count < MIN_DECODE_ENGINES ||
    (wantedDecode === defaultDecode &&
      isTolerated(surplus, wantedDecode, decode, prefill, options))
  ) {
    return {...plan, changes: listExchange(decode, prefill, options)};
  }
  // Engines that have just started have nothing in their caches yet.
  const compare = options.keepsStages === true ? compareStarts : compareIds;
  // Prefill gains by the engines' speed, decode little.
  const fastDecode = listByTime(decode, options, 1, compare);
  const slowPrefill = listByTime(prefill, options, -1, compare);
  const changes =
    surplus > 0
      ? chooseEngines(fastDecode, surplus, isLimited).map(server => ({
          server,
          stage: EngineStage.Prefill,
        }))
      : chooseEngines(slowPrefill, -surplus, item => !isLimited(item)).map(
          server => ({server, stage: EngineStage.Decode}),
        );
  return {...plan, changes};
}

/** Returns the exchange of two engines when the wanted number of decode engines is there and none limits its requests. */
function listExchange(
  decode: readonly BackendEntry[],
  prefill: readonly BackendEntry[],
  options: StagePlanOptions,
): StageChange[] {
  const {load, tryGetTimeFactor, tryGetLimitPerS, canExchange} = options;
  const isPossible =
    canExchange === true &&
    load !== undefined &&
    tryGetTimeFactor !== undefined &&
    decode.length >= MIN_DECODE_ENGINES;
  if (!isPossible) return [];
  const isUnlimited = (engine: BackendEntry) =>
    tryGetLimitPerS?.(engine) === undefined;
  return planExchange({
    decode: decode.filter(isUnlimited),
    prefill: prefill.filter(isUnlimited),
    busyPrefillEngines: load.prefillEngines,
    tryGetTimeFactor,
    minDecodePerDomain: MIN_KEPT_PER_DOMAIN,
  });
}

/** Returns the minimum number of decode engines; it is higher when each engine has few slots. */
function computeMinDecode(engines: readonly BackendEntry[]): number {
  const slots = Math.max(1, engines[0]?.maxRunning ?? 1);
  const enginesForSlots = Math.min(
    Math.ceil(MIN_DECODE_SLOTS / slots),
    Math.ceil(engines.length * MAX_DECODE_FRACTION),
  );
  return Math.max(MIN_DECODE_ENGINES, enginesForSlots);
}

/** Returns the current number of decode engines, unless a stage could not begin to serve with it. */
function computeKeptDecode(
  engines: readonly BackendEntry[],
  currentDecode: number,
): number {
  const domains = new Set(engines.map(({failureDomain}) => failureDomain));
  const least = MIN_KEPT_PER_DOMAIN * domains.size;
  const most = Math.floor(engines.length * MAX_KEPT_DECODE_FRACTION);
  return Math.min(most, Math.max(least, currentDecode));
}

/** Returns whether the deviation from the wanted number may stay. A surplus is always corrected: surplus decode engines are idle, so changing them costs no capacity in use. */
function isTolerated(
  surplus: number,
  wantedDecode: number,
  decode: readonly BackendEntry[],
  prefill: readonly BackendEntry[],
  options: StagePlanOptions,
): boolean {
  if (decode.length < MIN_DECODE_ENGINES || prefill.length === 0) return false;
  return (
    surplus <= 0 && -surplus <= (options.maxMissingFraction ?? 0) * wantedDecode
  );
}

/** Returns the engines by their time factors, each asked for once, ascending for a direction of 1 and descending for -1, then by `compare`. */
function listByTime(
  engines: readonly BackendEntry[],
  {tryGetTimeFactor}: StagePlanOptions,
  direction: 1 | -1,
  compare: (left: BackendEntry, right: BackendEntry) => number,
): BackendEntry[] {
  return engines
    .map(engine => ({engine, timeFactor: tryGetTimeFactor?.(engine) ?? 1}))
    .sort(
      (left, right) =>
        direction * (left.timeFactor - right.timeFactor) ||
        compare(left.engine, right.engine),
    )
    .map(({engine}) => engine);
}

function compareIds(left: BackendEntry, right: BackendEntry): number {
  return left.id < right.id ? -1 : 1;
}

/** Puts the engines that started last first. */
function compareStarts(left: BackendEntry, right: BackendEntry): number {
  return right.startedAtMs - left.startedAtMs || compareIds(left, right);
}

/** Chooses preferred engines and, when there are not enough of them, others. */
function chooseEngines(
  engines: readonly BackendEntry[],
  count: number,
  isPreferred: (engine: BackendEntry) => boolean,
): BackendEntry[] {
  const chosen = chooseFromLargestDomains(engines.filter(isPreferred), count);
  const others = engines.filter(engine => !isPreferred(engine));
  return [
    ...chosen,
    ...chooseFromLargestDomains(others, count - chosen.length),
  ];
}

/** Chooses the first engines of the failure domains that have the most of them, so that the remaining ones stay spread out. */
function chooseFromLargestDomains(
  engines: readonly BackendEntry[],
  count: number,
): BackendEntry[] {
  const remaining = [...engines];
  const chosen: BackendEntry[] = [];
  while (chosen.length < count && remaining.length > 0) {
    const sizes = new Map<string, number>();
    for (const {failureDomain} of remaining) {
      sizes.set(failureDomain, (sizes.get(failureDomain) ?? 0) + 1);
    }
    const largest = Math.max(...sizes.values());
    const index = remaining.findIndex(
      item => sizes.get(item.failureDomain) === largest,
    );
    chosen.push(...remaining.splice(index, 1));
  }
  return chosen;
}
