/** Plans how many engines read prompts and how many generate. */
import {
  planSplit,
  type SplitPlan,
  type StageLoad,
} from '../planning/stage_split';
import {type BackendEntry, EngineStage} from './types';

/** One engine that should work on another stage. */
export interface StageChange {
  readonly server: BackendEntry;
  readonly stage: EngineStage;
}

/** The stages wanted of a service's engines. */
export interface StagePlan {
  readonly wantedDecode: number;
  readonly presentDecode: number;
  readonly changes: readonly StageChange[];
  /** The split that the load asks for, when the load is known. */
  readonly split?: SplitPlan;
}

/** Options of a plan. */
export interface StagePlanOptions {
  /** Part of the engines that generate while no load is known. */
  readonly decodePart?: number;
  /** Work that arrives; goes before the part. */
  readonly load?: StageLoad;
  /**
   * Part of the wanted generating engines that may be missing: a change
   * takes a reading engine away for seconds.
   */
  readonly tolerancePart?: number;
}

/**
 * Generating takes a small part of an engine's time at the deployments' mix,
 * reading prompts most of it; the part leaves room for lost engines.
 */
const DEFAULT_DECODE_PART = 0.25;
/** Engines that generate at least, so that the loss of one ends no service. */
const MIN_DECODE = 2;
/** Slots of the generating engines together at least: a long answer holds one for seconds. */
const MIN_SLOTS = 32;
/** Part of the engines that the slots may ask for. */
const MAX_SLOT_PART = 0.4;

/** Plans the changes that bring the engines of a service to the wanted stages. */
export function planStages(
  engines: readonly BackendEntry[],
  options: StagePlanOptions = {},
): StagePlan {
  const decode = engines.filter(item => item.stage === EngineStage.Decode);
  const prefill = engines.filter(item => item.stage === EngineStage.Prefill);
  const count = decode.length + prefill.length;
  const part = options.decodePart ?? DEFAULT_DECODE_PART;
  const leastDecode = computeLeastDecode(engines);
  const usualDecode = Math.min(
    Math.max(leastDecode, Math.round(count * part)),
    count - 1,
  );
  const split =
    options.load === undefined || count < MIN_DECODE
      ? undefined
      : planSplit({
          load: options.load,
          engines: count,
          currentDecode: decode.length,
          usualDecode,
          minDecode: leastDecode,
        });
  const wantedDecode = split?.generating ?? usualDecode;
  const surplus = decode.length - wantedDecode;
  const plan = {
    wantedDecode,
    presentDecode: decode.length,
    ...(split === undefined ? {} : {split}),
  };
  if (
    count < MIN_DECODE ||
    (wantedDecode === usualDecode &&
      isTolerated(surplus, wantedDecode, decode, prefill, options))
  ) {
    return {...plan, changes: []};
  }
  const changes =
    surplus > 0
      ? chooseFromLargestDomains(decode, surplus).map(server => ({
          server,
          stage: EngineStage.Prefill,
        }))
      : chooseFromLargestDomains(prefill, -surplus).map(server => ({
          server,
          stage: EngineStage.Decode,
        }));
  return {...plan, changes};
}

/** Engines with few slots are needed in greater number. */
function computeLeastDecode(engines: readonly BackendEntry[]): number {
  const slots = Math.max(1, engines[0]?.maxRunning ?? 1);
  const forSlots = Math.min(
    Math.ceil(MIN_SLOTS / slots),
    Math.ceil(engines.length * MAX_SLOT_PART),
  );
  return Math.max(MIN_DECODE, forSlots);
}

/** Generating engines in surplus are idle, so that changing them costs no service. */
function isTolerated(
  surplus: number,
  wantedDecode: number,
  decode: readonly BackendEntry[],
  prefill: readonly BackendEntry[],
  options: StagePlanOptions,
): boolean {
  if (decode.length < MIN_DECODE || prefill.length === 0) return false;
  return (
    surplus <= 0 && -surplus <= (options.tolerancePart ?? 0) * wantedDecode
  );
}

/** Takes engines where a failure domain has most of them, so that the rest stays spread. */
function chooseFromLargestDomains(
  engines: readonly BackendEntry[],
  count: number,
): BackendEntry[] {
  const left = [...engines].sort((a, b) => (a.id < b.id ? -1 : 1));
  const chosen: BackendEntry[] = [];
  while (chosen.length < count && left.length > 0) {
    const sizes = new Map<string, number>();
    for (const {failureDomain} of left) {
      sizes.set(failureDomain, (sizes.get(failureDomain) ?? 0) + 1);
    }
    const largest = Math.max(...sizes.values());
    const index = left.findIndex(
      item => sizes.get(item.failureDomain) === largest,
    );
    chosen.push(...left.splice(index, 1));
  }
  return chosen;
}
