/** Queue of prompts that wait at this node until an engine's own queue is short enough. */
import type {Clock, Timer} from '../runtime/types';

/** A waiting prompt. */
export interface WaitingPrompt {
  /** Rank of its account or route; 0 is served first. */
  readonly rank: number;
  /** When the prompt is dropped from the queue, on the monotonic clock, in milliseconds. */
  readonly expiresAtMs: number;
  /** Sends the prompt if an engine can take it now, or ends its request; returns false when it has to wait longer. */
  readonly tryStart: () => boolean;
  readonly onExpired: () => void;
}

/** The waiting prompts of this node. */
export interface WaitingPrompts {
  /** Adds a prompt; returns a function that removes it. */
  add(prompt: WaitingPrompt): () => void;
  count(): number;
  /** Predicts how long a prompt added now will wait, from the interval between the latest starts or the time since then in which none succeeded, in milliseconds. */
  predictWaitMs(): number;
}

/** Options of the queue. */
export interface WaitingPromptsOptions {
  readonly clock: Clock;
  readonly getRandom: () => number;
  /** Number of other nodes, which compete for the same engines. */
  readonly countPeers: () => number;
  readonly countEngines: () => number;
  /** True for the first seconds after the start, in which this node does not know what the other nodes have sent; never true when absent. */
  readonly isFresh?: () => boolean;
}

/** Mean interval between checks for a free engine, in milliseconds: long enough for the other nodes to learn of a prompt that was sent. */
const CHECK_INTERVAL_MS = 8;
/** Mean number of nodes that may start a waiting prompt in one check interval, per engine: with more, several would choose the same free engine. */
const STARTS_PER_ENGINE = 0.5;
/** Weight of the newest interval between two starts in the moving average. */
const NEWEST_WEIGHT = 0.2;

/** Creates an empty queue. */
export function createWaitingPrompts(
  options: WaitingPromptsOptions,
): WaitingPrompts {
  const {clock, getRandom} = options;
  const prompts = new Set<WaitingPrompt>();
  let timer: Timer | undefined;
  /** When a prompt was last started, or when the first one was added to the empty queue if that is later. */
  let lastStartMs = 0;
  /** When a prompt was last tried and could not be started. */
  let lastFailureMs = 0;
  let startIntervalMs = 0;
  return {
    add: prompt => {
      if (prompts.size === 0) lastStartMs = clock.getMonotonicMs();
      prompts.add(prompt);
      timer ??= schedule();
      return () => {
        prompts.delete(prompt);
      };
    },
    count: () => prompts.size,
    predictWaitMs,
  };

  function schedule(): Timer {
    return clock.schedule(CHECK_INTERVAL_MS * (0.5 + getRandom()), checkAll);
  }

  function checkAll(): void {
    timer = undefined;
    expirePrompts();
    const starts = STARTS_PER_ENGINE * options.countEngines();
    if (getRandom() < starts / (options.countPeers() + 1)) startOne();
    if (prompts.size > 0) timer = schedule();
  }

  function expirePrompts(): void {
    const nowMs = clock.getMonotonicMs();
    for (const prompt of prompts) {
      if (nowMs < prompt.expiresAtMs) continue;
      prompts.delete(prompt);
      prompt.onExpired();
    }
  }

  function recordStart(): void {
    const nowMs = clock.getMonotonicMs();
    startIntervalMs += NEWEST_WEIGHT * (nowMs - lastStartMs - startIntervalMs);
    lastStartMs = nowMs;
  }

  function predictWaitMs(): number {
    if (prompts.size === 0) return 0;
    // Time in which nothing was tried, because this process was held up, says nothing about the engines.
    const failingMs = Math.max(0, lastFailureMs - lastStartMs);
    if (options.isFresh?.()) {
      return Math.max(failingMs, prompts.size * startIntervalMs);
    }
    return prompts.size * Math.max(startIntervalMs, failingMs);
  }

  /** Starts at most one prompt, because it changes the predicted waits of the engines. */
  function startOne(): void {
    for (const prompt of chooseCandidates()) {
      if (!prompt.tryStart()) continue;
      prompts.delete(prompt);
      recordStart();
      return;
    }
    lastFailureMs = clock.getMonotonicMs();
  }

  /** Returns the first prompt by rank and arrival, and a random other one, for which a different engine may be free. */
  function chooseCandidates(): WaitingPrompt[] {
    const [first, ...others] = [...prompts].sort(
      (left, right) => left.rank - right.rank,
    );
    if (first === undefined) return [];
    const other = others[Math.floor(getRandom() * others.length)];
    return other === undefined ? [first] : [first, other];
  }
}
