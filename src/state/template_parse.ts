/** Parses templates from the log, including those written by newer versions of this program. */
import {type Template, templateSchema} from './template_schema';

/**
 * Returns the template, or undefined when it is malformed. Unknown keys are ignored, so that this
 * program accepts an amendment of a newer program and folds it to the same version.
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
