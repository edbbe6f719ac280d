/** Decides whether this node sends the orders, or leaves them to another node. */
import {createCallFailures, YIELD_MS} from '../duties/call_failures';
import {PLANNER_COUNT} from '../planning/planner_count';
import type {OrderOutcome} from './send_orders';

/** Whose turn it is to send orders. */
export interface Succession {
  /** Returns whether no node before this one does the work. */
  canAct(nowMs: number): boolean;
  /** Returns whether orders that have been due since then may be sent. */
  canSend(dueSinceMs: number, nowMs: number): boolean;
  /** Returns whether this node tells the others that it does the work. */
  canNotify(nowMs: number): boolean;
  /** Records that this node can plan from now on; so can the nodes before it, which may not have acted yet. */
  recordReady(nowMs: number): void;
  /** Records a message of a node that does the work. */
  recordHeard(from: string, nowMs: number): void;
  /** Records that the authority was denied; it is lost when another task or node was faster. */
  recordDenied(reason: string, nowMs: number): void;
  /** Records that the authority was granted or is not needed. */
  recordGranted(): void;
  /** Records how an order ended; returns true when the orders are now left to others for a longer time. */
  recordOutcome(outcome: OrderOutcome, nowMs: number): boolean;
}

/** Options of the succession. */
export interface SuccessionOptions {
  readonly nodeName: string;
  /** Minimum time between the orders of two different holders, in milliseconds. */
  readonly leaseMs: number;
  readonly startedAtMs: number;
  /** Counts the known nodes whose names sort before this node's. */
  readonly countNodesBefore: () => number;
}

/** Time after which a node takes over from those before it, in milliseconds, and the addition for each of them. */
const TAKEOVER_MS = 2_000;
const NODE_DELAY_MS = 700;
const MAX_NODE_DELAY_MS = 10_000;
/** Delay before the next attempt after the authority was denied or the platform took no call, in milliseconds. */
const RETRY_MS = 1_000;
/** Delay after another task of this node, or another node, was granted the authority first, in milliseconds. */
const LOST_RETRY_MS = 200;
/** Delay after the platform refused a call because of too many, in milliseconds. */
const LIMITED_RETRY_MS = 200;

/** Creates the succession of a node that has just started. */
export function createSuccession(options: SuccessionOptions): Succession {
  let heardAtMs = options.startedAtMs;
  let pausedUntilMs = 0;
  /** Until when this node leaves the orders to others. */
  let yieldedUntilMs = 0;
  const failures = createCallFailures();
  let isDenied = false;
  return {
    canAct,
    canSend: (dueSinceMs, nowMs) =>
      nowMs >= pausedUntilMs && nowMs - dueSinceMs >= getDueMs(),
    // A node that is not granted authority is silent, so that the holder acts.
    canNotify: nowMs => canAct(nowMs) && !isDenied,
    recordReady: nowMs => {
      heardAtMs = nowMs;
    },
    recordHeard: (from, nowMs) => {
      if (from < options.nodeName) heardAtMs = nowMs;
    },
    recordDenied: (reason, nowMs) => {
      isDenied = true;
      pausedUntilMs = nowMs + (reason === 'lost' ? LOST_RETRY_MS : RETRY_MS);
    },
    recordGranted: () => {
      isDenied = false;
    },
    recordOutcome,
  };

  function canAct(nowMs: number): boolean {
    if (nowMs < yieldedUntilMs) return false;
    return nowMs - heardAtMs >= getTakeoverMs();
  }

  function getTakeoverMs(): number {
    const before = options.countNodesBefore();
    if (before === 0) return 0;
    return TAKEOVER_MS + Math.min(MAX_NODE_DELAY_MS, NODE_DELAY_MS * before);
  }

  /** Only the first nodes are told that the node before them works; the others wait until orders have stayed due. */
  function getDueMs(): number {
    return options.countNodesBefore() < PLANNER_COUNT ? 0 : getTakeoverMs();
  }

  function recordOutcome(outcome: OrderOutcome, nowMs: number): boolean {
    switch (outcome) {
      case 'unavailable':
      case 'unknown':
        pausedUntilMs = nowMs + RETRY_MS;
        break;
      case 'limited':
        pausedUntilMs = nowMs + LIMITED_RETRY_MS;
        break;
      case 'fenced':
        // Another holder has a higher number; its orders come first.
        yieldedUntilMs = nowMs + options.leaseMs;
        break;
    }
    const end = outcome === 'ordered' ? 'success' : outcome;
    const isOver = failures.recordEnd(end, nowMs);
    if (isOver) yieldedUntilMs = nowMs + YIELD_MS;
    return isOver;
  }
}
