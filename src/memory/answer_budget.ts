/** Bounds the parts of answers that a process holds for callers that read slowly. */
import type {Clock} from '../runtime/types';
import {
  type AnswerBudget,
  type MemoryLimits,
  type SlowAnswer,
  UnreadReason,
} from './types';

/** Length of the rest of an answer, in bytes, up to which it is read from its server although the caller does not take it: this frees the server, which cuts off answers that remain unread for seconds, and takes little more memory than a pause. */
const READ_AHEAD_BYTES = 262_144;
/** The same for answers that state no length. */
const UNSIZED_READ_AHEAD_BYTES = 65_536;
/** Memory of a connection to a server whose answer is not read, in bytes: 190 KB for each slow caller were measured, of which the caller's side holds a chunk of 64 KiB. */
const PAUSED_SERVER_BYTES = 131_072;
/** Part of the budget above which answers without a length are not read ahead, so that no caller need be ended for it. */
const READ_AHEAD_PART = 0.5;

interface Entry {
  heldBytes: number;
  takenBytes: number;
  /** Bytes accounted for, those on the connection to the server included. */
  accountedBytes: number;
  /** Since when the caller has taken nothing, on the monotonic clock, in milliseconds. */
  sinceMs: number;
}

/** Creates an empty budget. */
export function createAnswerBudget(options: {
  readonly clock: Pick<Clock, 'getMonotonicMs'>;
  readonly limits: Pick<MemoryLimits, 'answerBytes'>;
}): AnswerBudget {
  const {clock} = options;
  const {answerBytes} = options.limits;
  /** In the order in which their callers last took bytes. */
  const entries = new Map<SlowAnswer, Entry>();
  let heldBytes = 0;
  return {
    update,
    remove,
    sweep,
    getHeldBytes: () => heldBytes,
    count: () => entries.size,
  };

  function update(answer: SlowAnswer): boolean {
    const canHold = observe(answer);
    if (heldBytes > answerBytes) trimToLimit();
    return canHold && entries.has(answer);
  }

  /** Measures what is held for an answer, and whether its caller has taken bytes since. */
  function observe(answer: SlowAnswer): boolean {
    const entry = entries.get(answer);
    const next = answer.getHeldBytes();
    const takenBytes = answer.getTakenBytes();
    const remainingBytes = answer.tryGetRemainingBytes();
    const canHold =
      remainingBytes === undefined
        ? next <= UNSIZED_READ_AHEAD_BYTES &&
          heldBytes <= answerBytes * READ_AHEAD_PART
        : next + remainingBytes <= READ_AHEAD_BYTES || remainingBytes === 0;
    const accountedBytes = next + (canHold ? 0 : PAUSED_SERVER_BYTES);
    const hasProgress = entry === undefined || takenBytes > entry.takenBytes;
    const sinceMs = hasProgress ? clock.getMonotonicMs() : entry.sinceMs;
    heldBytes += accountedBytes - (entry?.accountedBytes ?? 0);
    if (hasProgress) entries.delete(answer);
    entries.set(answer, {
      heldBytes: next,
      takenBytes,
      accountedBytes,
      sinceMs,
    });
    return canHold;
  }

  function remove(answer: SlowAnswer): void {
    const entry = entries.get(answer);
    if (entry === undefined) return;
    entries.delete(answer);
    heldBytes -= entry.accountedBytes;
  }

  function sweep(): void {
    for (const answer of [...entries.keys()]) observe(answer);
    const nowMs = clock.getMonotonicMs();
    for (const [answer, {sinceMs}] of [...entries]) {
      if (nowMs - sinceMs < answer.getLimitMs()) continue;
      cancelAnswer(answer, UnreadReason.Stalled);
    }
    trimToLimit();
  }

  function trimToLimit(): void {
    for (const [answer, {takenBytes}] of [...entries]) {
      if (heldBytes <= answerBytes) return;
      observe(answer);
      const hasProgress = answer.getTakenBytes() > takenBytes;
      if (hasProgress || heldBytes <= answerBytes) continue;
      cancelAnswer(answer, UnreadReason.Memory);
    }
    for (const answer of [...entries.keys()]) {
      if (heldBytes <= answerBytes) return;
      cancelAnswer(answer, UnreadReason.Memory);
    }
  }

  function cancelAnswer(answer: SlowAnswer, reason: UnreadReason): void {
    const entry = entries.get(answer);
    if (entry === undefined) return;
    remove(answer);
    const forMs = clock.getMonotonicMs() - entry.sinceMs;
    answer.end(reason, entry.heldBytes, Math.round(forMs));
  }
}
