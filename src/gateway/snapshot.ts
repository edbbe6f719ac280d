/** What a node knows, for one that catches up, and how it is asked for. */
import type {SpeedEstimates} from './engine_speed_estimator';
import type {BackendEntry, GatewayConfig, NodeRecord} from './types';

/** What a node knows. */
export interface Snapshot {
  /** Left out when the node that asks has it, or there is none. */
  readonly config?: GatewayConfig;
  readonly configOffset: number;
  readonly entries: readonly BackendEntry[];
  readonly entryOffset: number;
  /** How long ago the store was asked for this, in milliseconds. */
  readonly ageMs: number;
  /** Nodes known, for one that starts while the store does not answer it. */
  readonly nodes?: readonly NodeRecord[];
  /** Learned speeds of the engines, for a node that has measured none. */
  readonly speeds?: readonly SpeedEstimates[];
}

/** Path of the snapshot on the control address. */
export const SNAPSHOT_PATH = '/snapshot';
const KNOWN_VERSION_PARAMETER = 'known';

/** Builds the path with which a node asks that knows a version of the configuration; 0 when it knows none. */
export function buildSnapshotPath(knownVersion: number): string {
  return `${SNAPSHOT_PATH}?${KNOWN_VERSION_PARAMETER}=${knownVersion}`;
}

/** Leaves out what the node that asks with this query knows. */
export function trimSnapshot(
  snapshot: Snapshot,
  query: URLSearchParams,
): Snapshot {
  const knownVersion = Number(query.get(KNOWN_VERSION_PARAMETER) ?? 0);
  if (knownVersion === 0) return snapshot;
  const {config, configOffset, entries, entryOffset, ageMs} = snapshot;
  const isKnown = config === undefined || config.version <= knownVersion;
  return {
    ...(isKnown ? {} : {config}),
    configOffset,
    entries,
    entryOffset,
    ageMs,
  };
}
