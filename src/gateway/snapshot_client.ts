/** Fetches the snapshots of other nodes. */
import {promisify} from 'node:util';
import {inflate} from 'node:zlib';
import {Client} from 'undici';
import type {Address} from './settings';
import {buildSnapshotPath, type Snapshot, SNAPSHOT_ENCODING} from './snapshot';

/** Answer of another node. */
export type SnapshotAnswer =
  | {readonly kind: 'loaded'; readonly snapshot: Snapshot}
  /** The node answers as many others as it can. */
  | {readonly kind: 'busy'}
  /** The node does not answer, or neither node has a configuration. */
  | {readonly kind: 'none'};

/** Time without any progress after which a request ends, in milliseconds: many round trips, but well below the age at which a node takes over as store reader. */
const STALL_TIMEOUT_MS = 400;
/** Time-out of a whole request, in milliseconds: many times what the list of 3,000 servers takes on the slowest link. */
const TOTAL_TIMEOUT_MS = 10_000;
/** Maximum size of a snapshot, in bytes: ten times the list of 3,000 servers with 39,000 accounts. */
const MAX_SNAPSHOT_BYTES = 64 * 1_024 * 1_024;
const HTTP_UNAVAILABLE = 503;

const decompress = promisify<Buffer, {maxOutputLength: number}, Buffer>(
  inflate,
);

/** Fetches the snapshot of a node. */
export async function loadSnapshotFrom(
  address: Address,
  knownVersion: number,
): Promise<SnapshotAnswer> {
  const client = new Client(`http://${address.host}:${address.port}`, {
    connect: {timeout: STALL_TIMEOUT_MS},
    headersTimeout: STALL_TIMEOUT_MS,
    bodyTimeout: STALL_TIMEOUT_MS,
    maxResponseSize: MAX_SNAPSHOT_BYTES,
  });
  try {
    const response = await client.request({
      method: 'GET',
      path: buildSnapshotPath(knownVersion),
      headers: {'accept-encoding': SNAPSHOT_ENCODING},
      signal: AbortSignal.timeout(TOTAL_TIMEOUT_MS),
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    if (response.statusCode === HTTP_UNAVAILABLE) return {kind: 'busy'};
    // Nodes of earlier versions do not compress their snapshots.
    const isCompressed =
      response.headers['content-encoding'] === SNAPSHOT_ENCODING;
    const text = isCompressed
      ? await decompress(body, {maxOutputLength: MAX_SNAPSHOT_BYTES})
      : body;
    const snapshot = JSON.parse(text.toString('utf8')) as Snapshot;
    const isEmpty = snapshot.config === undefined && knownVersion === 0;
    return isEmpty ? {kind: 'none'} : {kind: 'loaded', snapshot};
  } catch {
    // The caller asks the next node or reads the store.
    return {kind: 'none'};
  } finally {
    void client.destroy();
  }
}
