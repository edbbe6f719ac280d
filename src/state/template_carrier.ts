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
const FIRST_DUE_PART = 0.4;
const ACCOUNT_SPREAD_PART = 0.4;
const NODE_SPREAD_PART = 0.15;
/** How often the templates due soon are looked up, as a part of the carry period. */
const SCAN_PART = 1 / 96;
/** How often the due ones are written, as a part of the time between two scans. */
const TICK_PART = 1 / 150;
const MIN_TICK_MS = 100;
/**
 * Shortest time between two records of one node for one template, as a part of the carry period.
 * It bounds what a node writes whose wall clock runs ahead of the log's.
 */
const REPEAT_PART = 0.25;
/** Longest wait for a carried record to be read back, in milliseconds. */
const CARRY_TIMEOUT_MS = 30_000;

interface DueTemplate {
  readonly account: string;
  readonly carriedAtMs: number;
  readonly dueAtMs: number;
}

/** Creates the carrier of one node. */
export function createTemplateCarrier(
  options: TemplateCarrierOptions,
): TemplateCarrier {
  const {node, clock, follower, writer} = options;
  const periodMs = getCarryPeriodMs(options.retentionMs);
  const scanMs = periodMs * SCAN_PART;
  const tickMs = Math.max(MIN_TICK_MS, scanMs * TICK_PART);
  const repeatMs = periodMs * REPEAT_PART;
  const writtenAtMs = new Map<string, number>();
  let due: DueTemplate[] = [];
  let nextScanAtMs = 0;
  let timer: Timer | undefined;
  let carriedCount = 0;
  return {start, stop, getCarriedCount: () => carriedCount};

  function start(): void {
    timer = clock.schedule(tickMs, runTick);
  }

  function stop(): void {
    timer?.cancel();
    timer = undefined;
  }

  function runTick(): void {
    timer = clock.schedule(tickMs, runTick);
    // A process that does not know all that is in force must not write it down.
    if (!follower.isCaughtUp()) return;
    const nowMs = clock.getWallMs();
    if (nowMs >= nextScanAtMs) {
      nextScanAtMs = nowMs + scanMs;
      trimWritten();
      due = listDueTemplates(follower.getState(), node, periodMs, nextScanAtMs);
    }
    while (due.length > 0 && due[due.length - 1].dueAtMs <= nowMs) {
      const item = due.pop();
      if (item !== undefined) writeCarried(item);
    }
  }

  function trimWritten(): void {
    const horizonMs = clock.getMonotonicMs() - repeatMs;
    for (const [account, lastMs] of writtenAtMs) {
      if (lastMs < horizonMs) writtenAtMs.delete(account);
    }
  }

  function writeCarried(item: DueTemplate): void {
    const state = follower.getState();
    const monotonicMs = clock.getMonotonicMs();
    const lastMs = writtenAtMs.get(item.account);
    if (lastMs !== undefined && monotonicMs - lastMs < repeatMs) return;
    if (getCarriedAtMs(state, item.account) !== item.carriedAtMs) return;
    writtenAtMs.set(item.account, monotonicMs);
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

/** Lists the templates that this node is to carry before `untilMs`, the first one last. */
function listDueTemplates(
  state: ConfigState,
  node: string,
  periodMs: number,
  untilMs: number,
): DueTemplate[] {
  const due: DueTemplate[] = [];
  for (const known of [state.templates, state.retired]) {
    for (const [account, {carriedAtMs}] of known) {
      if (carriedAtMs + FIRST_DUE_PART * periodMs > untilMs) continue;
      const dueAtMs = getCarryDueAtMs(account, carriedAtMs, node, periodMs);
      if (dueAtMs <= untilMs) due.push({account, carriedAtMs, dueAtMs});
    }
  }
  return due.sort((left, right) => right.dueAtMs - left.dueAtMs);
}

/** Returns when a node writes a template anew, in milliseconds on the log's clock. */
export function getCarryDueAtMs(
  account: string,
  carriedAtMs: number,
  node: string,
  periodMs: number,
): number {
  const digest = createHash('sha256')
    .update(`${account}\n${carriedAtMs}\n${node}`)
    .digest();
  const accountDigest = createHash('sha256')
    .update(`${account}\n${carriedAtMs}`)
    .digest();
  const part =
    FIRST_DUE_PART +
    ACCOUNT_SPREAD_PART * getFraction(accountDigest) +
    NODE_SPREAD_PART * getFraction(digest);
  return carriedAtMs + part * periodMs;
}

/** Returns a number from 0 to 1, evenly spread over digests. */
function getFraction(digest: Buffer): number {
  return digest.readUInt32BE(0) / 2 ** 32;
}
