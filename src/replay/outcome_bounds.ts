/** Checks an outcome against the bounds in the file beside its trace. */
import {Err, Ok, type Result} from 'ts-results';
import {z} from 'zod';
import type {Outcome, OutcomeBounds, ViolatedBound} from './types';

const boundsSchema = z.record(
  z.string(),
  z.strictObject({min: z.number().optional(), max: z.number().optional()}),
);

/** Parses the text of a `NAME.outcome.json`; the error names the invalid field. */
export function parseOutcomeBounds(
  text: string,
): Result<OutcomeBounds, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Err('not a JSON object');
  }
  const parsed = boundsSchema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  const [issue] = parsed.error.issues;
  return Err(`${issue.path.join('.')}: ${issue.message}`);
}

/** Returns the bounds that the outcome violates; a bound on an unknown field is violated. */
export function checkOutcome(
  outcome: Outcome,
  bounds: OutcomeBounds,
): readonly ViolatedBound[] {
  const violated: ViolatedBound[] = [];
  for (const [field, bound] of Object.entries(bounds)) {
    const value = Number(outcome[field as keyof Outcome]);
    const isMet =
      value >= (bound.min ?? -Infinity) && value <= (bound.max ?? Infinity);
    if (!isMet) violated.push({field, value, ...bound});
  }
  return violated;
}
