/** Check of the store's era, which rises each time that the store loses its newest records. */

/** Highest valid era: fencing numbers of higher ones would not be exact numbers. */
const MAX_ERA = 2 ** 20;

/** Returns whether a number that another program stated is a valid era. */
export function isStoreEra(era: number): boolean {
  return Number.isSafeInteger(era) && era >= 0 && era <= MAX_ERA;
}
