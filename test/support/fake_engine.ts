/**
 * A fake engine that records the commands that took effect, and clients whose writes can be
 * delayed.
 */
import {Err, Ok, type Result} from 'ts-results';
import type {
  BackendFailure,
  EngineClient,
  EngineCommand,
  EngineReport,
  EngineRole,
  EngineState,
} from '../../src/backends';
import type {Clock} from '../../src/runtime';
import {Verdict} from '../../src/verdict';
import {createTestReport} from './report';

export interface AppliedCommand {
  readonly atMs: number;
  readonly command: EngineCommand;
}

export interface FakeEngine {
  readonly id: string;
  readonly appliedCommands: AppliedCommand[];
  getRole(): EngineRole;
  getReport(): EngineReport;
  applyCommand(command: EngineCommand): Result<void, BackendFailure>;
  /** Resets the role, state and fencing number; the engine does not answer for `outageMs`. */
  crash(outageMs: number): void;
  isCrashed(): boolean;
}

export function createFakeEngine(options: {
  readonly id: string;
  readonly clock: Clock;
  readonly checksFencing: boolean;
  readonly changeMs?: number;
}): FakeEngine {
  const {id, clock, checksFencing} = options;
  const changeMs = options.changeMs ?? 1_000;
  const appliedCommands: AppliedCommand[] = [];
  const models = new Set<string>();
  let role: EngineRole = 'mixed';
  let state: EngineState = 'ready';
  let fencingNumber = 0;
  let incarnation = 1;
  let isCrashed = false;
  return {
    id,
    appliedCommands,
    getRole: () => role,
    getReport,
    applyCommand,
    crash,
    isCrashed: () => isCrashed,
  };

  function getReport(): EngineReport {
    return createTestReport(id, {
      incarnation: String(incarnation),
      role,
      state,
      models: [...models],
      fencingNumber,
    });
  }

  function applyCommand(command: EngineCommand): Result<void, BackendFailure> {
    if (checksFencing && command.fencingNumber < fencingNumber) {
      return Err(createFailure('stale-command'));
    }
    if (state === 'changing_role') return Err(createFailure('refused'));
    fencingNumber = Math.max(fencingNumber, command.fencingNumber);
    appliedCommands.push({atMs: clock.getMonotonicMs(), command});
    const {order} = command;
    if (order.kind === 'load-model') models.add(order.model);
    if (order.kind === 'set-role' && order.role !== role) {
      state = 'changing_role';
      const changedIncarnation = incarnation;
      clock.schedule(changeMs, () => {
        if (changedIncarnation !== incarnation) return;
        role = order.role;
        state = 'ready';
      });
    }
    return Ok(undefined);
  }

  function crash(outageMs: number): void {
    isCrashed = true;
    incarnation++;
    role = 'mixed';
    state = 'ready';
    fencingNumber = 0;
    clock.schedule(outageMs, () => {
      isCrashed = false;
    });
  }
}

export interface FakeClientOptions {
  readonly engine: FakeEngine;
  /** The clock of the process that holds the client. */
  readonly clock: Clock;
  /** Awaited before each command is written, to delay a process between its check and its write. */
  readonly waitBeforeWrite?: () => Promise<void>;
  readonly isReachable?: () => boolean;
}

const ONE_WAY_MS = 1;
const TIMEOUT_MS = 500;

export function createFakeClient(options: FakeClientOptions): EngineClient {
  const {engine, clock} = options;
  const isReachable = options.isReachable ?? (() => true);
  let isClosed = false;
  const throwUnused = (): never => {
    throw new Error('not used here');
  };
  return {
    start: throwUnused,
    resume: throwUnused,
    listCacheEvents: throwUnused,
    getReport: async () => {
      await clock.sleep(ONE_WAY_MS);
      if (isClosed || engine.isCrashed() || !isReachable())
        return failAfterTimeout();
      return Ok(engine.getReport());
    },
    sendCommand: async command => {
      await options.waitBeforeWrite?.();
      // From here on the command is on the network: closing the client does not stop it.
      await clock.sleep(ONE_WAY_MS);
      if (engine.isCrashed() || !isReachable()) return failAfterTimeout();
      return engine.applyCommand(command);
    },
    close: () => {
      isClosed = true;
    },
  };

  async function failAfterTimeout(): Promise<Err<BackendFailure>> {
    await clock.sleep(TIMEOUT_MS);
    return Err(createFailure('timeout'));
  }
}

function createFailure(kind: BackendFailure['kind']): BackendFailure {
  return {kind, verdict: Verdict.MayHaveRun, message: kind};
}
