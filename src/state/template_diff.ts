/** Summarises which fields of a template an amendment changed. */
import type {Template} from './template_schema';

/** Maximum length of the list; of more changes the last item gives the number left out. */
const MAX_CHANGES = 8;
/** Maximum length of a value's text, in characters; longer ones are cut. */
const MAX_VALUE_CHARS = 40;

/** Lists the changed fields, such as `deadline_ms: 500 -> 800`; hashes of API keys are left out. */
export function listTemplateChanges(
  before: Template,
  after: Template,
): string[] {
  const changes: string[] = [];
  collectChanges('', before, after, changes);
  if (changes.length <= MAX_CHANGES) return changes;
  const omittedCount = changes.length - MAX_CHANGES + 1;
  return [...changes.slice(0, MAX_CHANGES - 1), `and ${omittedCount} more`];
}

function collectChanges(
  path: string,
  before: unknown,
  after: unknown,
  changes: string[],
): void {
  if (JSON.stringify(before) === JSON.stringify(after)) return;
  if (path === 'api_key_sha256') {
    changes.push(`${path}: changed`);
    return;
  }
  if (!isContainer(before) || !isContainer(after)) {
    changes.push(`${path}: ${formatValue(before)} -> ${formatValue(after)}`);
    return;
  }
  for (const key of new Set([...Object.keys(before), ...Object.keys(after)])) {
    const name = path === '' ? key : `${path}.${key}`;
    collectChanges(name, before[key], after[key], changes);
  }
}

function isContainer(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function formatValue(value: unknown): string {
  if (value === undefined) return 'none';
  const text = JSON.stringify(value);
  if (text.length <= MAX_VALUE_CHARS) return text;
  return `${text.slice(0, MAX_VALUE_CHARS - 1)}…`;
}
