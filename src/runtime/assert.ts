/** Assertions of internal invariants. */

/** Throws when `condition` is false. For bugs in this program; invalid input is reported as an error value. */
export function assertInvariant(
  condition: boolean,
  text: string,
): asserts condition {
  if (!condition) throw new Error(`invariant violated: ${text}`);
}

/** Marks the unreachable end of an exhaustive switch; throws when it is reached. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}
