/** Rumours that are still to be passed on, each a bounded number of times. */
import {MAX_MESSAGE_RUMOURS, type Rumour} from './types';

/** Rumours by subject; a newer one replaces the older. */
export interface RumourQueue {
  add(rumour: Rumour): void;
  /** Takes the rumours for one message: urgent ones first, then those sent least. */
  take(memberCount: number): readonly Rumour[];
  isEmpty(): boolean;
}

interface QueuedRumour {
  readonly rumour: Rumour;
  timesSent: number;
}

/** How often a rumour is sent, for each doubling of the number of nodes. */
const SENDS_PER_DOUBLING = 3;
/** Most subjects in the queue; the one sent most gives way. */
const MAX_QUEUED = 4_096;

/** Creates an empty queue. */
export function createRumourQueue(): RumourQueue {
  const queued = new Map<string, QueuedRumour>();
  return {add, take, isEmpty: () => queued.size === 0};

  function add(rumour: Rumour): void {
    const subject = getSubject(rumour);
    if (queued.size >= MAX_QUEUED && !queued.has(subject)) removeOldest();
    queued.delete(subject);
    queued.set(subject, {rumour, timesSent: 0});
  }

  function removeOldest(): void {
    const [oldest] = queued.keys();
    queued.delete(oldest);
  }

  function take(memberCount: number): Rumour[] {
    const doublings = Math.ceil(Math.log2(memberCount + 2));
    const maxSends = SENDS_PER_DOUBLING * doublings;
    const chosen = [...queued.values()]
      .sort(compareRumours)
      .slice(0, MAX_MESSAGE_RUMOURS);
    for (const item of chosen) {
      item.timesSent++;
      if (item.timesSent >= maxSends) queued.delete(getSubject(item.rumour));
    }
    return chosen.map(item => item.rumour);
  }
}

function getSubject(rumour: Rumour): string {
  return rumour.kind === 'member'
    ? `node ${rumour.node}`
    : `server ${rumour.server}`;
}

function compareRumours(left: QueuedRumour, right: QueuedRumour): number {
  const isLeftUrgent = left.rumour.kind === 'server-leaving' ? 0 : 1;
  const isRightUrgent = right.rumour.kind === 'server-leaving' ? 0 : 1;
  return isLeftUrgent - isRightUrgent || left.timesSent - right.timesSent;
}
