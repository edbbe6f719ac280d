/** Invariant checks that name what broke. */

/** Throws when `condition` is false. For faults of this program, not of its input. */
export function assertInvariant(
  condition: boolean,
  text: string,
): asserts condition {
  if (!condition) throw new Error(`invariant broken: ${text}`);
}

/** Marks the end of an exhaustive switch. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}
