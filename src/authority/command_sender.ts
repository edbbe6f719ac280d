/** Sends commands to the engines of a shard, each announced in the log first. */
import type {EngineClient, EngineOrder, EngineReport} from '../backends';
import type {WeightStore} from '../platform';
import type {Clock} from '../runtime';
import type {StreamFollower, StreamWriter} from '../state';
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
  /** Opens connections of its own: they are closed when the lease lapses. */
  readonly createClient: (engine: string) => EngineClient;
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
const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;
/** Time between two questions for an engine's report, in milliseconds. */
const PROBE_MS = 250;
/** Longest wait for an engine to reach the state after it took a command, in milliseconds. */
const STATE_TIMEOUT_MS = 60_000;

/** Creates a sender. */
export function createCommandSender(
  options: CommandSenderOptions,
): CommandSender {
  const {clock, lease, follower, writer, checksFencing} = options;
  const guardMs = options.guardMs ?? DEFAULT_GUARD_MS;
  const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  const getRandom = options.getRandom ?? (() => 0.5);
  const clients = new Map<string, EngineClient>();
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
    const result = await sendWithRetries(command, engine, order, authority);
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

  async function sendWithRetries(
    command: string,
    engine: string,
    order: EngineOrder,
    authority: Authority,
  ): Promise<CommandResult> {
    let cause = '';
    let backoffMs = MIN_BACKOFF_MS;
    // Sending raises the fencing number at an engine that checks it; others are only probed.
    const isProbed = !checksFencing(engine);
    if (isProbed && (await hasReachedState(engine, order, authority))) {
      return {kind: 'done'};
    }
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
      const client = getClient(engine);
      // Nothing is awaited between this check and the write.
      if (!hasTerm(authority)) return createUnresolved('the lease was lost');
      const answer = await client.sendCommand({
        id: command,
        fencingNumber: authority.term,
        order,
      });
      if (answer.err && answer.val.kind === 'stale-command') {
        return createUnresolved('the engine knows a newer holder');
      }
      if (answer.err) {
        cause = answer.val.message;
        // What was written may be on its way still; it must not arrive after a later command.
        closeClient(engine);
      }
      if (await hasReachedState(engine, order, authority)) {
        return {kind: 'done'};
      }
      if (!hasTerm(authority)) return createUnresolved('the lease was lost');
      await clock.sleep(backoffMs * (0.5 + getRandom()));
      backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }
    return {kind: 'failed', cause: cause === '' ? 'state not reached' : cause};
  }

  /** Probes the engine; waits while it is still changing. */
  async function hasReachedState(
    engine: string,
    order: EngineOrder,
    authority: Authority,
  ): Promise<boolean> {
    const untilMs = clock.getMonotonicMs() + STATE_TIMEOUT_MS;
    while (hasTerm(authority) && clock.getMonotonicMs() < untilMs) {
      const report = await getClient(engine).getReport();
      if (report.err) return false;
      if (isInState(report.val, order)) return true;
      if (!isChanging(report.val)) return false;
      await clock.sleep(PROBE_MS);
    }
    return false;
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

  function getClient(engine: string): EngineClient {
    let client = clients.get(engine);
    if (client === undefined) {
      client = options.createClient(engine);
      clients.set(engine, client);
    }
    return client;
  }

  function closeClient(engine: string): void {
    clients.get(engine)?.close();
    clients.delete(engine);
  }

  function close(): void {
    for (const client of clients.values()) client.close();
    clients.clear();
    chosen.clear();
  }
}

function createNotSent(cause: string): CommandResult {
  return {kind: 'not-sent', cause};
}

function createUnresolved(cause: string): CommandResult {
  return {kind: 'unresolved', cause};
}
