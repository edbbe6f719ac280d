/** Sends commands to the engines of a shard, each announced in the log first. */
import type {EngineClient, EngineOrder, EngineReport} from '../backends';
import type {WeightStore} from '../control_services';
import type {Clock} from '../runtime';
import type {StreamFollower, StreamWriter} from '../state';
import {runAttempts} from './command_attempts';
import {createEngineClients} from './engine_clients';
import {isChanging, isInState, tryGetWeights} from './order_state';
import type {
  Authority,
  CommandResult,
  CommandSender,
  ControlEntry,
  ControlState,
  Intent,
  LeaseHolder,
} from './types';
import {createWeightGate} from './weight_gate';

/** Options of a sender. */
export interface CommandSenderOptions {
  readonly clock: Clock;
  readonly lease: Pick<LeaseHolder, 'shard' | 'tryGetAuthority'>;
  readonly follower: StreamFollower<ControlState, ControlEntry>;
  readonly writer: StreamWriter<ControlEntry>;
  /**
   * Opens connections of its own, which are closed when the lease lapses. Returns undefined for an
   * engine that is not listed.
   */
  readonly tryCreateClient: (engine: string) => EngineClient | undefined;
  /** True when the engine refuses commands with an old fencing number. */
  readonly checksFencing: (engine: string) => boolean;
  readonly weightStore?: WeightStore;
  /** How long a new holder waits for commands of its predecessor to arrive, in milliseconds. */
  readonly guardMs?: number;
  /** Returns a number from 0 to 1. */
  readonly getRandom?: () => number;
  readonly maxAttempts?: number;
}

const DEFAULT_GUARD_MS = 3_000;
const DEFAULT_MAX_ATTEMPTS = 5;
const INTENT_TIMEOUT_MS = 4_000;
const RESULT_TIMEOUT_MS = 30_000;

/** Creates a sender. */
export function createCommandSender(
  options: CommandSenderOptions,
): CommandSender {
  const {clock, lease, follower, writer, checksFencing} = options;
  const guardMs = options.guardMs ?? DEFAULT_GUARD_MS;
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  const getRandom = options.getRandom ?? (() => 0.5);
  const clients = createEngineClients(options.tryCreateClient);
  const busy = new Set<string>();
  const inProgress = new Set<string>();
  const recording = new Set<string>();
  /** The last order of each kind that an engine was to keep. */
  const chosen = new Map<string, Map<EngineOrder['kind'], EngineOrder>>();
  const weights =
    options.weightStore &&
    createWeightGate({store: options.weightStore, clock});
  let nextCommand = 1;
  return {
    submit,
    settleIntents,
    isBusy: engine => busy.has(engine),
    countBusy: () => busy.size,
    sendAgain,
    close,
  };

  async function submit(
    engine: string,
    order: EngineOrder,
  ): Promise<CommandResult> {
    if (busy.has(engine)) return createNotSent('a command is in progress');
    const authority = lease.tryGetAuthority();
    if (authority === undefined) return createNotSent('no lease is held');
    busy.add(engine);
    try {
      return await runCommand(engine, order, authority);
    } finally {
      busy.delete(engine);
    }
  }

  async function runCommand(
    engine: string,
    order: EngineOrder,
    authority: Authority,
  ): Promise<CommandResult> {
    // The engine stays free for other orders while the store copies; the host asks again.
    if (!(await hasWeights(engine, order))) {
      return createNotSent('the weights are not at the engine yet');
    }
    await waitForGuard(engine, authority);
    const command = `${writer.writer}/${lease.shard}/${nextCommand++}`;
    inProgress.add(command);
    try {
      return await runAnnounced(command, engine, order, authority);
    } finally {
      inProgress.delete(command);
    }
  }

  async function runAnnounced(
    command: string,
    engine: string,
    order: EngineOrder,
    authority: Authority,
  ): Promise<CommandResult> {
    const announced = await writer.write(
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
    if (announced.err) return createNotSent(announced.val.message);
    if (announced.val.kind === 'rejected') {
      return createNotSent(announced.val.reason);
    }
    recordChosen(engine, order);
    const result = await runAttempts({
      clock,
      clients,
      engine,
      order,
      command,
      term: authority.term,
      checksFencing: checksFencing(engine),
      hasTerm: () => hasTerm(authority),
      getRandom,
      maxAttempts,
    });
    if (result.kind === 'done') writeResult(command, 'done', 'reported');
    if (result.kind === 'failed') writeResult(command, 'failed', result.cause);
    return result;
  }

  function hasWeights(engine: string, order: EngineOrder): Promise<boolean> {
    const name = tryGetWeights(order);
    if (name === undefined || weights === undefined) {
      return Promise.resolve(true);
    }
    return weights.isPrepared(engine, name);
  }

  /** Waits until what a predecessor may still have on its way has arrived. */
  async function waitForGuard(
    engine: string,
    authority: Authority,
  ): Promise<void> {
    if (checksFencing(engine) || authority.isHandedOver) return;
    const leftMs = authority.grantedAtMs + guardMs - clock.getMonotonicMs();
    if (leftMs > 0) await clock.sleep(leftMs);
  }

  async function settleIntents(): Promise<void> {
    const authority = lease.tryGetAuthority();
    if (authority === undefined) return;
    const latest = new Map<string, Intent>();
    for (const intent of follower.getState().intents.values()) {
      if (intent.shard !== lease.shard) continue;
      if (inProgress.has(intent.command)) continue;
      if (recording.has(intent.command)) continue;
      const earlier = latest.get(intent.engine);
      latest.set(intent.engine, intent);
      if (earlier === undefined) continue;
      writeResult(earlier.command, 'undone', 'a later intent replaces it');
    }
    await Promise.all(
      [...latest.values()].map(intent => settleIntent(intent, authority)),
    );
  }

  /** Finishes an intent: the order is sent anew unless the engine shows it. */
  async function settleIntent(
    intent: Intent,
    authority: Authority,
  ): Promise<void> {
    if (busy.has(intent.engine)) return;
    const {command, engine, order} = intent;
    const result = await submit(engine, order);
    if (!hasTerm(authority)) return;
    if (result.kind === 'done') writeResult(command, 'done', 'finished anew');
    if (result.kind === 'failed') writeResult(command, 'undone', result.cause);
  }

  function writeResult(
    command: string,
    result: 'done' | 'failed' | 'undone',
    cause: string,
  ): void {
    const authority = lease.tryGetAuthority();
    if (authority === undefined) return;
    // Until the result is read back, the intent does not count as left behind.
    recording.add(command);
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
      .then(() => recording.delete(command));
  }

  function recordChosen(engine: string, order: EngineOrder): void {
    if (order.kind !== 'set-role' && order.kind !== 'set-version') return;
    const orders = chosen.get(engine) ?? new Map();
    chosen.set(engine, orders.set(order.kind, order));
  }

  function sendAgain(reports: readonly EngineReport[]): void {
    const term = lease.tryGetAuthority()?.term ?? 0;
    for (const report of reports) {
      const isFenced =
        checksFencing(report.engine) && report.fencingNumber >= term;
      if (isFenced || isChanging(report)) continue;
      const mustRaise = checksFencing(report.engine);
      for (const order of chosen.get(report.engine)?.values() ?? []) {
        if (!mustRaise && isInState(report, order)) continue;
        void submit(report.engine, order);
      }
    }
  }

  function hasTerm(authority: Authority): boolean {
    return lease.tryGetAuthority()?.term === authority.term;
  }

  function close(): void {
    clients.closeAll();
    chosen.clear();
  }
}

function createNotSent(cause: string): CommandResult {
  return {kind: 'not-sent', cause};
}
