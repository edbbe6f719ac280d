/** The work of other nodes at an engine, from an old report and the fleet's mean. */
import type {EngineLoad} from './engine_load';
import {getOwnAt, type WorkAmounts} from './work_amounts';

/** Time over which an engine's load forgets its past, in milliseconds. */
const OTHERS_MEMORY_MS = 2_000;
/** Part of its own growth that a node expects of each other node. */
const GROWTH_WEIGHT = 0.5;

/**
 * Returns the work of other nodes at an engine now. The older the report, the
 * more the fleet's mean counts in its place, so that nodes with the same old
 * report do not all take the engine that it shows as free. The mean follows
 * what this node has itself added since, as the other nodes will have done.
 */
export function getOthersWork(
  load: EngineLoad,
  nowMs: number,
): Readonly<WorkAmounts> {
  const {fleet, others} = load;
  if (fleet === undefined || fleet.engineCount < 2) return others;
  const ageMs = load.reportLagMs + nowMs - load.reportAtMs;
  const trust = Math.exp(-ageMs / OTHERS_MEMORY_MS);
  const then = getOwnAt(fleet.own, nowMs - ageMs);
  const {now} = fleet.own;
  const sum = fleet.others;
  const share = 1 / fleet.engineCount;
  const growthShare = GROWTH_WEIGHT * (fleet.nodeCount - 1) * share;
  return {
    requests: getBlend('requests'),
    prefillTokens: getBlend('prefillTokens'),
    urgentPrefillTokens: getBlend('urgentPrefillTokens'),
    decodeTokens: getBlend('decodeTokens'),
    pieces: getBlend('pieces'),
  };

  function getBlend(key: keyof WorkAmounts): number {
    const mean = sum[key] * share;
    const growth = growthShare * (now[key] - then[key]);
    return Math.max(0, trust * others[key] + (1 - trust) * mean + growth);
  }
}
