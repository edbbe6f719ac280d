/** Removes prompts, responses, keys and credentials of callers from log lines. */

const REDACTED_TEXT = '[hidden]';
/** Names of fields whose values are always hidden. */
const REDACTED_FIELD_PATTERN =
  /^(?:authorization|cookie|api_?key|idempotency_?key|key|token|secret|password|prompt|messages|content|text|body)$/i;
/** Credentials of an Authorization header inside a text. */
const CREDENTIAL_PATTERN = /\b(Bearer|Basic)\s+[\w.~+/=-]+/gi;
const MAX_DEPTH = 4;
const MAX_TEXT_CHARACTERS = 2_000;

/**
 * Returns a copy of a value in which sensitive fields, credentials and levels
 * below `MAX_DEPTH` are hidden; errors become their redacted message.
 */
export function createRedacted(value: unknown, depth = 0): unknown {
  if (typeof value === 'string') return formatRedacted(value);
  if (value instanceof Error) return formatRedacted(value.message);
  if (typeof value !== 'object' || value === null) return value;
  if (depth >= MAX_DEPTH) return REDACTED_TEXT;
  if ('toJSON' in value && typeof value.toJSON === 'function') {
    return createRedacted(value.toJSON(), depth + 1);
  }
  if (Array.isArray(value)) {
    return value.map(item => createRedacted(item, depth + 1));
  }
  return Object.fromEntries(
    Object.entries(value).map(([name, item]) => [
      name,
      REDACTED_FIELD_PATTERN.test(name)
        ? REDACTED_TEXT
        : createRedacted(item, depth + 1),
    ]),
  );
}

/** Returns the text with credentials hidden, truncated to `MAX_TEXT_CHARACTERS`. */
export function formatRedacted(text: string): string {
  const clean = text.replace(CREDENTIAL_PATTERN, `$1 ${REDACTED_TEXT}`);
  if (clean.length <= MAX_TEXT_CHARACTERS) return clean;
  return `${clean.slice(0, MAX_TEXT_CHARACTERS)}...`;
}
