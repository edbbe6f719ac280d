/**
 * Tags of start-time fair queueing. Virtual time advances with the start tags of what starts. An
 * account's next item begins where its previous one ended in virtual time, or now if that is
 * later, so that an account gains nothing from the time in which it sent nothing.
 */

/** The tags of the accounts that share a queue; times are virtual, in milliseconds. */
export interface StartTags {
  /** Returns the start tag of an account's next item. */
  getStartTag(account: string): number;
  /** Charges an item to its account; returns the end of the item, where the account's next one starts. */
  add(account: string, startTag: number, lengthMs: number): number;
  /** Advances virtual time to the start tag of an item that starts. */
  advance(startTag: number): void;
  getVirtualTime(): number;
  /** Starts over when the queue is empty: fairness covers one busy period. */
  clear(): void;
}

/** Number of kept tags above which those that virtual time has passed are removed. */
const MAX_TAGS = 8_192;

/** Creates tags at virtual time 0. */
export function createStartTags(): StartTags {
  const endTags = new Map<string, number>();
  let virtualTime = 0;
  let sweepSize = MAX_TAGS;
  return {
    getStartTag: account => Math.max(virtualTime, endTags.get(account) ?? 0),
    add: (account, startTag, lengthMs) => {
      const endTag = startTag + lengthMs;
      endTags.set(account, endTag);
      if (endTags.size > sweepSize) sweepPassed();
      return endTag;
    },
    advance: startTag => {
      virtualTime = Math.max(virtualTime, startTag);
    },
    getVirtualTime: () => virtualTime,
    clear: () => {
      endTags.clear();
      virtualTime = 0;
      sweepSize = MAX_TAGS;
    },
  };

  /** Removes tags that virtual time has passed: such an account restarts at the virtual time anyway. */
  function sweepPassed(): void {
    for (const [account, endTag] of endTags) {
      if (endTag <= virtualTime) endTags.delete(account);
    }
    // Otherwise each charge would sweep while more accounts than that are active.
    sweepSize = Math.max(MAX_TAGS, 2 * endTags.size);
  }
}
