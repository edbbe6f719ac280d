/** Types of the limits on the memory that a process holds for callers and servers that read or write slowly. */

/** What a process may hold, in bytes. */
export interface MemoryLimits {
  /** Bodies of requests, received in part or whole, until their last call has ended. */
  readonly bodyBytes: number;
  /** Parts of answers that their callers have not taken yet. */
  readonly answerBytes: number;
}

/** Why the connection of a caller is ended that does not take its answer. */
export const UnreadReason = {
  /** The caller took nothing for longer than it waits itself. */
  Stalled: 'stalled',
  /** The process holds too much, and this caller has taken nothing for the longest time. */
  Memory: 'memory',
} as const;
export type UnreadReason = (typeof UnreadReason)[keyof typeof UnreadReason];

/** A body that is being received. */
export interface HeldBody {
  /** Accounts for bytes before they are kept; false when the process holds too much, and this body is to be refused. */
  tryGrow(bytes: number): boolean;
  /** Ends the receipt: the body stays accounted for, but is not refused any more. */
  complete(): void;
  /** Keeps a complete body accounted for until the returned function is called, whether or not it is released meanwhile. */
  hold(): () => void;
  release(): void;
}

/** Bodies of requests in the memory of the process. */
export interface BodyBudget {
  /** Adds a body; `refuse` is called when it must make room for others. */
  add(refuse: () => void): HeldBody;
  getHeldBytes(): number;
}

/** An answer whose caller reads slowly. */
export interface SlowAnswer {
  /** Returns the bytes that the caller has not taken yet. */
  readonly getHeldBytes: () => number;
  /** Returns the bytes that the caller has taken. */
  readonly getTakenBytes: () => number;
  /** Returns the bytes that are still to come from the server; undefined when the answer states no length. */
  readonly tryGetRemainingBytes: () => number | undefined;
  /** Time after which a caller that takes nothing is ended, in milliseconds. */
  readonly getLimitMs: () => number;
  /** Ends the caller's connection. */
  readonly end: (
    reason: UnreadReason,
    heldBytes: number,
    forMs: number,
  ) => void;
}

/** Answers that wait for their callers. */
export interface AnswerBudget {
  /** Accounts for an answer after bytes were added to it; returns whether more of it may be held. */
  update(answer: SlowAnswer): boolean;
  remove(answer: SlowAnswer): void;
  /** Ends the callers that have taken nothing for too long; to be called several times a second. */
  sweep(): void;
  getHeldBytes(): number;
  count(): number;
}
