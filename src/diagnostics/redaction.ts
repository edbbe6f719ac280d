/** Keeps callers' text and keys out of log lines. */

const REDACTED_TEXT = '[hidden]';
/** Fields whose value is never written, by their name. */
const REDACTED_FIELD_PATTERN =
  /^(?:authorization|cookie|api_?key|idempotency_?key|key|token|secret|password|prompt|messages|content|text|body)$/i;
/** Credentials inside of a text. */
const CREDENTIAL_PATTERN = /\b(Bearer|Basic)\s+[\w.~+/=-]+/gi;
const MAX_DEPTH = 4;
const MAX_TEXT_CHARACTERS = 2_000;

/** Returns the value without callers' text and keys. */
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

/** Returns the text without credentials, shortened. */
export function formatRedacted(text: string): string {
  const clean = text.replace(CREDENTIAL_PATTERN, `$1 ${REDACTED_TEXT}`);
  if (clean.length <= MAX_TEXT_CHARACTERS) return clean;
  return `${clean.slice(0, MAX_TEXT_CHARACTERS)}...`;
}
