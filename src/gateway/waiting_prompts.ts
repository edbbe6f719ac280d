/**
 * Queue of prompts that wait at this node until an engine's own queue is short enough, by rank,
 * then callers that were refused and waited as told, then by start-time fair queueing over client accounts, then by arrival. Without accounts,
 * all prompts belong to one, whose start tags never decrease.
 */
import type {Clock, Timer} from '../runtime/types';
import {createStartTags, type StartTags} from '../shares';

/** What the place of a prompt in the queue depends on. */
export interface PromptClaim {
  /** Rank of its account or route; 0 is served first. */
  readonly rank: number;
  /** Name of its client account; empty without one. */
  readonly account: string;
  /** True when the prompt exceeds its account's share: it comes after all others of its rank. */
  readonly isOverShare: boolean;
  /** True when its caller was refused before and waited as told: it comes before others of its rank and share class. */
  readonly hasWaited?: boolean;
  /** Name of its service, whose engines it waits for. */
  readonly service?: string;
}

/** A waiting prompt. */
export interface WaitingPrompt extends PromptClaim {
  /** Predicted engine time, in milliseconds. */
  readonly workMs: number;
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
  /** True when a prompt has to leave the next engine to a waiting one of its service, rank and share class, whose caller waited as told. */
  mustYield(claim: PromptClaim): boolean;
  /** Predicts how long a prompt added now will wait, from the interval between the latest starts or the time since then in which none succeeded, in milliseconds; behind all others if it has no claim. */
  predictWaitMs(claim?: PromptClaim): number;
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

/** A prompt in the queue. */
interface QueuedPrompt {
  readonly prompt: WaitingPrompt;
  readonly startTag: number;
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
  /** In the order in which they start. */
  const prompts: QueuedPrompt[] = [];
  /** By rank: within each, accounts share on their own. */
  const tagsByRank = new Map<number, StartTags>();
  /** Numbers of prompts whose callers waited as told, by `formatClass`. */
  const waitedCounts = new Map<string, number>();
  let timer: Timer | undefined;
  /** When a prompt was last started, or when the first one was added to the empty queue if that is later. */
  let lastStartMs = 0;
  /** When a prompt was last tried and could not be started. */
  let lastFailureMs = 0;
  let startIntervalMs = 0;
  return {
    add,
    count: () => prompts.length,
    mustYield: claim =>
      claim.hasWaited !== true && waitedCounts.has(formatClass(claim)),
    predictWaitMs,
  };

  function add(prompt: WaitingPrompt): () => void {
    if (prompts.length === 0) lastStartMs = clock.getMonotonicMs();
    const tags = getTags(prompt.rank);
    const startTag = tags.getStartTag(prompt.account);
    // Prompts are charged when they are added, also those that will not be served: their places never change.
    tags.add(prompt.account, startTag, prompt.workMs);
    const queued = {prompt, startTag};
    prompts.splice(findPlace(prompt, startTag), 0, queued);
    recordWaited(prompt, 1);
    timer ??= schedule();
    return () => {
      remove(queued);
    };
  }

  function getTags(rank: number): StartTags {
    const tags = tagsByRank.get(rank) ?? createStartTags();
    tagsByRank.set(rank, tags);
    return tags;
  }

  /** Returns the number of prompts that start before a new one. */
  function findPlace(claim: PromptClaim, startTag: number): number {
    let low = 0;
    let high = prompts.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const {prompt, startTag: otherTag} = prompts[middle];
      if (comparePlaces(claim, startTag, prompt, otherTag) < 0) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  /** Removes a prompt; returns false when it is not in the queue any more. */
  function remove(queued: QueuedPrompt): boolean {
    const index = prompts.indexOf(queued);
    if (index < 0) return false;
    prompts.splice(index, 1);
    recordWaited(queued.prompt, -1);
    if (prompts.length === 0) tagsByRank.clear();
    return true;
  }

  function recordWaited(claim: PromptClaim, change: number): void {
    if (claim.hasWaited !== true) return;
    const key = formatClass(claim);
    const count = (waitedCounts.get(key) ?? 0) + change;
    if (count === 0) waitedCounts.delete(key);
    else waitedCounts.set(key, count);
  }

  /** Advances virtual time by a prompt that starts, unless prompts of its rank with earlier tags go on waiting. */
  function advanceTags(queued: QueuedPrompt): void {
    const {rank} = queued.prompt;
    const first = prompts.find(({prompt}) => prompt.rank === rank);
    if (first === queued) getTags(rank).advance(queued.startTag);
  }

  function schedule(): Timer {
    return clock.schedule(CHECK_INTERVAL_MS * (0.5 + getRandom()), checkAll);
  }

  function checkAll(): void {
    timer = undefined;
    expirePrompts();
    const starts = STARTS_PER_ENGINE * options.countEngines();
    if (getRandom() < starts / (options.countPeers() + 1)) startOne();
    if (prompts.length > 0) timer = schedule();
  }

  function expirePrompts(): void {
    const nowMs = clock.getMonotonicMs();
    const expired = prompts.filter(({prompt}) => nowMs >= prompt.expiresAtMs);
    for (const queued of expired) {
      if (remove(queued)) queued.prompt.onExpired();
    }
  }

  function recordStart(): void {
    const nowMs = clock.getMonotonicMs();
    startIntervalMs += NEWEST_WEIGHT * (nowMs - lastStartMs - startIntervalMs);
    lastStartMs = nowMs;
  }

  function predictWaitMs(claim?: PromptClaim): number {
    const ahead =
      claim === undefined
        ? prompts.length
        : findPlace(
            claim,
            tagsByRank.get(claim.rank)?.getStartTag(claim.account) ?? 0,
          );
    if (ahead === 0) return 0;
    // Time in which nothing was tried, because this process was held up, says nothing about the engines.
    const failingMs = Math.max(0, lastFailureMs - lastStartMs);
    if (options.isFresh?.()) {
      return Math.max(failingMs, ahead * startIntervalMs);
    }
    return ahead * Math.max(startIntervalMs, failingMs);
  }

  /** Starts at most one prompt, because it changes the predicted waits of the engines. */
  function startOne(): void {
    for (const queued of chooseCandidates()) {
      if (!queued.prompt.tryStart()) continue;
      advanceTags(queued);
      remove(queued);
      recordStart();
      return;
    }
    lastFailureMs = clock.getMonotonicMs();
  }

  /** Returns the first prompt, and a random other one, for which a different engine may be free. */
  function chooseCandidates(): QueuedPrompt[] {
    const [first] = prompts;
    if (first === undefined) return [];
    const otherCount = prompts.length - 1;
    const other = prompts[1 + Math.floor(getRandom() * otherCount)];
    return other === undefined ? [first] : [first, other];
  }
}

/** Compares the places of two prompts; negative if the left one starts first. */
function comparePlaces(
  left: PromptClaim,
  leftTag: number,
  right: PromptClaim,
  rightTag: number,
): number {
  if (left.rank !== right.rank) return left.rank - right.rank;
  if (left.isOverShare !== right.isOverShare) return left.isOverShare ? 1 : -1;
  const leftWaited = left.hasWaited === true;
  if (leftWaited !== (right.hasWaited === true)) return leftWaited ? -1 : 1;
  return leftTag - rightTag;
}

function formatClass({service, rank, isOverShare}: PromptClaim): string {
  return `${rank} ${isOverShare} ${service ?? ''}`;
}
