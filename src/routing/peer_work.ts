/** Estimates other nodes' work at an engine from its last report and the mean over its role. */
import type {EngineLoad} from './engine_load';
import {getLocalWorkAt, type WorkAmounts} from './work_amounts';

/** Time constant with which a report loses weight as it ages, in milliseconds. */
const REPORT_DECAY_MS = 2_000;
/** Fraction of this node's own growth that is assumed for each other node. */
const GROWTH_WEIGHT = 0.5;

/**
 * Returns the estimated work of other nodes at an engine now. The older the report, the more
 * the mean over all engines of the role replaces it, so that nodes with the same old report do
 * not all choose the engine that it shows as free. The change of this node's own work since
 * the report is extrapolated to the other nodes, which have probably changed alike.
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
