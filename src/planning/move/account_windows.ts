/** Counts the requests of each client account by outcome, over a sliding window. */
import type {Clock} from '../../runtime';
import type {AccountWindow} from './types';

/** Length of the time slot of one count, in milliseconds. */
const SLOT_MS = 5_000;
/** Longest window that can be read; older slots are dropped, in milliseconds. */
const MAX_WINDOW_MS = 3_600_000;

/** Options of `createAccountWindows`. */
export interface AccountWindowsOptions {
  readonly clock: Clock;
  /** Returns whether the requests of an account are counted: only accounts with a move are. */
  readonly isCounted: (clientAccount: string) => boolean;
}

/** Outcome of one request. */
export interface CountedRequest {
  readonly clientAccount: string;
  readonly isInDeadline: boolean;
  readonly isFailed: boolean;
}

/** Request counts of one node. */
export interface AccountWindows {
  /**
   * Counts an open request that may use the origin. The returned function removes it; further calls
   * do nothing.
   */
  addOpenAtOrigin(clientAccount: string): () => void;
  /** Counts a request that has ended. */
  add(request: CountedRequest): void;
  /** Returns the counts of the last `windowMs`, and the open requests. */
  getWindow(clientAccount: string, windowMs: number): AccountWindow;
}

interface Slot {
  readonly startMs: number;
  requests: number;
  inDeadline: number;
  failed: number;
}

/** Creates empty counts. */
export function createAccountWindows(
  options: AccountWindowsOptions,
): AccountWindows {
  const {clock, isCounted} = options;
  const slotsByAccount = new Map<string, Slot[]>();
  const openByAccount = new Map<string, number>();
  return {addOpenAtOrigin, add, getWindow};

  function addOpenAtOrigin(clientAccount: string): () => void {
    let isOpen = true;
    updateOpen(clientAccount, 1);
    return () => {
      if (isOpen) updateOpen(clientAccount, -1);
      isOpen = false;
    };
  }

  function updateOpen(clientAccount: string, change: number): void {
    const open = (openByAccount.get(clientAccount) ?? 0) + change;
    if (open > 0) openByAccount.set(clientAccount, open);
    else openByAccount.delete(clientAccount);
  }

  function add(request: CountedRequest): void {
    if (!isCounted(request.clientAccount)) {
      slotsByAccount.delete(request.clientAccount);
      return;
    }
    const slot = getCurrentSlot(request.clientAccount);
    slot.requests++;
    if (request.isInDeadline) slot.inDeadline++;
    if (request.isFailed) slot.failed++;
  }

  function getCurrentSlot(clientAccount: string): Slot {
    const nowMs = clock.getMonotonicMs();
    const startMs = Math.floor(nowMs / SLOT_MS) * SLOT_MS;
    const slots = slotsByAccount.get(clientAccount) ?? [];
    slotsByAccount.set(clientAccount, slots);
    while (slots.length > 0 && slots[0].startMs < nowMs - MAX_WINDOW_MS) {
      slots.shift();
    }
    const last = slots.at(-1);
    if (last?.startMs === startMs) return last;
    const slot = {startMs, requests: 0, inDeadline: 0, failed: 0};
    slots.push(slot);
    return slot;
  }

  function getWindow(clientAccount: string, windowMs: number): AccountWindow {
    const sinceMs = clock.getMonotonicMs() - windowMs;
    const window = {
      requests: 0,
      inDeadline: 0,
      failed: 0,
      openAtOrigin: openByAccount.get(clientAccount) ?? 0,
    };
    for (const slot of slotsByAccount.get(clientAccount) ?? []) {
      if (slot.startMs < sinceMs) continue;
      window.requests += slot.requests;
      window.inDeadline += slot.inDeadline;
      window.failed += slot.failed;
    }
    return window;
  }
}

/** Returns the sum of the windows of several nodes. */
export function mergeWindows(windows: readonly AccountWindow[]): AccountWindow {
  return {
    requests: windows.reduce((sum, item) => sum + item.requests, 0),
    inDeadline: windows.reduce((sum, item) => sum + item.inDeadline, 0),
    failed: windows.reduce((sum, item) => sum + item.failed, 0),
    openAtOrigin: windows.reduce((sum, item) => sum + item.openAtOrigin, 0),
  };
}
