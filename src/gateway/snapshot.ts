/** The state of a node, for nodes that catch up, and the request for it. */
import type {ToldFactor} from '../capacity';
import type {SpeedEstimates} from './engine_speed_estimator';
import type {QuarantineEntry} from './part_quarantine';
import type {BackendEntry, GatewayConfig, NodeRecord} from './types';

/** The state of a node. */
export interface Snapshot {
  /** Absent when the requesting node already has it or there is none. */
  readonly config?: GatewayConfig;
  readonly configOffset: number;
  readonly entries: readonly BackendEntry[];
  readonly entryOffset: number;
  /** Era of the store to which the offsets belong; 0 when absent. */
  readonly era?: number;
  /** Time since the store was asked for this state, in milliseconds. */
  readonly ageMs: number;
  /** Known nodes, for a node that starts while the store does not respond to it. */
  readonly nodes?: readonly NodeRecord[];
  /** Measured speeds of the engines, for a node that has not measured any. */
  readonly speeds?: readonly SpeedEstimates[];
  /** Servers that differ from their service, as measured by the sender. */
  readonly serverFactors?: readonly ToldFactor[];
  /** Prompt parts that are kept away from engines. */
  readonly quarantine?: readonly QuarantineEntry[];
}

/** Path of the snapshot on the control address. */
export const SNAPSHOT_PATH = '/snapshot';
/** Content encoding of snapshots between nodes: the list of 3,000 servers takes a few tenths of a second on the slowest link without it. */
export const SNAPSHOT_ENCODING = 'deflate';
const KNOWN_VERSION_PARAMETER = 'known';

/** Builds the request path for a node that has this version of the configuration; 0 when it has none. */
export function buildSnapshotPath(knownVersion: number): string {
  return `${SNAPSHOT_PATH}?${KNOWN_VERSION_PARAMETER}=${knownVersion}`;
}

/** Removes what the requesting node already knows according to its query. */
export function trimSnapshot(
  snapshot: Snapshot,
  query: URLSearchParams,
): Snapshot {
  const knownVersion = Number(query.get(KNOWN_VERSION_PARAMETER) ?? 0);
  if (knownVersion === 0 && snapshot.config !== undefined) return snapshot;
  const {config, configOffset, entries, entryOffset, era, ageMs, quarantine} =
    snapshot;
  const isKnown = config === undefined || config.version <= knownVersion;
  return {
    ...(isKnown ? {} : {config}),
    configOffset,
    entries,
    entryOffset,
    ...(era === undefined ? {} : {era}),
    ageMs,
    ...(quarantine === undefined ? {} : {quarantine}),
  };
}
