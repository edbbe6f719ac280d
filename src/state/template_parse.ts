/** Parses templates from the log, also those that a newer program wrote. */
import {type Template, templateSchema} from './template_schema';

/**
 * Returns the template, or undefined when it is malformed. Keys that this program does not know
 * are passed over, so that it folds an amendment of a newer program to the same version.
 */
export function tryParseTemplate(value: unknown): Template | undefined {
  const parsed = templateSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  const copy = structuredClone(value);
  for (const issue of parsed.error.issues) {
    if (issue.code !== 'unrecognized_keys') return undefined;
    const parent = getAtPath(copy, issue.path);
    for (const key of issue.keys) delete parent[key];
  }
  const reparsed = templateSchema.safeParse(copy);
  return reparsed.success ? reparsed.data : undefined;
}

function getAtPath(
  value: unknown,
  path: readonly PropertyKey[],
): Record<PropertyKey, unknown> {
  let current = value as Record<PropertyKey, unknown>;
  for (const key of path)
    current = current[key] as Record<PropertyKey, unknown>;
  return current;
}
