/** The table of nodes: which news about a node wins. */
import type {ListedNode, Member, MemberRumour, MemberStatus} from './types';

/** How long a dead node that no list names is remembered, in milliseconds. */
const ENDED_RETENTION_MS = 600_000;
/** Most nodes in the table; a stranger beyond that is not added. */
const MAX_MEMBERS = 4_096;
const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** The nodes that this one knows, itself excepted. */
export interface MemberTable {
  list(): readonly Member[];
  tryGet(node: string): Member | undefined;
  /** Applies news; returns the member when the news changed it. */
  apply(rumour: MemberRumour, nowMs: number): Member | undefined;
  /** Adds nodes of the VM list that are not known. */
  addListedNodes(nodes: readonly ListedNode[], nowMs: number): void;
  /** Drops nodes that ended long ago and are not listed. */
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
 * News that a node does not answer, from one that knows it by the list only, is a suspicion of
 * whatever incarnation it has: the node may refute it.
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

/** A higher incarnation wins; at equal ones the worse status does. */
function isNewer(rumour: MemberRumour, known: Member): boolean {
  if (rumour.incarnation !== known.incarnation) {
    return rumour.incarnation > known.incarnation;
  }
  return STATUS_RANK[rumour.status] > STATUS_RANK[known.status];
}
