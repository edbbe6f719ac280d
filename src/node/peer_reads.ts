/**
 * Reads from a node's peers: snapshots of streams, events, and request windows of client accounts.
 */
import type {TimelineEvent} from '../diagnostics';
import type {EventFilter, Member, Membership, PeerClient} from '../membership';
import type {AccountWindow} from '../planning/move';
import type {FoldSnapshot, PeerOffset, SnapshotSource} from '../state';

/** Options of the reads. */
export interface PeerReadsOptions {
  readonly client: PeerClient;
  readonly membership: Membership;
}

/** Events of several nodes. */
export interface CollectedEvents {
  readonly events: readonly TimelineEvent[];
  /** Nodes that did not answer. */
  readonly missing: readonly string[];
}

/** Reads from the peers of one node. */
export interface PeerReads {
  listLivePeers(): readonly Member[];
  /** Snapshots of the peers' folded streams. */
  readonly snapshots: SnapshotSource;
  /** Collects the events of the peers that answer, and lists those that do not. */
  collectEvents(filter: EventFilter): Promise<CollectedEvents>;
  /**
   * Collects a client account's request windows from the peers; undefined when fewer than half of
   * them answer.
   */
  collectAccountWindows(
    clientAccount: string,
    windowMs: number,
  ): Promise<readonly AccountWindow[] | undefined>;
}

/** Maximum number of peers asked for events at the same time. */
const MAX_CONCURRENT_EVENT_READS = 16;

/** Creates the reads. */
export function createPeerReads(options: PeerReadsOptions): PeerReads {
  const {client, membership} = options;
  return {
    listLivePeers,
    snapshots: {listOffsets, tryLoadSnapshot},
    collectEvents,
    collectAccountWindows,
  };

  function listLivePeers(): readonly Member[] {
    return membership
      .listMembers()
      .filter(member => member.status === 'alive' && member.address !== '');
  }

  /**
   * Lists offsets from the peers' last digests; a digest contains only streams that its node has
   * caught up with.
   */
  function listOffsets(stream: string): Promise<readonly PeerOffset[]> {
    const offsets = membership
      .listDigests()
      .filter(digest => digest.offsets[stream] !== undefined)
      .map(digest => ({
        peer: digest.node,
        nextOffset: digest.offsets[stream],
        isCaughtUp: true,
      }));
    return Promise.resolve(offsets);
  }

  async function tryLoadSnapshot(
    peer: string,
    stream: string,
  ): Promise<FoldSnapshot | undefined> {
    const member = membership.tryGetMember(peer);
    if (member === undefined) return undefined;
    return client.readSnapshot(member.address, stream);
  }

  async function collectEvents(filter: EventFilter): Promise<CollectedEvents> {
    const collected: TimelineEvent[] = [];
    const missing: string[] = [];
    const peers = listLivePeers();
    for (
      let first = 0;
      first < peers.length;
      first += MAX_CONCURRENT_EVENT_READS
    ) {
      const batch = peers.slice(first, first + MAX_CONCURRENT_EVENT_READS);
      await Promise.all(
        batch.map(async peer => {
          const answer = await client.readEvents(peer.address, filter);
          if (answer === undefined) missing.push(peer.node);
          else collected.push(...answer);
        }),
      );
    }
    return {events: collected, missing};
  }

  async function collectAccountWindows(
    clientAccount: string,
    windowMs: number,
  ): Promise<readonly AccountWindow[] | undefined> {
    const peers = listLivePeers();
    const answers = await Promise.all(
      peers.map(peer =>
        client.readAccountWindow(peer.address, clientAccount, windowMs),
      ),
    );
    const windows = answers.filter(answer => answer !== undefined);
    return 2 * windows.length >= peers.length ? windows : undefined;
  }
}
