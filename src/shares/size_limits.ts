/**
 * Chooses which prompts an account's share covers: the smallest ones, so that the share serves as
 * many of its callers as possible. For each account, a limit on a prompt's work follows the
 * arriving prompts such that those below it make up the covered fraction of the work.
 */

/** The limits of the accounts over their shares. */
export interface SizeLimits {
  /** Returns true when the share, which covers a fraction of the account's work, covers a prompt; adjusts the limit. */
  admit(key: string, fraction: number, workMs: number): boolean;
  /** Returns what `admit` would return, without adjusting the limit. */
  isCovered(key: string, workMs: number): boolean;
  /** Removes the limits of all other accounts. */
  retain(keys: ReadonlySet<string>): void;
}

interface SizeLimit {
  limitMs: number;
  /** Moving average of the prompts' work. */
  meanMs: number;
}

/** Relative change of a limit by a prompt of mean work: limits settle within some ten prompts. */
const LIMIT_STEP = 0.1;
/** Weight of the newest prompt in the mean. */
const NEWEST_WEIGHT = 0.05;
/** Largest multiple of the mean by which one prompt changes the limit. */
const MAX_CHANGE = 5;

/** Creates limits for no accounts. */
export function createSizeLimits(): SizeLimits {
  const limits = new Map<string, SizeLimit>();
  return {
    isCovered: (key, workMs) =>
      workMs <= (limits.get(key)?.limitMs ?? workMs) || workMs <= 0,
    admit: (key, fraction, workMs) => {
      if (workMs <= 0) return true;
      const limit = limits.get(key) ?? {limitMs: workMs, meanMs: workMs};
      limits.set(key, limit);
      const isCovered = workMs <= limit.limitMs;
      limit.meanMs += NEWEST_WEIGHT * (workMs - limit.meanMs);
      const change = Math.min(MAX_CHANGE, workMs / limit.meanMs);
      limit.limitMs *= Math.exp(
        LIMIT_STEP * change * (fraction - (isCovered ? 1 : 0)),
      );
      return isCovered;
    },
    retain: keys => {
      for (const key of limits.keys()) if (!keys.has(key)) limits.delete(key);
    },
  };
}
