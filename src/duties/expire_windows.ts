/** Deletes the windows before the first one that is kept from a collection whose keys are windows. */
export function expireWindows(
  windows: Pick<Map<number, unknown> | Set<number>, 'keys' | 'delete'>,
  firstKept: number,
): void {
  for (const windowId of windows.keys()) {
    if (windowId < firstKept) windows.delete(windowId);
  }
}
