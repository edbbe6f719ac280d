/** Finds the known name that is most like a misspelt one. */

/** Returns the nearest known name, or undefined when none is alike. */
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

/** Counts the insertions, deletions and replacements between two texts. */
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
