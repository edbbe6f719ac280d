/** Random selection of peers, so that probes and gossip are spread evenly over the nodes. */
import type {Member} from './types';

/** Returns up to `count` members chosen at random, without repetition. */
export function choosePeers(
  members: readonly Member[],
  count: number,
  getRandom: () => number,
): readonly Member[] {
  if (members.length <= count) return members;
  const chosen = new Set<Member>();
  while (chosen.size < count) {
    chosen.add(members[Math.floor(getRandom() * members.length)]);
  }
  return [...chosen];
}

/** The order of probing: each round visits every member once, in a random order. */
export interface ProbeOrder {
  /** Takes the next member that `canProbe` accepts, or undefined when there is none. */
  takeNext(
    members: readonly Member[],
    canProbe: (member: Member) => boolean,
  ): Member | undefined;
}

/** Creates a probe order; the first round begins at its first use. */
export function createProbeOrder(getRandom: () => number): ProbeOrder {
  let round: string[] = [];
  return {takeNext};

  function takeNext(
    members: readonly Member[],
    canProbe: (member: Member) => boolean,
  ): Member | undefined {
    const byName = new Map(members.map(member => [member.node, member]));
    for (let tries = 0; tries <= members.length; tries++) {
      if (round.length === 0) round = createRound(members);
      const node = round.pop();
      const member = node === undefined ? undefined : byName.get(node);
      if (member !== undefined && canProbe(member)) return member;
    }
    return undefined;
  }

  function createRound(members: readonly Member[]): string[] {
    const names = members.map(member => member.node);
    for (let index = names.length - 1; index > 0; index--) {
      const swapIndex = Math.floor(getRandom() * (index + 1));
      [names[index], names[swapIndex]] = [names[swapIndex], names[index]];
    }
    return names;
  }
}
