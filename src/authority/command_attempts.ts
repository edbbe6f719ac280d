/** Sends one announced command until the engine reports what it chose, or the retries end. */
import type {EngineOrder} from '../backends';
import type {Clock} from '../runtime';
import type {EngineClients} from './engine_clients';
import {isChanging, isOrderApplied} from './order_state';
import type {CommandResult} from './types';

/** Options of the attempts. */
export interface CommandAttemptsOptions {
  readonly clock: Clock;
  readonly clients: EngineClients;
  readonly engine: string;
  readonly order: EngineOrder;
  /** Names the command in the log and at the engine. */
  readonly command: string;
  /** Fencing number. */
  readonly term: number;
  /** True when the engine refuses commands with an old fencing number. */
  readonly checksFencing: boolean;
  /** Returns whether this process holds the term at this moment. */
  readonly hasTerm: () => boolean;
  /** Returns a number from 0 to 1. */
  readonly getRandom: () => number;
  readonly maxAttempts: number;
}

const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;
/** Time between two questions for an engine's report, in milliseconds. */
const PROBE_INTERVAL_MS = 250;
/** Longest wait for an engine to reach the state after it took a command, in milliseconds. */
const STATE_TIMEOUT_MS = 60_000;

/** Resolves with what became of the command. */
export async function sendWithRetries(
  options: CommandAttemptsOptions,
): Promise<CommandResult> {
  const {clock, hasTerm, maxAttempts} = options;
  // Sending raises the fencing number at an engine that checks it; others are only probed.
  if (!options.checksFencing && (await hasReachedState(options))) {
    return {kind: 'done'};
  }
  let cause = 'the engine did not reach the state';
  let backoffMs = MIN_BACKOFF_MS;
  for (let attempt = 1; attempt <= maxAttempts; attempt++) {
    const outcome = await sendOnce(options);
    if (outcome.kind === 'refused') return outcome.result;
    if (outcome.kind === 'error') cause = outcome.cause;
    if (await hasReachedState(options)) return {kind: 'done'};
    if (!hasTerm()) return createUnresolved('the lease was lost');
    await clock.sleep(backoffMs * (0.5 + options.getRandom()));
    backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
  }
  return {kind: 'failed', cause};
}

type SendOutcome =
  | {readonly kind: 'taken'}
  | {readonly kind: 'error'; readonly cause: string}
  | {readonly kind: 'refused'; readonly result: CommandResult};

async function sendOnce(options: CommandAttemptsOptions): Promise<SendOutcome> {
  const {clients, engine, order, command, term} = options;
  const client = clients.tryGet(engine);
  if (client === undefined) {
    return {kind: 'error', cause: 'the engine is not listed'};
  }
  // Nothing is awaited between this check and the write.
  if (!options.hasTerm()) {
    return {kind: 'refused', result: createUnresolved('the lease was lost')};
  }
  const answer = await client.sendCommand({
    id: command,
    fencingNumber: term,
    order,
  });
  if (answer.ok) return {kind: 'taken'};
  if (answer.val.kind === 'stale-command') {
    const result = createUnresolved('the engine knows a newer holder');
    return {kind: 'refused', result};
  }
  // What was written may be on its way still; it must not arrive after a later command.
  clients.close(engine);
  return {kind: 'error', cause: answer.val.message};
}

/** Probes the engine; waits while it is still changing. */
async function hasReachedState(
  options: CommandAttemptsOptions,
): Promise<boolean> {
  const {clock, clients, engine, order, hasTerm} = options;
  const untilMs = clock.getMonotonicMs() + STATE_TIMEOUT_MS;
  while (hasTerm() && clock.getMonotonicMs() < untilMs) {
    const report = await clients.tryGet(engine)?.getReport();
    if (report === undefined || report.err) return false;
    if (isOrderApplied(report.val, order)) return true;
    if (!isChanging(report.val)) return false;
    await clock.sleep(PROBE_INTERVAL_MS);
  }
  return false;
}

function createUnresolved(cause: string): CommandResult {
  return {kind: 'unresolved', cause};
}
