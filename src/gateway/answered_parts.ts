/** Remembers which parts of prompts engines have answered at this node: crashes hit such parts by chance. */
import {trimOldest} from '../runtime/trim_oldest';
import type {Clock} from '../runtime/types';

/** The parts that were answered lately. */
export interface AnsweredParts {
  /** Records that an engine has completed an answer to a prompt with these parts. */
  record(partIds: readonly string[]): void;
  /** Lists those of the parts that were answered lately. */
  listRecent(partIds: readonly string[]): string[];
}

/** How long an answer counts, in milliseconds: parts in use are answered more often, and a part may turn deadly. */
const EXPIRY_MS = 60_000;
const MAX_PARTS = 5_000;

/** Creates an empty memory. */
export function createAnsweredParts(
  clock: Pick<Clock, 'getMonotonicMs'>,
): AnsweredParts {
  /** Time of the last answer by part, earliest first, on the monotonic clock, in milliseconds. */
  const answeredAtMs = new Map<string, number>();
  return {
    record: partIds => {
      for (const partId of partIds) {
        answeredAtMs.delete(partId);
        answeredAtMs.set(partId, clock.getMonotonicMs());
      }
      trimOldest(answeredAtMs, MAX_PARTS);
    },
    listRecent: partIds => {
      const boundMs = clock.getMonotonicMs() - EXPIRY_MS;
      return partIds.filter(
        partId =>
          (answeredAtMs.get(partId) ?? Number.NEGATIVE_INFINITY) >= boundMs,
      );
    },
  };
}
