/** Prompts that wait at this node until an engine has little ahead of it. */
import type {Clock, Timer} from '../runtime/types';

/** A prompt that waits. */
export interface WaitingPrompt {
  /** Rank of its route; 0 is served first. */
  readonly rank: number;
  /** When it is given up, on the monotonic clock, in milliseconds. */
  readonly expiresAtMs: number;
  /** Sends it if an engine may take it now, or ends it; returns false to wait on. */
  readonly tryStart: () => boolean;
  readonly onExpired: () => void;
}

/** The prompts that wait. */
export interface WaitingPrompts {
  /** Adds a prompt; returns a function that takes it out again. */
  add(prompt: WaitingPrompt): () => void;
  count(): number;
  /** Returns how long a prompt that is added now will wait, by the last starts, in milliseconds. */
  predictWaitMs(): number;
}

/** Options of the list. */
export interface WaitingPromptsOptions {
  readonly clock: Clock;
  readonly getRandom: () => number;
  /** Number of other nodes, which look for free engines as well. */
  readonly countPeers: () => number;
  readonly countEngines: () => number;
}

/** Interval of looking for a free engine, in milliseconds: within it other nodes hear of a prompt that was sent. */
const CHECK_INTERVAL_MS = 8;
/** Nodes that send a waiting prompt in one interval, for each engine: more would choose the same free engine. */
const STARTS_PER_ENGINE = 0.5;
/** Weight of the newest interval between two starts in their average. */
const NEWEST_WEIGHT = 0.2;

/** Creates an empty list. */
export function createWaitingPrompts(
  options: WaitingPromptsOptions,
): WaitingPrompts {
  const {clock, getRandom} = options;
  const prompts = new Set<WaitingPrompt>();
  let timer: Timer | undefined;
  /** Since when the first prompt of the list has waited, or the last one was started. */
  let lastStartMs = 0;
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
    const sinceMs = clock.getMonotonicMs() - lastStartMs;
    return prompts.size * Math.max(startIntervalMs, sinceMs);
  }

  /** One at a time: the prompt sent changes the engines' waits. */
  function startOne(): void {
    for (const prompt of chooseCandidates()) {
      if (!prompt.tryStart()) continue;
      prompts.delete(prompt);
      recordStart();
      return;
    }
  }

  /** The first by rank and arrival, and one of the others, which another engine may serve. */
  function chooseCandidates(): WaitingPrompt[] {
    const [first, ...others] = [...prompts].sort(
      (left, right) => left.rank - right.rank,
    );
    if (first === undefined) return [];
    const other = others[Math.floor(getRandom() * others.length)];
    return other === undefined ? [first] : [first, other];
  }
}
