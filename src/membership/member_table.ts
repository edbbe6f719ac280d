/** The table of known nodes, with the rules for which update about a node wins. */
import type {ListedNode, Member, MemberRumour, MemberStatus} from './types';

/** How long a dead or left node that the VM list does not name is kept, in milliseconds. */
const ENDED_RETENTION_MS = 600_000;
/** Maximum number of nodes in the table; further unknown nodes are ignored. */
const MAX_MEMBERS = 4_096;
const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** The nodes that this one knows, except itself. */
export interface MemberTable {
  list(): readonly Member[];
  tryGet(node: string): Member | undefined;
  /** Applies an update; returns the member when this changed it, undefined otherwise. */
  apply(rumour: MemberRumour, nowMs: number): Member | undefined;
  /** Sets the nodes of the VM list and adds those that are not known yet. */
  addListedNodes(nodes: readonly ListedNode[], nowMs: number): void;
  /** Removes nodes that ended longer than the retention time ago and are not on the VM list. */
  sweep(nowMs: number): void;
  isListed(node: string): boolean;
}

/** Creates an empty table. */
export function createMemberTable(self: string): MemberTable {
  const members = new Map<string, Member>();
  let listedNames = new Set<string>();
  let cachedList: readonly Member[] | undefined;
  return {
    list,
    tryGet: node => members.get(node),
    apply,
    addListedNodes,
    sweep,
    isListed: node => listedNames.has(node),
  };

  function list(): readonly Member[] {
    cachedList ??= [...members.values()];
    return cachedList;
  }

  function setMember(member: Member): void {
    members.set(member.node, member);
    cachedList = undefined;
  }

  function apply(rumour: MemberRumour, nowMs: number): Member | undefined {
    if (rumour.node === self) return undefined;
    const known = members.get(rumour.node);
    const resolved = resolveIncarnation(rumour, known);
    if (known === undefined && members.size >= MAX_MEMBERS) return undefined;
    if (known !== undefined && !isNewer(resolved, known)) return undefined;
    const {node, incarnation, status} = resolved;
    const address = resolved.address ?? known?.address;
    if (address === undefined) return undefined;
    const isSameStatus = known?.status === status;
    const member: Member = {
      node,
      address,
      incarnation,
      status,
      sinceMs: isSameStatus ? known.sinceMs : nowMs,
      process: resolved.process ?? known?.process,
    };
    setMember(member);
    return member;
  }

  function addListedNodes(nodes: readonly ListedNode[], nowMs: number): void {
    listedNames = new Set(nodes.map(item => item.node));
    for (const {node, address} of nodes) {
      const known = members.get(node);
      if (node === self || address === '') continue;
      if (known === undefined) {
        setMember({
          node,
          address,
          incarnation: 0,
          status: 'alive',
          sinceMs: nowMs,
        });
      } else if (known.status !== 'alive' && known.address !== address) {
        setMember({...known, address});
      }
    }
  }

  function sweep(nowMs: number): void {
    for (const member of members.values()) {
      const isEnded = member.status === 'dead' || member.status === 'left';
      if (!isEnded || listedNames.has(member.node)) continue;
      if (nowMs - member.sinceMs < ENDED_RETENTION_MS) continue;
      members.delete(member.node);
      cachedList = undefined;
    }
  }
}

/**
 * A reporter that knows a node only from the VM list reports its failure with incarnation 0. Such a
 * report counts as a suspicion of the incarnation known here, so that the node can refute it.
 */
function resolveIncarnation(
  rumour: MemberRumour,
  known: Member | undefined,
): MemberRumour {
  const isFailureReport =
    rumour.status === 'suspect' || rumour.status === 'dead';
  if (rumour.incarnation > 0 || !isFailureReport) return rumour;
  if (known === undefined || known.incarnation === 0) return rumour;
  return {...rumour, incarnation: known.incarnation, status: 'suspect'};
}

/** A higher incarnation wins; at equal incarnations the status of higher rank does. */
function isNewer(rumour: MemberRumour, known: Member): boolean {
  if (rumour.incarnation !== known.incarnation) {
    return rumour.incarnation > known.incarnation;
  }
  return STATUS_RANK[rumour.status] > STATUS_RANK[known.status];
}
