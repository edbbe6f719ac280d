/** Returns a key for the process of a server. It includes the start time, so that what is known of one process does not apply to another that starts later under the same id. */
export function formatProcessKey(
  serverId: string,
  startedAtMs: number,
): string {
  return `${serverId} ${startedAtMs}`;
}
