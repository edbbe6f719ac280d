/** Measures how many tokens of prompt parts that several prompts share are in recent use. */
import type {Clock} from '../runtime/types';

/** Prompt parts in recent use. */
export interface SharedParts {
  /** Records the use of a part by a prompt. */
  record(partId: string, tokens: number): void;
  /** Returns the tokens of the parts that were used more than once recently. */
  countTokens(): number;
}

/** How long the use of a part counts, in milliseconds. */
const RECENT_MS = 60_000;
/** Maximum number of parts that are remembered; the ones used longest ago are dropped. */
const MAX_PARTS = 20_000;

/** Creates a meter without parts. */
export function createSharedParts(clock: Clock): SharedParts {
  /** Parts by id, the one used longest ago first. */
  const parts = new Map<
    string,
    {tokens: number; usedAtMs: number; useCount: number}
  >();
  let sharedTokens = 0;
  return {
    record: (partId, tokens) => {
      sweep();
      const before = parts.get(partId);
      if (before !== undefined) remove(partId);
      const useCount = (before?.useCount ?? 0) + 1;
      parts.set(partId, {tokens, usedAtMs: clock.getMonotonicMs(), useCount});
      if (useCount > 1) sharedTokens += tokens;
    },
    countTokens: () => {
      sweep();
      return sharedTokens;
    },
  };

  function sweep(): void {
    const oldestMs = clock.getMonotonicMs() - RECENT_MS;
    for (const [id, {usedAtMs}] of parts) {
      if (usedAtMs >= oldestMs && parts.size < MAX_PARTS) return;
      remove(id);
    }
  }

  function remove(partId: string): void {
    const part = parts.get(partId);
    if (part === undefined) return;
    parts.delete(partId);
    if (part.useCount > 1) sharedTokens -= part.tokens;
  }
}
