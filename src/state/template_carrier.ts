/**
 * The task that carries templates forward: it appends each template again, as a `template-carry`
 * record, before the log drops the older records. Every node runs it, without a leader. For each
 * template each node has a due time of its own, derived from a hash. The record of the first node
 * resets the due times of the others; a second record for the same template is harmless.
 */
import {createHash} from 'node:crypto';
import type {Clock, Timer} from '../runtime';
import {exportCarried, getCarryPeriodMs} from './config_fold';
import type {ConfigEntry, ConfigState} from './config_types';
import type {StreamFollower, StreamWriter} from './types';

/** Options of the carrier. */
export interface TemplateCarrierOptions {
  readonly node: string;
  readonly clock: Clock;
  readonly follower: StreamFollower<ConfigState, ConfigEntry>;
  readonly writer: StreamWriter<ConfigEntry>;
  /** How long the log keeps a record, in milliseconds. */
  readonly retentionMs: number;
}

/** The task that carries templates forward. */
export interface TemplateCarrier {
  start(): void;
  stop(): void;
  /** Returns the number of records written. */
  getCarriedCount(): number;
}

/**
 * Fractions of the carry period: the earliest due time after the last carry, and how far due times
 * are spread over client accounts and over nodes. Together below 1, so that all fall in the period.
 */
const FIRST_DUE_FRACTION = 0.4;
const ACCOUNT_SPREAD_FRACTION = 0.4;
const NODE_SPREAD_FRACTION = 0.15;
/** The same spreads for templates that fell due while the log was unusable. */
const OVERDUE_ACCOUNT_SPREAD_FRACTION = 0.1;
const OVERDUE_NODE_SPREAD_FRACTION = 0.05;
/** The log counts as unusable when it has answered no read for this long, in milliseconds. */
const MAX_LOG_ANSWER_AGE_MS = 60_000;
/** Time in which each template is checked once for being due, as a fraction of the carry period. */
const SCAN_FRACTION = 1 / 96;
/** Interval at which due templates are written, as a fraction of the scan period. */
const TICK_FRACTION = 1 / 150;
const MIN_TICK_MS = 100;
/**
 * Minimum time between two records of one node for one template, as a fraction of the carry period.
 * Bounds the writes of a node whose wall clock is ahead of the log's.
 */
const MIN_REWRITE_FRACTION = 0.25;
/** Timeout for a carried record to be written and read back, in milliseconds. */
const CARRY_TIMEOUT_MS = 30_000;

interface LastCarry {
  readonly account: string;
  readonly carriedAtMs: number;
}

interface DueTemplate extends LastCarry {
  readonly dueAtMs: number;
}

/** Creates the carrier of one node. */
export function createTemplateCarrier(
  options: TemplateCarrierOptions,
): TemplateCarrier {
  const {node, clock, follower, writer} = options;
  const periodMs = getCarryPeriodMs(options.retentionMs);
  const scanPeriodMs = periodMs * SCAN_FRACTION;
  const tickIntervalMs = Math.max(MIN_TICK_MS, scanPeriodMs * TICK_FRACTION);
  const minRewriteIntervalMs = periodMs * MIN_REWRITE_FRACTION;
  const lastWriteAtMs = new Map<string, number>();
  let due: DueTemplate[] = [];
  let scan: Iterator<LastCarry> | undefined;
  let resumedAtMs: number | undefined;
  let timer: Timer | undefined;
  let carriedCount = 0;
  return {start, stop, getCarriedCount: () => carriedCount};

  function start(): void {
    timer = clock.schedule(tickIntervalMs, runTick);
  }

  function stop(): void {
    timer?.cancel();
    timer = undefined;
  }

  function runTick(): void {
    timer = clock.schedule(tickIntervalMs, runTick);
    // A state that may be incomplete or out of date must not be written as the current one.
    const isUsable =
      follower.isCaughtUp() &&
      follower.getLogAnswerAgeMs() < MAX_LOG_ANSWER_AGE_MS;
    if (!isUsable) {
      resumedAtMs = undefined;
      return;
    }
    const nowMs = clock.getWallMs();
    if (resumedAtMs === undefined) {
      resumedAtMs = nowMs;
      due = [];
      scan = undefined;
    }
    collectDueTemplates(nowMs, resumedAtMs);
    while (due.length > 0 && due[due.length - 1].dueAtMs <= nowMs) {
      const item = due.pop();
      if (item !== undefined) writeCarried(item);
    }
  }

  /** Scans the next few templates, each once per scan period; queues those due within the next. */
  function collectDueTemplates(nowMs: number, usableSinceMs: number): void {
    const state = follower.getState();
    const size = state.templates.size + state.retired.size;
    let remaining = Math.ceil((size * tickIntervalMs) / scanPeriodMs);
    let hasAdded = false;
    while (remaining-- > 0) {
      scan ??= listLastCarries(state);
      const item = scan.next();
      if (item.done === true) {
        scan = undefined;
        removeExpiredWrites();
        break;
      }
      const lastCarry = item.value;
      if (
        lastCarry.carriedAtMs + FIRST_DUE_FRACTION * periodMs >
        nowMs + scanPeriodMs
      )
        continue;
      const dueAtMs = getDueAtMs(lastCarry, usableSinceMs);
      if (dueAtMs > nowMs + scanPeriodMs) continue;
      due.push({...lastCarry, dueAtMs});
      hasAdded = true;
    }
    if (hasAdded) due.sort((left, right) => right.dueAtMs - left.dueAtMs);
  }

  /** Spreads templates anew that fell due while the log was unusable: they are due on all nodes. */
  function getDueAtMs(lastCarry: LastCarry, usableSinceMs: number): number {
    const {account, carriedAtMs} = lastCarry;
    const dueAtMs = getCarryDueAtMs(account, carriedAtMs, node, periodMs);
    if (dueAtMs >= usableSinceMs) return dueAtMs;
    const spread = getSpreadFractions(account, carriedAtMs, node);
    const fraction =
      OVERDUE_ACCOUNT_SPREAD_FRACTION * spread.account +
      OVERDUE_NODE_SPREAD_FRACTION * spread.node;
    return usableSinceMs + fraction * periodMs;
  }

  function removeExpiredWrites(): void {
    const cutoffMs = clock.getMonotonicMs() - minRewriteIntervalMs;
    for (const [account, lastMs] of lastWriteAtMs) {
      if (lastMs < cutoffMs) lastWriteAtMs.delete(account);
    }
  }

  function writeCarried(item: DueTemplate): void {
    const state = follower.getState();
    const monotonicMs = clock.getMonotonicMs();
    const lastMs = lastWriteAtMs.get(item.account);
    if (lastMs !== undefined && monotonicMs - lastMs < minRewriteIntervalMs)
      return;
    if (getCarriedAtMs(state, item.account) !== item.carriedAtMs) return;
    lastWriteAtMs.set(item.account, monotonicMs);
    carriedCount++;
    void writer.write(
      {
        kind: 'template-carry',
        asOfOffset: follower.getNextOffset(),
        carried: exportCarried(state, item.account),
      },
      CARRY_TIMEOUT_MS,
    );
  }
}

function getCarriedAtMs(
  state: ConfigState,
  account: string,
): number | undefined {
  return (state.templates.get(account) ?? state.retired.get(account))
    ?.carriedAtMs;
}

/** Yields the last carry of every template and retirement. */
function* listLastCarries(state: ConfigState): Generator<LastCarry> {
  for (const known of [state.templates, state.retired]) {
    for (const [account, {carriedAtMs}] of known) {
      yield {account, carriedAtMs};
    }
  }
}

/** Returns when a node next carries a template forward, in milliseconds on the log's clock. */
export function getCarryDueAtMs(
  account: string,
  carriedAtMs: number,
  node: string,
  periodMs: number,
): number {
  const spread = getSpreadFractions(account, carriedAtMs, node);
  const fraction =
    FIRST_DUE_FRACTION +
    ACCOUNT_SPREAD_FRACTION * spread.account +
    NODE_SPREAD_FRACTION * spread.node;
  return carriedAtMs + fraction * periodMs;
}

/** Returns two numbers from 0 to 1: one that all nodes agree on, and one specific to the node. */
function getSpreadFractions(
  account: string,
  carriedAtMs: number,
  node: string,
): {account: number; node: number} {
  const id = `${account}\n${carriedAtMs}`;
  return {account: getFraction(id), node: getFraction(`${id}\n${node}`)};
}

/** Maps a text to a number from 0 to 1 by its hash, uniformly distributed. */
function getFraction(text: string): number {
  const digest = createHash('sha256').update(text).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}
