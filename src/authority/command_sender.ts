/**
 * Sends commands to the engines of a shard. The intent of each command is logged before it is sent.
 */
import type {EngineClient, EngineOrder, EngineReport} from '../backends';
import type {WeightStore} from '../control_services';
import type {Clock} from '../runtime';
import type {StreamFollower, StreamWriter} from '../state';
import {sendWithRetries} from './command_attempts';
import {createEngineClients} from './engine_clients';
import {isChanging, isOrderApplied, tryGetRequiredWeights} from './order_state';
import type {
  Authority,
  CommandResult,
  CommandSender,
  ControlEntry,
  ControlState,
  Intent,
  LeaseManager,
} from './types';
import {createWeightPreparer} from './weight_preparer';

/** Options of `createCommandSender`. */
export interface CommandSenderOptions {
  readonly clock: Clock;
  readonly lease: Pick<LeaseManager, 'shard' | 'tryGetAuthority'>;
  readonly follower: StreamFollower<ControlState, ControlEntry>;
  readonly writer: StreamWriter<ControlEntry>;
  /**
   * Creates a client with connections of its own, so that they can be closed when the lease lapses.
   * Returns undefined for an engine that is not in the list of servers.
   */
  readonly tryCreateClient: (engine: string) => EngineClient | undefined;
  /** Returns whether the engine refuses commands with an outdated fencing number. */
  readonly checksFencing: (engine: string) => boolean;
  /** Store that copies weights to engines. Without it, load orders are sent at once. */
  readonly weightStore?: WeightStore;
  /**
   * Time after the grant of the lease before the first command to an engine that does not check
   * fencing numbers, in milliseconds. Commands of the previous holder have arrived by then.
   */
  readonly guardMs?: number;
  /** Returns a number from 0 to 1. */
  readonly getRandom?: () => number;
  readonly maxAttempts?: number;
}

const DEFAULT_GUARD_MS = 3_000;
const DEFAULT_MAX_ATTEMPTS = 5;
const INTENT_TIMEOUT_MS = 4_000;
const RESULT_TIMEOUT_MS = 30_000;

/** Creates a command sender. */
export function createCommandSender(
  options: CommandSenderOptions,
): CommandSender {
  const {clock, lease, follower, writer, checksFencing} = options;
  const guardMs = options.guardMs ?? DEFAULT_GUARD_MS;
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  const getRandom = options.getRandom ?? (() => 0.5);
  const clients = createEngineClients(options.tryCreateClient);
  const busyEngines = new Set<string>();
  const commandsInProgress = new Set<string>();
  /** Commands whose result has been written and not yet read back. */
  const unconfirmedResults = new Set<string>();
  /** Last order by engine and kind, for the kinds that set a lasting state. */
  const lastOrders = new Map<string, Map<EngineOrder['kind'], EngineOrder>>();
  const weightPreparer =
    options.weightStore &&
    createWeightPreparer({store: options.weightStore, clock});
  let nextCommand = 1;
  return {
    submit,
    settleIntents,
    isBusy: engine => busyEngines.has(engine),
    countBusy: () => busyEngines.size,
    retryLastOrders,
    close,
  };

  async function submit(
    engine: string,
    order: EngineOrder,
  ): Promise<CommandResult> {
    if (busyEngines.has(engine))
      return createNotSent('a command is in progress');
    const authority = lease.tryGetAuthority();
    if (authority === undefined) return createNotSent('no lease is held');
    busyEngines.add(engine);
    try {
      return await runCommand(engine, order, authority);
    } finally {
      busyEngines.delete(engine);
    }
  }

  async function runCommand(
    engine: string,
    order: EngineOrder,
    authority: Authority,
  ): Promise<CommandResult> {
    // Returns instead of waiting for the copy, so that the engine is free for other orders. The
    // control policy submits the order again.
    if (!(await hasWeights(engine, order))) {
      return createNotSent(
        'the weights have not been copied to the engine yet',
      );
    }
    await waitForGuard(engine, authority);
    const command = `${writer.writer}/${lease.shard}/${nextCommand++}`;
    commandsInProgress.add(command);
    try {
      return await runWithIntent(command, engine, order, authority);
    } finally {
      commandsInProgress.delete(command);
    }
  }

  async function runWithIntent(
    command: string,
    engine: string,
    order: EngineOrder,
    authority: Authority,
  ): Promise<CommandResult> {
    const logged = await writer.write(
      {
        kind: 'intent',
        shard: lease.shard,
        term: authority.term,
        holder: writer.writer,
        command,
        engine,
        order,
      },
      INTENT_TIMEOUT_MS,
    );
    if (logged.err) return createNotSent(logged.val.message);
    if (logged.val.kind === 'rejected') {
      return createNotSent(logged.val.reason);
    }
    recordLastOrder(engine, order);
    const result = await sendWithRetries({
      clock,
      clients,
      engine,
      order,
      command,
      term: authority.term,
      checksFencing: checksFencing(engine),
      hasTerm: () => isTermHeld(authority),
      getRandom,
      maxAttempts,
    });
    if (result.kind === 'done')
      writeResult(command, 'done', 'the engine reports the ordered state');
    if (result.kind === 'failed') writeResult(command, 'failed', result.cause);
    return result;
  }

  function hasWeights(engine: string, order: EngineOrder): Promise<boolean> {
    const name = tryGetRequiredWeights(order);
    if (name === undefined || weightPreparer === undefined) {
      return Promise.resolve(true);
    }
    return weightPreparer.prepare(engine, name);
  }

  /**
   * Waits until no command of the previous holder can still be in flight to an engine without
   * fencing.
   */
  async function waitForGuard(
    engine: string,
    authority: Authority,
  ): Promise<void> {
    if (checksFencing(engine) || authority.isHandedOver) return;
    const remainingMs =
      authority.grantedAtMs + guardMs - clock.getMonotonicMs();
    if (remainingMs > 0) await clock.sleep(remainingMs);
  }

  async function settleIntents(): Promise<void> {
    const authority = lease.tryGetAuthority();
    if (authority === undefined) return;
    const latest = new Map<string, Intent>();
    for (const intent of follower.getState().intents.values()) {
      if (intent.shard !== lease.shard) continue;
      if (commandsInProgress.has(intent.command)) continue;
      if (unconfirmedResults.has(intent.command)) continue;
      const earlier = latest.get(intent.engine);
      latest.set(intent.engine, intent);
      if (earlier === undefined) continue;
      writeResult(earlier.command, 'undone', 'superseded by a later intent');
    }
    await Promise.all(
      [...latest.values()].map(intent => settleIntent(intent, authority)),
    );
  }

  /** Settles an intent without a result: submits its order again and records the outcome. */
  async function settleIntent(
    intent: Intent,
    authority: Authority,
  ): Promise<void> {
    if (busyEngines.has(intent.engine)) return;
    const {command, engine, order} = intent;
    const result = await submit(engine, order);
    if (!isTermHeld(authority)) return;
    if (result.kind === 'done')
      writeResult(command, 'done', 'completed by a new command');
    if (result.kind === 'failed') writeResult(command, 'undone', result.cause);
  }

  function writeResult(
    command: string,
    result: 'done' | 'failed' | 'undone',
    cause: string,
  ): void {
    const authority = lease.tryGetAuthority();
    if (authority === undefined) return;
    // Keeps `settleIntents` from sending the order again before the result is read back.
    unconfirmedResults.add(command);
    void writer
      .write(
        {
          kind: 'intent-result',
          shard: lease.shard,
          term: authority.term,
          holder: writer.writer,
          command,
          result,
          cause,
        },
        RESULT_TIMEOUT_MS,
      )
      .then(() => unconfirmedResults.delete(command));
  }

  function recordLastOrder(engine: string, order: EngineOrder): void {
    if (order.kind !== 'set-role' && order.kind !== 'set-version') return;
    const orders = lastOrders.get(engine) ?? new Map();
    lastOrders.set(engine, orders.set(order.kind, order));
  }

  function retryLastOrders(reports: readonly EngineReport[]): void {
    const term = lease.tryGetAuthority()?.term ?? 0;
    for (const report of reports) {
      const isFenced =
        checksFencing(report.engine) && report.fencingNumber >= term;
      if (isFenced || isChanging(report)) continue;
      const mustRaiseFencing = checksFencing(report.engine);
      for (const order of lastOrders.get(report.engine)?.values() ?? []) {
        if (!mustRaiseFencing && isOrderApplied(report, order)) continue;
        void submit(report.engine, order);
      }
    }
  }

  function isTermHeld(authority: Authority): boolean {
    return lease.tryGetAuthority()?.term === authority.term;
  }

  function close(): void {
    clients.closeAll();
    lastOrders.clear();
  }
}

function createNotSent(cause: string): CommandResult {
  return {kind: 'not-sent', cause};
}
