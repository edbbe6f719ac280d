/** Chooses the nodes that are asked for their snapshots, so that no node is asked by all others. */
import {chooseRandom} from '../runtime/choose_random';
import type {Peers} from './peers';
import type {Address} from './settings';
import type {Snapshot} from './snapshot';
import type {SnapshotAnswer} from './snapshot_client';

/** Fetches the snapshot of the named node, or of any node. */
export type SnapshotSource = (
  knownVersion: number,
  nodeName?: string,
) => Promise<Snapshot | undefined>;

/** Options of the source. */
export interface SnapshotSourceOptions {
  /** Control addresses of some nodes, without this one. */
  readonly seeds: readonly Address[];
  readonly peers: Pick<Peers, 'listSameDomain' | 'tryFind'>;
  readonly getRandom: () => number;
  readonly fetch: (
    address: Address,
    knownVersion: number,
  ) => Promise<SnapshotAnswer>;
}

/** Number of nodes of this failure domain that are asked before the seeds, which are the same for many nodes. */
const SAME_DOMAIN_TRIES = 3;
/** Number of nodes that are asked in place of a busy one. */
const BUSY_TRIES = 2;

/** Creates a source. */
export function createSnapshotSource(
  options: SnapshotSourceOptions,
): SnapshotSource {
  const {peers, getRandom} = options;
  return async (knownVersion, nodeName) => {
    const node = nodeName === undefined ? undefined : peers.tryFind(nodeName);
    if (node === undefined) return loadFromAny(knownVersion);
    const addresses = [toAddress(node), ...chooseSameDomain(BUSY_TRIES)];
    for (const address of addresses) {
      const answer = await options.fetch(address, knownVersion);
      if (answer.kind === 'loaded') return answer.snapshot;
      if (answer.kind === 'none') return undefined;
    }
    return undefined;
  };

  async function loadFromAny(
    knownVersion: number,
  ): Promise<Snapshot | undefined> {
    const addresses = [
      ...chooseSameDomain(SAME_DOMAIN_TRIES),
      ...chooseRandom(options.seeds, options.seeds.length, getRandom),
    ];
    for (const address of addresses) {
      const answer = await options.fetch(address, knownVersion);
      if (answer.kind === 'loaded') return answer.snapshot;
    }
    return undefined;
  }

  function chooseSameDomain(count: number): Address[] {
    return chooseRandom(peers.listSameDomain(), count, getRandom).map(
      toAddress,
    );
  }
}

function toAddress(node: {
  readonly host: string;
  readonly controlPort: number;
}): Address {
  return {host: node.host, port: node.controlPort};
}
