/** Returns `count` different items at random, or all of them in random order if there are fewer. */
export function chooseRandom<Item>(
  items: readonly Item[],
  count: number,
  getRandom: () => number,
): Item[] {
  const rest = [...items];
  return Array.from({length: Math.min(count, rest.length)}, () => {
    const index = Math.floor(getRandom() * rest.length);
    return rest.splice(index, 1)[0];
  });
}
