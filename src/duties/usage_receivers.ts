/** Chooses the nodes that receive usage counts: the first ones by name of those that answer. */
import type {Clock} from '../runtime/types';

/** The receivers, as this node knows them. */
export interface UsageReceivers {
  /** Lists the names of the receivers, this node's own among them if it is one. */
  list(): readonly string[];
  /** Records that a node answered. */
  recordAnswer(name: string): void;
  /** Records that a node has not answered several messages. */
  recordSilence(name: string): void;
}

/** Options of the receivers. */
export interface UsageReceiversOptions {
  readonly nodeName: string;
  readonly clock: Pick<Clock, 'getMonotonicMs'>;
  readonly listNames: () => readonly string[];
}

/** Number of receivers that answer: several, because more than one may be unavailable. */
const RECEIVER_COUNT = 5;
/** Time for which a silent node is still sent counts, in milliseconds: it may only have been slow, or messages were lost. */
const TRIAL_MS = 10_000;
/** Time after that for which it is passed over, in milliseconds; it doubles each time up to the maximum. */
const FIRST_PAUSE_MS = 10_000;
const MAX_PAUSE_MS = 80_000;
/** Age up to which a silence is new, in milliseconds. For each one a receiver is added: names of a failure domain that is lost often follow one another. */
const NEW_SILENCE_MS = 3_000;

interface Silence {
  readonly atMs: number;
  readonly pauseMs: number;
}

/** Creates receivers of which all are taken to answer. */
export function createUsageReceivers(
  options: UsageReceiversOptions,
): UsageReceivers {
  const {nodeName, clock} = options;
  const silences = new Map<string, Silence>();
  let sortedNames: readonly string[] = [];
  return {
    list,
    recordAnswer: name => silences.delete(name),
    recordSilence,
  };

  function list(): readonly string[] {
    const nowMs = clock.getMonotonicMs();
    const listed: string[] = [];
    let missing = RECEIVER_COUNT + countNewSilences(nowMs);
    for (const name of listSorted()) {
      if (missing === 0) break;
      const silence = tryGetSilence(name, nowMs);
      if (silence === undefined) missing--;
      else if (nowMs - silence.atMs >= TRIAL_MS) continue;
      listed.push(name);
    }
    return listed;
  }

  /** Sorts the names when their number has changed: known nodes are never removed. */
  function listSorted(): readonly string[] {
    const names = options.listNames();
    if (sortedNames.length !== names.length + 1) {
      sortedNames = [...names, nodeName].sort();
    }
    return sortedNames;
  }

  function countNewSilences(nowMs: number): number {
    let count = 0;
    for (const {atMs} of silences.values()) {
      if (nowMs - atMs < NEW_SILENCE_MS) count++;
    }
    return count;
  }

  /** Returns the silence of a node until its pause is over. */
  function tryGetSilence(name: string, nowMs: number): Silence | undefined {
    const silence = silences.get(name);
    if (silence === undefined) return undefined;
    return nowMs - silence.atMs < TRIAL_MS + silence.pauseMs
      ? silence
      : undefined;
  }

  function recordSilence(name: string): void {
    const nowMs = clock.getMonotonicMs();
    if (tryGetSilence(name, nowMs) !== undefined) return;
    const earlier = silences.get(name);
    const pauseMs =
      earlier === undefined
        ? FIRST_PAUSE_MS
        : Math.min(MAX_PAUSE_MS, 2 * earlier.pauseMs);
    silences.set(name, {atMs: nowMs, pauseMs});
  }
}
