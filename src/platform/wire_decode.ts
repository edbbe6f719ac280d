/** Reads fields of decoded bodies without trusting their types. */

/** A decoded body of unknown shape. */
export type Fields = Readonly<Record<string, unknown>>;

/** Returns the value as fields, or undefined when it is no object. */
export function tryGetFields(value: unknown): Fields | undefined {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return undefined;
  }
  return value as Fields;
}

/** Returns the text, or undefined when it is empty or of another type. */
export function tryGetString(value: unknown): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined;
}

/** Returns the number, or undefined when it is not finite or of another type. */
export function tryGetNumber(value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value)
    ? value
    : undefined;
}

/** Returns the list, or an empty one when the value is none. */
export function getList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

/** Splits HOST:PORT; returns undefined when it is malformed. */
export function trySplitAddress(
  value: unknown,
): {readonly host: string; readonly port: number} | undefined {
  const text = tryGetString(value);
  const match = text === undefined ? null : /^([^:]+):(\d{1,5})$/.exec(text);
  if (match === null) return undefined;
  const port = Number(match[2]);
  if (port < 1 || port > 65_535) return undefined;
  return {host: match[1], port};
}

/** Parses JSON; returns undefined when it is malformed. */
export function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // The caller treats a malformed body like one that names nothing.
    return undefined;
  }
}
