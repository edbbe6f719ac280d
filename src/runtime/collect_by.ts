/** Groups items by a key. */

/** Returns the items by their key; keys and the items of a group keep the order of the input. */
export function collectBy<Item>(
  items: Iterable<Item>,
  getKey: (item: Item) => string,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = getKey(item);
    const group = groups.get(key) ?? [];
    group.push(item);
    groups.set(key, group);
  }
  return groups;
}
