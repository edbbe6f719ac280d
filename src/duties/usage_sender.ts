/** Sends this node's counts to the receivers until they acknowledge them. */
import type {Clock} from '../runtime/types';
import type {FleetTime} from './fleet_time';
import {
  splitCounts,
  type UsageAckMessage,
  type UsageMessage,
} from './usage_messages';
import type {UsageMeter} from './usage_meter';
import type {UsageReceivers} from './usage_receivers';

/** Sends the counts of the latest windows. */
export interface UsageSender {
  /** Sends what is due; called several times per second. */
  sendDue(): void;
  handleAck(message: UsageAckMessage): void;
  /** Sends the counts that are not acknowledged once more and announces the end of the process. */
  sendLast(): void;
}

/** Options of the sender. */
export interface UsageSenderOptions {
  readonly nodeName: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly time: FleetTime;
  readonly meter: UsageMeter;
  readonly receivers: UsageReceivers;
  readonly windowMs: number;
  /** Time after a window's end for which its counts are sent, in milliseconds. */
  readonly dueMs: number;
  readonly countNodes: () => number;
  readonly getRandom: () => number;
  /** Sends a message to a node, which may be this one. */
  readonly send: (nodeName: string, message: UsageMessage) => void;
}

/** Time from a window's end until its counts are taken for final, in milliseconds: requests that just began are being recorded. */
const FINAL_DELAY_MS = 100;
/** Final counts are spread over this time per node of the fleet, and at most the maximum, in milliseconds, so that they do not overflow a receiver's socket buffer. */
const SPREAD_PER_NODE_MS = 5;
const MAX_SPREAD_MS = 600;
/** Delay before counts that were not acknowledged are sent again, in milliseconds; it doubles each time up to the maximum. */
const FIRST_RETRY_MS = 300;
const MAX_RETRY_MS = 1_200;
/** Unanswered messages in a row after which a receiver is passed over. */
const MAX_UNANSWERED = 3;

interface WindowState {
  /** Counts that are being sent; they are replaced when the counts have grown at a later step. */
  total: number;
  isFinal: boolean;
  readonly acknowledged: Set<string>;
  readonly unanswered: Map<string, number>;
  nextAtMs: number;
  retryMs: number;
}

/** Creates a sender; the window in which it is created is the first one. */
export function createUsageSender(options: UsageSenderOptions): UsageSender {
  const {clock, time, meter, receivers, windowMs} = options;
  const windows = new Map<number, WindowState>();
  const keptWindows = Math.ceil(options.dueMs / windowMs) + 1;
  // Receivers expect final counts of the window before the start too.
  let nextFinal = getCurrentWindow() - 1;
  let nextPartial = getCurrentWindow();
  return {sendDue, handleAck, sendLast};

  function sendDue(): void {
    const nowMs = time.getTimeMs();
    const current = getCurrentWindow();
    // The numbers depart from the current one when the clocks have jumped or the VM was suspended.
    if (nextFinal > current) nextFinal = current - 1;
    if (nextPartial > current + 1) nextPartial = current;
    nextFinal = Math.max(nextFinal, current - keptWindows);
    nextPartial = Math.max(nextPartial, current);
    while (nowMs >= (nextFinal + 1) * windowMs + FINAL_DELAY_MS) {
      startSending(nextFinal++, true);
    }
    if (nowMs >= (nextPartial + 0.5) * windowMs) {
      startSending(nextPartial++, false);
    }
    for (const [windowId, state] of windows) {
      if (windowId < current - keptWindows) windows.delete(windowId);
      else sendUnacknowledged(windowId, state);
    }
    meter.expire(current - keptWindows);
  }

  function startSending(windowId: number, isFinal: boolean): void {
    const total = countRequests(meter.getCounts(windowId));
    if (total === 0 && !isFinal) return;
    const spreadMs = Math.min(
      MAX_SPREAD_MS,
      SPREAD_PER_NODE_MS * options.countNodes(),
    );
    windows.set(windowId, {
      total,
      isFinal,
      acknowledged: new Set(),
      unanswered: windows.get(windowId)?.unanswered ?? new Map(),
      nextAtMs: clock.getMonotonicMs() + options.getRandom() * spreadMs,
      retryMs: FIRST_RETRY_MS,
    });
  }

  function sendUnacknowledged(windowId: number, state: WindowState): void {
    if (state.isFinal) updateIfGrown(windowId, state);
    const nowMs = clock.getMonotonicMs();
    if (nowMs < state.nextAtMs) return;
    state.nextAtMs = nowMs + state.retryMs * (0.75 + options.getRandom() / 2);
    state.retryMs = Math.min(MAX_RETRY_MS, 2 * state.retryMs);
    for (const [name, count] of state.unanswered) {
      if (count < MAX_UNANSWERED) continue;
      receivers.recordSilence(name);
      state.unanswered.delete(name);
    }
    const names = receivers
      .list()
      .filter(name => !state.acknowledged.has(name));
    for (const name of names) {
      state.unanswered.set(name, (state.unanswered.get(name) ?? 0) + 1);
    }
    sendCounts(windowId, state.isFinal, names);
  }

  /** Final counts still grow when the window of some requests was found late. */
  function updateIfGrown(windowId: number, state: WindowState): void {
    const total = countRequests(meter.getCounts(windowId));
    if (total <= state.total) return;
    state.total = total;
    state.acknowledged.clear();
    state.nextAtMs = clock.getMonotonicMs();
  }

  function sendCounts(
    windowId: number,
    isFinal: boolean,
    names: readonly string[],
    isLeaving = false,
  ): void {
    if (names.length === 0) return;
    const counts = meter.getCounts(windowId);
    const total = countRequests(counts);
    const parts = splitCounts(counts);
    for (const name of names) {
      for (const part of parts) {
        options.send(name, {
          kind: 'usage',
          from: options.nodeName,
          incarnation: options.incarnation,
          windowId,
          counts: part,
          total,
          isFinal,
          ...(isLeaving ? {isLeaving} : {}),
          wallMs: clock.getWallMs(),
        });
      }
    }
  }

  function handleAck(message: UsageAckMessage): void {
    receivers.recordAnswer(message.from);
    if (message.incarnation !== options.incarnation) return;
    const state = windows.get(message.windowId);
    if (state === undefined) return;
    state.unanswered.delete(message.from);
    if (message.total < state.total) return;
    if (state.isFinal && !message.isFinal) return;
    state.acknowledged.add(message.from);
  }

  function sendLast(): void {
    const current = getCurrentWindow();
    for (let windowId = current - 1; windowId <= current; windowId++) {
      sendCounts(windowId, true, receivers.list(), true);
    }
  }

  function getCurrentWindow(): number {
    return Math.floor(time.getTimeMs() / windowMs);
  }
}

function countRequests(counts: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const count of counts.values()) sum += count;
  return sum;
}
