/** What a node reads from its peers: copies of streams, events, windows of client accounts. */
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

/** The reads. */
export interface PeerReads {
  listLivePeers(): readonly Member[];
  /** Copies of folded streams at peers. */
  readonly snapshots: SnapshotSource;
  /** Collects the events of the peers that answer, and names those that do not. */
  collectEvents(filter: EventFilter): Promise<CollectedEvents>;
  /** Collects a client account's windows from all peers, or undefined when too few answer. */
  collectAccountWindows(
    clientAccount: string,
    windowMs: number,
  ): Promise<readonly AccountWindow[] | undefined>;
}

/** Peers that are asked for events at a time. */
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

  /** Lists what the digests heard last say; a peer names only streams that it knows whole. */
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
