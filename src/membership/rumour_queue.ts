/** Queue of the rumours that are still to be sent, each a bounded number of times. */
import type {Rumour} from './types';

/** The queue, one rumour for each node or server; a newer rumour replaces the older one. */
export interface RumourQueue {
  add(rumour: Rumour): void;
  /** Takes up to `count` rumours: leaving servers first, then those sent the fewest times. */
  take(memberCount: number, count: number): readonly Rumour[];
  isEmpty(): boolean;
}

interface QueuedRumour {
  readonly rumour: Rumour;
  sendCount: number;
}

/** How many times a rumour is sent for each doubling of the number of nodes (log2 of it). */
const SENDS_PER_DOUBLING = 2;
/** The same for a dead node: nodes that received the suspicion declare it dead by themselves. */
const DEAD_SENDS_PER_DOUBLING = 1;
/** Maximum number of rumours in the queue; when it is full, the oldest one is dropped. */
const MAX_QUEUED = 4_096;

/** Creates an empty queue. */
export function createRumourQueue(): RumourQueue {
  const queued = new Map<string, QueuedRumour>();
  return {add, take, isEmpty: () => queued.size === 0};

  function add(rumour: Rumour): void {
    const subject = getSubject(rumour);
    if (queued.size >= MAX_QUEUED && !queued.has(subject)) removeOldest();
    queued.delete(subject);
    queued.set(subject, {rumour, sendCount: 0});
  }

  function removeOldest(): void {
    const [oldest] = queued.keys();
    queued.delete(oldest);
  }

  function take(memberCount: number, count: number): Rumour[] {
    if (count === 0) return [];
    const doublings = Math.ceil(Math.log2(memberCount + 2));
    const chosen = [...queued.values()].sort(compareRumours).slice(0, count);
    for (const item of chosen) {
      item.sendCount++;
      const maxSends = doublings * getSendsPerDoubling(item.rumour);
      if (item.sendCount >= maxSends) queued.delete(getSubject(item.rumour));
    }
    return chosen.map(item => item.rumour);
  }
}

function getSendsPerDoubling(rumour: Rumour): number {
  const isDead = rumour.kind === 'member' && rumour.status === 'dead';
  return isDead ? DEAD_SENDS_PER_DOUBLING : SENDS_PER_DOUBLING;
}

function getSubject(rumour: Rumour): string {
  return rumour.kind === 'member'
    ? `node ${rumour.node}`
    : `server ${rumour.server}`;
}

function compareRumours(left: QueuedRumour, right: QueuedRumour): number {
  const leftRank = left.rumour.kind === 'server-leaving' ? 0 : 1;
  const rightRank = right.rumour.kind === 'server-leaving' ? 0 : 1;
  return leftRank - rightRank || left.sendCount - right.sendCount;
}
