/**
 * Sends one command, whose intent is already logged, until the engine reports the ordered state or
 * the attempts are used up.
 */
import type {EngineOrder} from '../backends';
import type {Clock} from '../runtime';
import type {EngineClients} from './engine_clients';
import {isChanging, isOrderApplied} from './order_state';
import type {CommandResult} from './types';

/** Options of `sendWithRetries`. */
export interface CommandAttemptsOptions {
  readonly clock: Clock;
  readonly clients: EngineClients;
  readonly engine: string;
  readonly order: EngineOrder;
  /** Id of the command, in the log and at the engine. */
  readonly command: string;
  /** Fencing number. */
  readonly term: number;
  /** True when the engine refuses commands with an outdated fencing number. */
  readonly checksFencing: boolean;
  /** Returns whether this process still holds the lease with this term. */
  readonly hasTerm: () => boolean;
  /** Returns a number from 0 to 1. */
  readonly getRandom: () => number;
  readonly maxAttempts: number;
}

const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;
/** Time between two requests for an engine's report, in milliseconds. */
const PROBE_INTERVAL_MS = 250;
/** Longest wait for an engine to finish a change after a command, in milliseconds. */
const STATE_TIMEOUT_MS = 60_000;

/** Sends the command with exponential backoff and jitter. Resolves with its result. */
export async function sendWithRetries(
  options: CommandAttemptsOptions,
): Promise<CommandResult> {
  const {clock, hasTerm, maxAttempts} = options;
  // An engine that checks fencing numbers is always sent the command, since that raises its number.
  // Any other engine is sent it unless a probe shows that it is already in the ordered state.
  if (!options.checksFencing && (await hasReachedState(options))) {
    return {kind: 'done'};
  }
  let cause = 'the engine did not reach the ordered state';
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
    return {kind: 'error', cause: 'the engine is not in the list of servers'};
  }
  // There must be no await between this check and the write, or the lease could lapse in between.
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
    const result = createUnresolved(
      'the engine has seen a higher fencing number',
    );
    return {kind: 'refused', result};
  }
  // The command may still be in flight; closing the connection keeps it from arriving after a later one.
  clients.close(engine);
  return {kind: 'error', cause: answer.val.message};
}

/** Returns whether the engine reports the ordered state. Polls its report while it is changing. */
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
