/** Checked access to decoded JSON and TOML values, whose types are not trusted. */
import {isIPv4} from 'node:net';

const HOST_LABEL = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/i;
const MAX_HOST_LENGTH = 253;

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

/** Returns the value when it is a whole number that is exact and not below `least`, else undefined. */
export function tryGetWhole(value: unknown, least: number): number | undefined {
  return Number.isSafeInteger(value) && Number(value) >= least
    ? Number(value)
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
  if (port < 1 || port > 65_535 || !isHost(match[1])) return undefined;
  return {host: match[1], port};
}

/** True for an IPv4 address and for a host name; one whose last label is a number must be an address. */
function isHost(text: string): boolean {
  if (text.length > MAX_HOST_LENGTH) return false;
  const labels = text.split('.');
  if (!labels.every(label => HOST_LABEL.test(label))) return false;
  return /^\d+$/.test(labels[labels.length - 1]) ? isIPv4(text) : true;
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
