/** Removes the entries that were added first until a map has at most `maxSize`. */
export function trimOldest(map: Map<string, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
