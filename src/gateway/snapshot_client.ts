/** Fetches what other nodes know. */
import {Client} from 'undici';
import type {Address} from './settings';
import {buildSnapshotPath, type Snapshot} from './snapshot';

/** Longest wait for another node, in milliseconds: many round trips, well below a takeover. */
const SNAPSHOT_TIMEOUT_MS = 400;

/** Fetches the snapshot of a node; undefined when it does not answer or no side knows a configuration. */
export async function tryFetchSnapshot(
  address: Address,
  knownVersion: number,
): Promise<Snapshot | undefined> {
  const client = new Client(`http://${address.host}:${address.port}`, {
    connect: {timeout: SNAPSHOT_TIMEOUT_MS},
  });
  try {
    const response = await client.request({
      method: 'GET',
      path: buildSnapshotPath(knownVersion),
      signal: AbortSignal.timeout(SNAPSHOT_TIMEOUT_MS),
    });
    const snapshot = (await response.body.json()) as Snapshot;
    const isEmpty = snapshot.config === undefined && knownVersion === 0;
    return isEmpty ? undefined : snapshot;
  } catch {
    // Another node is asked next, and the store besides.
    return undefined;
  } finally {
    void client.destroy();
  }
}
