/**
 * Periodic task that advances the moves of client accounts while this process holds the fleet's
 * lease.
 */
import type {Authority, ControlEntry, ControlState} from '../../authority';
import type {EventInput} from '../../diagnostics';
import type {Clock, Timer} from '../../runtime';
import type {StreamFollower, StreamWriter} from '../../state';
import type {MoveIndex, MovingAccount} from './move_index';
import {planMove} from './plan_move';
import {type EngineInventory, listDestinationEngines} from './preparation';
import {hasGate, tryGetNextStage, tryGetStageInForce} from './stage';
import type {AccountWindow, MoveDecision, MoveProgress} from './types';

/** Options of `createMoveRunner`. */
export interface MoveRunnerOptions {
  readonly clock: Clock;
  readonly index: MoveIndex;
  readonly follower: StreamFollower<ControlState, ControlEntry>;
  readonly writer: StreamWriter<ControlEntry>;
  /** Returns the authority over the fleet shard while this process holds its lease. */
  readonly tryGetAuthority: () => Authority | undefined;
  readonly getInventory: () => EngineInventory;
  /**
   * Returns the account's request counts over all nodes, or undefined when too few nodes answered.
   */
  readonly collectWindow: (
    clientAccount: string,
    windowMs: number,
  ) => Promise<AccountWindow | undefined>;
  readonly emitEvent: (event: EventInput) => void;
  /** Time between two decisions, in milliseconds. */
  readonly tickMs?: number;
}

/** Task that advances moves. */
export interface MoveRunner {
  start(): void;
  stop(): void;
  /** Returns the cause of the last decision that this process made for an account. */
  tryGetCause(clientAccount: string): string | undefined;
}

const DEFAULT_TICK_MS = 1_000;
const WRITE_TIMEOUT_MS = 10_000;

/** Creates the task; it does nothing before `start`. */
export function createMoveRunner(options: MoveRunnerOptions): MoveRunner {
  const {clock, index, follower, writer} = options;
  const tickMs = options.tickMs ?? DEFAULT_TICK_MS;
  const causes = new Map<string, string>();
  let timer: Timer | undefined;
  let isTicking = false;
  return {
    start,
    stop: () => timer?.cancel(),
    tryGetCause: account => causes.get(account),
  };

  function start(): void {
    timer = clock.schedule(tickMs, () => {
      start();
      void runTick();
    });
  }

  async function runTick(): Promise<void> {
    if (isTicking || options.tryGetAuthority() === undefined) return;
    isTicking = true;
    try {
      for (const account of index.list()) await runAccount(account);
    } finally {
      isTicking = false;
    }
  }

  async function runAccount(account: MovingAccount): Promise<void> {
    const name = account.template.client_account;
    const progress = follower.getState().moves.get(name);
    const decision = await planAccount(account, progress);
    if (decision === undefined) return;
    recordCause(name, decision);
    // Planning awaits other nodes; the decision is dropped if the progress has changed meanwhile.
    const isCurrent = follower.getState().moves.get(name) === progress;
    if (isCurrent) await recordDecision(account, progress, decision);
  }

  async function planAccount(
    account: MovingAccount,
    progress: MoveProgress | undefined,
  ): Promise<MoveDecision | undefined> {
    const {template, templateVersion} = account;
    const {move} = template;
    if (move === undefined) return undefined;
    const inForce = tryGetStageInForce(move, progress);
    const stage = inForce ?? move.stages[0];
    const isInProgress = inForce !== undefined && progress?.isComplete !== true;
    const window =
      isInProgress && hasGate(stage)
        ? await options.collectWindow(
            template.client_account,
            stage.gate.window_s * 1_000,
          )
        : undefined;
    const destination = isInProgress ? stage : tryGetNextStage(move, inForce);
    return planMove({
      clientAccount: template.client_account,
      templateVersion,
      move,
      progress,
      nowMs: clock.getWallMs(),
      window,
      destination:
        destination === undefined
          ? []
          : listDestinationEngines(
              template,
              destination,
              options.getInventory(),
            ),
    });
  }

  function recordCause(clientAccount: string, decision: MoveDecision): void {
    if (causes.get(clientAccount) === decision.cause) return;
    causes.set(clientAccount, decision.cause);
    options.emitEvent({
      kind: `move-${decision.kind}`,
      clientAccount,
      cause: decision.cause,
    });
  }

  async function recordDecision(
    {template, templateVersion}: MovingAccount,
    progress: MoveProgress | undefined,
    decision: MoveDecision,
  ): Promise<void> {
    if (decision.kind !== 'enter' && decision.kind !== 'complete') return;
    const authority = options.tryGetAuthority();
    if (authority === undefined) return;
    const isEntry = decision.kind === 'enter';
    const answer = await writer.write(
      {
        kind: 'move-progress',
        shard: authority.shard,
        term: authority.term,
        holder: writer.writer,
        progress: {
          clientAccount: template.client_account,
          templateVersion,
          stage: decision.stage.name,
          enteredAtMs: isEntry
            ? clock.getWallMs()
            : (progress?.enteredAtMs ?? clock.getWallMs()),
          isComplete: !isEntry,
          cause: decision.cause,
        },
      },
      WRITE_TIMEOUT_MS,
    );
    const isLogged = answer.ok && answer.val.kind === 'accepted';
    if (isLogged) return;
    options.emitEvent({
      kind: 'move-not-logged',
      clientAccount: template.client_account,
      cause: answer.ok
        ? 'the entry was rejected: the lease or the template version is out of date'
        : answer.val.message,
    });
  }
}
