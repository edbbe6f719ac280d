/** Suggests the known name closest to a misspelt one. */

/**
 * Returns the known name with the smallest edit distance; undefined when every
 * distance exceeds both 2 and a third of the length of `name`.
 */
export function tryGetNearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  let nearest: string | undefined;
  let bestDistance = Math.max(2, Math.floor(name.length / 3)) + 1;
  for (const candidate of known) {
    const distance = computeEditDistance(name, candidate);
    if (distance >= bestDistance) continue;
    bestDistance = distance;
    nearest = candidate;
  }
  return nearest;
}

/** Returns the Levenshtein distance: the insertions, deletions and replacements between two strings. */
function computeEditDistance(left: string, right: string): number {
  let previous = Array.from({length: right.length + 1}, (_, index) => index);
  for (let row = 1; row <= left.length; row++) {
    const current = [row];
    for (let column = 1; column <= right.length; column++) {
      const replaced =
        previous[column - 1] + (left[row - 1] === right[column - 1] ? 0 : 1);
      current.push(
        Math.min(replaced, previous[column] + 1, current[column - 1] + 1),
      );
    }
    previous = current;
  }
  return previous[right.length];
}
