/** Checks what other nodes send: anyone can send datagrams. */
import {MAX_SHARES} from './plan_shares';
import type {AccountShare, SharePlan, ShareReport} from './types';

/** More entries than a report of this program has. */
const MAX_REPORT_ENTRIES = 64;
/** Longest name of an account. */
const MAX_NAME_LENGTH = 256;

/** Maximum number of plain services in a report or plan. */
export const MAX_SERVICES = 3;

/** Returns true for a well-formed report. */
export function isShareReport(value: unknown): value is ShareReport {
  const report = asRecord(value);
  return isPoolReport(report) && isServiceList(report.services, isPoolReport);
}

/** Returns true for a well-formed plan. */
export function isSharePlan(value: unknown): value is SharePlan {
  const plan = asRecord(value);
  return isPoolPlan(plan) && isServiceList(plan.services, isPoolPlan);
}

function isPoolReport(report: Record<string, unknown>): boolean {
  return (
    isList(report.accounts, MAX_REPORT_ENTRIES, item =>
      isAccountOf(item, 'workMs', Number.MAX_SAFE_INTEGER),
    ) &&
    isList(
      report.rest,
      MAX_REPORT_ENTRIES,
      item =>
        isAmount(item.rank) && isAmount(item.workMs, Number.MAX_SAFE_INTEGER),
    ) &&
    isAmount(report.startedMs) &&
    typeof report.isShort === 'boolean'
  );
}

function isPoolPlan(plan: Record<string, unknown>): boolean {
  return (
    isList(plan.shares, MAX_SHARES, item => isAccountOf(item, 'fraction', 1)) &&
    isAmount(plan.arrivedMs) &&
    isAmount(plan.startedMs)
  );
}

/** Absent without services that are short, and in messages of older programs. */
function isServiceList(
  value: unknown,
  isPart: (part: Record<string, unknown>) => boolean,
): boolean {
  return (
    value === undefined ||
    isList(
      value,
      MAX_SERVICES,
      part =>
        typeof part.service === 'string' &&
        part.service.length <= MAX_NAME_LENGTH &&
        isPart(part),
    )
  );
}

function asRecord(value: unknown): Record<string, unknown> {
  return typeof value === 'object' && value !== null
    ? (value as Record<string, unknown>)
    : {};
}

function isList(
  value: unknown,
  maxLength: number,
  isItem: (item: Record<string, unknown>) => boolean,
): boolean {
  return (
    Array.isArray(value) &&
    value.length <= maxLength &&
    value.every(item => isItem(asRecord(item)))
  );
}

function isAccountOf(
  item: Record<string, unknown>,
  field: keyof AccountShare | 'workMs',
  max: number,
): boolean {
  return (
    typeof item.account === 'string' &&
    item.account.length <= MAX_NAME_LENGTH &&
    isAmount(item.rank) &&
    isAmount(item[field], max)
  );
}

function isAmount(value: unknown, max = Number.MAX_SAFE_INTEGER): boolean {
  return typeof value === 'number' && value >= 0 && value <= max;
}
