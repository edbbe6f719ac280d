/** The store's era, which rises each time that the store loses its newest records, and the fencing numbers of its grants. */

/** Highest valid era: fencing numbers of higher ones would not be exact numbers. */
const MAX_ERA = 2 ** 20;
/** Factor of the era in fencing numbers: more than any offset. */
const ERA_FACTOR = 2 ** 32;

/** Returns whether a number that another program stated is a valid era. */
export function isStoreEra(era: number): boolean {
  return Number.isSafeInteger(era) && era >= 0 && era <= MAX_ERA;
}

/** Returns the fencing number of a grant by the end of the log after it: it rises with both, and is never 0. */
export function computeFencingNumber(era: number, endOffset: number): number {
  return era * ERA_FACTOR + endOffset;
}

/** Returns the era and the end of the log that a fencing number was computed from. */
export function parseFencingNumber(fencingNumber: number): {
  era: number;
  endOffset: number;
} {
  return {
    era: Math.floor(fencingNumber / ERA_FACTOR),
    endOffset: fencingNumber % ERA_FACTOR,
  };
}
