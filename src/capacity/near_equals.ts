/** Chooses among candidates with nearly the same predicted finish, so that nodes with the same reports do not all choose one server. */

/** A server that may be chosen. */
export interface Candidate {
  /** Predicted finish and costs, in milliseconds; lower is better. */
  readonly score: number;
  /** Part of the score that the network path causes, in milliseconds. */
  readonly pathMs: number;
}

/** Differences of the predicted finish that count as none: predictions are less exact than that. */
const NEAR_FRACTION = 0.05;
const NEAR_MS = 5;

/** Lists the best candidate and those that are nearly as good and whose network paths cost no more. */
export function listNearBest<T extends Candidate>(
  candidates: readonly T[],
): readonly T[] {
  let best: T | undefined;
  for (const candidate of candidates) {
    if (best === undefined || candidate.score < best.score) best = candidate;
  }
  if (best === undefined) return [];
  const {score, pathMs} = best;
  const limit = score + Math.max(NEAR_MS, NEAR_FRACTION * Math.abs(score));
  return candidates.filter(
    item => item.score <= limit && item.pathMs <= pathMs,
  );
}

/** Returns one of the candidates that `listNearBest` lists, at random; undefined when the list is empty. */
export function tryChooseNearBest<T extends Candidate>(
  candidates: readonly T[],
  getRandom: () => number,
): T | undefined {
  const near = listNearBest(candidates);
  if (near.length === 0) return undefined;
  return near[Math.floor(getRandom() * near.length)];
}
