/** Returns whether a value that another program stated is a whole number from 0 on that is represented exactly. */
export function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}
