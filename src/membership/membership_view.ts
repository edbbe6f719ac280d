/** One node's view of the other nodes: applies updates and creates exchanges that spread them. */
import type {LeavingServers} from './leaving_servers';
import {createLeavingServers} from './leaving_servers';
import {createMemberTable, type MemberTable} from './member_table';
import {createRumourQueue} from './rumour_queue';
import {
  type Digest,
  type Exchange,
  type ListedNode,
  type Member,
  type MemberRumour,
  type MembershipChange,
  type MembershipHost,
  type MemberStatus,
  type Rumour,
} from './types';

/** Options of a view. */
export interface MembershipViewOptions {
  readonly host: MembershipHost;
  readonly node: string;
  readonly address: string;
  readonly process: string;
  readonly incarnation: number;
  readonly maxDigests: number;
}

/** The view of one node. */
export interface MembershipView {
  readonly table: MemberTable;
  readonly leavingServers: LeavingServers;
  listDigests(): readonly Digest[];
  hasRumours(): boolean;
  getRefutationCount(): number;
  isProcessTerminated(process: string): boolean;
  updateListedNodes(nodes: readonly ListedNode[]): void;
  reportLeaving(server: string): void;
  /** Creates an exchange for a member, with at most `maxRumours` queued rumours. */
  createExchange(member: Member | undefined, maxRumours: number): Exchange;
  applyExchange(exchange: Exchange): void;
  /** Sets the status of a member in this node's view and spreads it. */
  setStatus(member: Member, status: MemberStatus): void;
  /** Spreads a rumour that this node is alive. */
  reportSelfAlive(): void;
  /** Marks this node as leaving in its digests and spreads a rumour that it has left. */
  setLeaving(): void;
  /** Removes expired members and expired reports of leaving servers. */
  sweep(nowMs: number): void;
  subscribe(listener: (change: MembershipChange) => void): () => void;
}

/** Creates an empty view. */
export function createMembershipView(
  options: MembershipViewOptions,
): MembershipView {
  const {host, node, address, maxDigests} = options;
  const {clock} = host;
  const table = createMemberTable(node);
  const rumours = createRumourQueue();
  const leavingServers = createLeavingServers();
  const digests = new Map<string, Digest>();
  const listeners = new Set<(change: MembershipChange) => void>();
  let {incarnation} = options;
  let refutations = 0;
  let sequence = 0;
  let state: Digest['state'] = 'live';
  return {
    table,
    leavingServers,
    listDigests: () => [...digests.values()],
    hasRumours: () => !rumours.isEmpty(),
    getRefutationCount: () => refutations,
    isProcessTerminated,
    updateListedNodes,
    reportLeaving,
    createExchange,
    applyExchange,
    setStatus: (member, status) =>
      applyMemberRumour(createMemberRumour(member, status)),
    reportSelfAlive: () => rumours.add(createSelfRumour('alive')),
    setLeaving,
    sweep,
    subscribe,
  };

  /** A recipient that is not alive in this view is sent its status first, for it to refute. */
  function createExchange(
    member: Member | undefined,
    maxRumours: number,
  ): Exchange {
    const isNotAlive = member !== undefined && member.status !== 'alive';
    const recipientRumours = isNotAlive
      ? [createMemberRumour(member, member.status)]
      : [];
    const count = Math.max(0, maxRumours - recipientRumours.length);
    const queuedRumours = rumours.take(table.list().length, count);
    return {
      digest: createDigest(),
      rumours: [...recipientRumours, ...queuedRumours],
    };
  }

  function createDigest(): Digest {
    sequence++;
    return {
      node,
      address,
      incarnation,
      process: options.process,
      sequence,
      state,
      ...host.getLocalLoad(),
    };
  }

  function applyExchange(exchange: Exchange): void {
    const {digest} = exchange;
    if (digest.node !== node) applyDigest(digest);
    for (const rumour of exchange.rumours) applyRumour(rumour);
  }

  function applyDigest(digest: Digest): void {
    const known = digests.get(digest.node);
    const isOld =
      known !== undefined &&
      (digest.incarnation < known.incarnation ||
        (digest.incarnation === known.incarnation &&
          digest.sequence <= known.sequence));
    if (!isOld) {
      digests.delete(digest.node);
      digests.set(digest.node, digest);
      if (digests.size > maxDigests) removeOldestDigest();
    }
    applyMemberRumour({
      kind: 'member',
      node: digest.node,
      address: digest.address,
      incarnation: digest.incarnation,
      status: digest.state === 'leaving' ? 'left' : 'alive',
      process: digest.process,
    });
  }

  function removeOldestDigest(): void {
    const [oldest] = digests.keys();
    digests.delete(oldest);
  }

  function applyRumour(rumour: Rumour): void {
    if (rumour.kind === 'server-leaving') {
      const nowMs = clock.getMonotonicMs();
      const isNew = !leavingServers.has(rumour.server);
      if (!leavingServers.apply(rumour.server, rumour.version, nowMs)) return;
      rumours.add(rumour);
      if (isNew) notify({kind: 'server-leaving', server: rumour.server});
      return;
    }
    if (rumour.node !== node) applyMemberRumour(rumour);
    else if (rumour.status !== 'alive' && state === 'live')
      handleSuspicion(rumour);
  }

  /** Refutes a report that this node is suspect, dead or left by raising the incarnation. */
  function handleSuspicion(rumour: MemberRumour): void {
    const isOld = rumour.incarnation > 0 && rumour.incarnation < incarnation;
    if (isOld) return;
    incarnation = Math.max(incarnation, rumour.incarnation) + 1;
    refutations++;
    rumours.add(createSelfRumour('alive'));
  }

  function applyMemberRumour(rumour: MemberRumour): void {
    const previous = table.tryGet(rumour.node);
    const member = table.apply(rumour, clock.getMonotonicMs());
    if (member === undefined) return;
    const isChanged = previous?.status !== member.status;
    const isFirstContact = previous?.incarnation === 0 && !isChanged;
    if (!isFirstContact) rumours.add(createMemberRumour(member, member.status));
    if (isChanged) notify({kind: 'member', member});
  }

  function setLeaving(): void {
    state = 'leaving';
    rumours.add(createSelfRumour('left'));
  }

  function createSelfRumour(status: MemberStatus): MemberRumour {
    const {process} = options;
    return {kind: 'member', node, address, incarnation, status, process};
  }

  function sweep(nowMs: number): void {
    table.sweep(nowMs);
    for (const server of leavingServers.sweep(nowMs)) {
      notify({kind: 'server-back', server});
    }
  }

  function updateListedNodes(nodes: readonly ListedNode[]): void {
    table.addListedNodes(nodes, clock.getMonotonicMs());
  }

  function reportLeaving(server: string): void {
    const isNew = !leavingServers.has(server);
    const version = leavingServers.report(server, clock.getMonotonicMs());
    if (version === undefined) return;
    rumours.add({kind: 'server-leaving', server, version});
    if (isNew) notify({kind: 'server-leaving', server});
  }

  function isProcessTerminated(process: string): boolean {
    const nodeOfProcess = process.slice(0, process.lastIndexOf('.'));
    const member = table.tryGet(nodeOfProcess);
    if (member?.process === undefined) return false;
    if (member.process !== process) return member.status === 'alive';
    return member.status === 'dead' || member.status === 'left';
  }

  function subscribe(listener: (change: MembershipChange) => void): () => void {
    listeners.add(listener);
    return () => listeners.delete(listener);
  }

  function notify(change: MembershipChange): void {
    for (const listener of listeners) listener(change);
  }
}

/** Includes address and process for live members only: otherwise peers know or do not need them. */
function createMemberRumour(
  member: Member,
  status: MemberStatus,
): MemberRumour {
  const {node, address, incarnation, process} = member;
  const rumour: MemberRumour = {kind: 'member', node, incarnation, status};
  return status === 'alive' ? {...rumour, address, process} : rumour;
}
