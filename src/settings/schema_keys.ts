/** Reads the allowed keys of a table from its zod schema. */
import {z} from 'zod';

/** Lists the keys that the table at `path` may hold; empty when there is no such table. */
export function listKnownKeys(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): string[] {
  let current: z.core.$ZodType = getInnerType(schema);
  for (const part of path) {
    const next = tryGetChild(current, part);
    if (next === undefined) return [];
    current = getInnerType(next);
  }
  return current instanceof z.ZodObject ? Object.keys(current.shape) : [];
}

function tryGetChild(
  schema: z.core.$ZodType,
  part: PropertyKey,
): z.core.$ZodType | undefined {
  if (schema instanceof z.ZodObject) return schema.shape[String(part)];
  if (schema instanceof z.ZodArray) return schema.element;
  return undefined;
}

/** Unwraps optional, nullable and default types. */
function getInnerType(schema: z.core.$ZodType): z.core.$ZodType {
  let current = schema;
  while (
    current instanceof z.ZodOptional ||
    current instanceof z.ZodDefault ||
    current instanceof z.ZodPrefault ||
    current instanceof z.ZodNullable
  ) {
    current = current.unwrap();
  }
  return current;
}
