/**
 * The task that writes templates anew before the log drops their records. Every node runs it and
 * none leads: for each template each node has a due time of its own, spread by a hash, and the
 * first one due writes the record that makes the others' due times void. Two records do no harm.
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

/** The task. */
export interface TemplateCarrier {
  start(): void;
  stop(): void;
  /** Returns how many records it has written. */
  getCarriedCount(): number;
}

/** Parts of the carry period: first due time, width of the accounts' spread and the nodes'. */
const FIRST_DUE_FRACTION = 0.4;
const ACCOUNT_SPREAD_FRACTION = 0.4;
const NODE_SPREAD_FRACTION = 0.15;
/** Spread of what fell due while the log could not be used, as parts of the carry period. */
const OVERDUE_ACCOUNT_SPREAD_FRACTION = 0.1;
const OVERDUE_NODE_SPREAD_FRACTION = 0.05;
/** A log that has answered no read for so long is out, in milliseconds. */
const MAX_LOG_ANSWER_AGE_MS = 60_000;
/** How often the templates due soon are looked up, as a part of the carry period. */
const SCAN_FRACTION = 1 / 96;
/** How often the due ones are written, as a part of the time between two scans. */
const TICK_FRACTION = 1 / 150;
const MIN_TICK_MS = 100;
/**
 * Shortest time between two records of one node for one template, as a part of the carry period.
 * It bounds what a node writes whose wall clock runs ahead of the log's.
 */
const MIN_REWRITE_FRACTION = 0.25;
/** Longest wait for a carried record to be read back, in milliseconds. */
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
    // A process that does not know all that is in force must not write it down.
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

  /** Looks at the next few templates; each is looked at once in `scanMs`. */
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

  /** What fell due while the log could not be used is spread anew, for all nodes find it due. */
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

/** Yields every template and retirement. */
function* listLastCarries(state: ConfigState): Generator<LastCarry> {
  for (const known of [state.templates, state.retired]) {
    for (const [account, {carriedAtMs}] of known) {
      yield {account, carriedAtMs};
    }
  }
}

/** Returns when a node writes a template anew, in milliseconds on the log's clock. */
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

/** Returns two numbers from 0 to 1: the same on all nodes, and one of this node's own. */
function getSpreadFractions(
  account: string,
  carriedAtMs: number,
  node: string,
): {account: number; node: number} {
  const id = `${account}\n${carriedAtMs}`;
  return {account: getFraction(id), node: getFraction(`${id}\n${node}`)};
}

/** Returns a number from 0 to 1, evenly spread over texts. */
function getFraction(text: string): number {
  const digest = createHash('sha256').update(text).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}
