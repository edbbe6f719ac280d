/** Plans the exchange of a fast decode engine against a slow prefill engine: prefill gains by speed, decode little. Pure functions. */
import type {StageChange} from './stage_plan';
import {type BackendEntry, EngineStage} from './types';

/** Input of `planExchange`. */
export interface ExchangeInput {
  readonly decode: readonly BackendEntry[];
  readonly prefill: readonly BackendEntry[];
  /** Number of prefill engines that the arriving work keeps busy. */
  readonly busyPrefillEngines: number;
  /** Returns an engine's prefill time relative to its service's; undefined when it was not measured. */
  readonly tryGetTimeFactor: (engine: BackendEntry) => number | undefined;
  /** Least number of decode engines that each failure domain keeps. */
  readonly minDecodePerDomain: number;
}

interface RatedEngine {
  readonly engine: BackendEntry;
  readonly timeFactor: number;
}

/** Least ratio of the two engines' times: an exchange takes both out of service for seconds. */
const MIN_RATIO = 1.5;
/** Utilization of the prefill stage above which speed is worth an exchange. */
const MIN_PREFILL_USE = 0.5;

/** Returns the two changes of an exchange, or none; engines of one failure domain are exchanged where there are any, so that the stages stay spread out. */
export function planExchange(input: ExchangeInput): StageChange[] {
  const {prefill, decode, busyPrefillEngines} = input;
  if (busyPrefillEngines <= MIN_PREFILL_USE * prefill.length) return [];
  const slow = listRated(prefill, input).reverse();
  const fast = listRated(decode, input);
  const pair =
    tryFindPair(
      fast,
      slow,
      (from, to) => from.failureDomain === to.failureDomain,
    ) ??
    tryFindPair(
      fast,
      slow,
      from => countDomain(decode, from) > input.minDecodePerDomain,
    );
  if (pair === undefined) return [];
  return [
    {server: pair.fast, stage: EngineStage.Prefill},
    {server: pair.slow, stage: EngineStage.Decode},
  ];
}

function tryFindPair(
  fast: readonly RatedEngine[],
  slow: readonly RatedEngine[],
  isAllowed: (fast: BackendEntry, slow: BackendEntry) => boolean,
): {fast: BackendEntry; slow: BackendEntry} | undefined {
  for (const from of fast) {
    for (const to of slow) {
      if (to.timeFactor < MIN_RATIO * from.timeFactor) break;
      if (isAllowed(from.engine, to.engine)) {
        return {fast: from.engine, slow: to.engine};
      }
    }
  }
  return undefined;
}

/** Lists the measured engines, the fastest first. */
function listRated(
  engines: readonly BackendEntry[],
  {tryGetTimeFactor}: ExchangeInput,
): RatedEngine[] {
  return engines
    .flatMap(engine => {
      const timeFactor = tryGetTimeFactor(engine);
      return timeFactor === undefined ? [] : [{engine, timeFactor}];
    })
    .sort((left, right) => left.timeFactor - right.timeFactor);
}

function countDomain(
  engines: readonly BackendEntry[],
  {failureDomain}: BackendEntry,
): number {
  return engines.filter(item => item.failureDomain === failureDomain).length;
}
