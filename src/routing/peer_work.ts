/** The work of other nodes at an engine, from an old report and the fleet's mean. */
import type {EngineLoad} from './engine_load';
import {getLocalWorkAt, type WorkAmounts} from './work_amounts';

/** Time over which an engine's load forgets its past, in milliseconds. */
const REPORT_DECAY_MS = 2_000;
/** Part of its own growth that a node expects of each other node. */
const GROWTH_WEIGHT = 0.5;

/**
 * Returns the work of other nodes at an engine now. The older the report, the
 * more the fleet's mean counts in its place, so that nodes with the same old
 * report do not all take the engine that it shows as free. The mean follows
 * what this node has itself added since, as the other nodes will have done.
 */
export function getPeerWork(
  load: EngineLoad,
  nowMs: number,
): Readonly<WorkAmounts> {
  const {roleLoad, peerWork} = load;
  if (roleLoad === undefined || roleLoad.engineCount < 2) return peerWork;
  const ageMs = load.reportLagMs + nowMs - load.reportAtMs;
  const reportWeight = Math.exp(-ageMs / REPORT_DECAY_MS);
  const localAtReport = getLocalWorkAt(roleLoad.localWork, nowMs - ageMs);
  const {current} = roleLoad.localWork;
  const peerTotals = roleLoad.peerWork;
  const engineShare = 1 / roleLoad.engineCount;
  const growthShare = GROWTH_WEIGHT * (roleLoad.nodeCount - 1) * engineShare;
  return {
    requests: getBlendedAmount('requests'),
    prefillTokens: getBlendedAmount('prefillTokens'),
    urgentPrefillTokens: getBlendedAmount('urgentPrefillTokens'),
    decodeTokens: getBlendedAmount('decodeTokens'),
    kvPieces: getBlendedAmount('kvPieces'),
  };

  function getBlendedAmount(key: keyof WorkAmounts): number {
    const mean = peerTotals[key] * engineShare;
    const growth = growthShare * (current[key] - localAtReport[key]);
    return Math.max(
      0,
      reportWeight * peerWork[key] + (1 - reportWeight) * mean + growth,
    );
  }
}
