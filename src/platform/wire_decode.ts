/** Checked access to decoded JSON and TOML values, whose types are not trusted. */

/** An object with fields of unknown types. */
export type Fields = Readonly<Record<string, unknown>>;

/** Returns the value when it is an object, else undefined. */
export function tryGetFields(value: unknown): Fields | undefined {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return undefined;
  }
  return value as Fields;
}

/** Returns the value when it is a non-empty string, else undefined. */
export function tryGetString(value: unknown): string | undefined {
  return typeof value === 'string' && value !== '' ? value : undefined;
}

/** Returns the value when it is a finite number, else undefined. */
export function tryGetNumber(value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value)
    ? value
    : undefined;
}

/** Returns the value when it is an array, else an empty array. */
export function getList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

/** Splits a string HOST:PORT; returns undefined when the value is malformed or the port is out of range. */
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

/** Parses JSON; returns undefined when the text is malformed. */
export function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Callers treat a malformed body like one without any of the expected fields.
    return undefined;
  }
}
