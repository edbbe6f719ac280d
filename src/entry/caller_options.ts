/**
 * Parses the request headers with the options of a request: idempotency key, deadline and priority.
 */
import {Err, Ok, type Result} from 'ts-results';
import type {CallerOptions} from './types';

const MAX_KEY_LENGTH = 255;
const MAX_DEADLINE_MS = 3_600_000;
const MAX_PRIORITY = 99;
const KEY_PATTERN = /^[!-~]+$/;

/** Returns the options, or an error message that names the malformed header. */
export function parseCallerOptions(
  headers: Headers,
  requestId: string,
): Result<CallerOptions, string> {
  const key = headers.get('idempotency-key') ?? undefined;
  if (key !== undefined && !isKey(key)) {
    return Err(
      `Idempotency-Key must have 1 to ${MAX_KEY_LENGTH} visible ASCII characters`,
    );
  }
  const deadline = parseNumber(headers.get('anvilstack-deadline-ms'));
  if (!isWithin(deadline, 1, MAX_DEADLINE_MS)) {
    return Err(
      `Anvilstack-Deadline-Ms must be a number from 1 to ${MAX_DEADLINE_MS}`,
    );
  }
  const priority = parseNumber(headers.get('anvilstack-priority'));
  if (!isWithin(priority, 0, MAX_PRIORITY)) {
    return Err(
      `Anvilstack-Priority must be a number from 0 to ${MAX_PRIORITY}`,
    );
  }
  return Ok({requestId, idempotencyKey: key, deadlineMs: deadline, priority});
}

function isKey(text: string): boolean {
  return text.length <= MAX_KEY_LENGTH && KEY_PATTERN.test(text);
}

function parseNumber(text: string | null): number | undefined {
  if (text === null) return undefined;
  return /^\d+(\.\d+)?$/.test(text.trim()) ? Number(text) : Number.NaN;
}

function isWithin(
  value: number | undefined,
  min: number,
  max: number,
): boolean {
  return value === undefined || (value >= min && value <= max);
}
