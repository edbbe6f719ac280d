/** Fetches the snapshots of other nodes. */
import {Client} from 'undici';
import type {Address} from './settings';
import {buildSnapshotPath, type Snapshot} from './snapshot';

/** Time-out of a request to another node, in milliseconds: many round trips, but well below the age at which a node takes over as store reader. */
const SNAPSHOT_TIMEOUT_MS = 400;

/** Fetches the snapshot of a node; undefined when it does not respond or neither node has a configuration. */
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
    // The caller asks the next node or reads the store.
    return undefined;
  } finally {
    void client.destroy();
  }
}
