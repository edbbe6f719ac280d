/** The engine model's control state: role, models, draining, fencing. */
import {Err, Ok, type Result} from 'ts-results';
import {
  type BackendFailure,
  type EngineCommand,
  type EngineOrder,
  EngineRole,
  EngineState,
} from '../backends';
import {assertNever, type Clock} from '../runtime';
import {Verdict} from '../verdict';
import type {EngineObserver} from './engine_model_types';

/** Options of the control state. */
export interface EngineControlOptions {
  readonly clock: Clock;
  readonly startRole: EngineRole;
  readonly models: readonly string[];
  readonly roleChangeMs: number;
  readonly loadMs: number;
  readonly checksFencing: boolean;
  readonly observer: EngineObserver;
  readonly getRandom: () => number;
  /** Tells whether any request is waiting, running or held for export. */
  readonly isBusy: () => boolean;
  /** Called when a role change begins: the KV cache is lost. */
  readonly onRoleChange: () => void;
}

/** The control state of one engine. */
export interface EngineControl {
  getRole(): EngineRole;
  getState(): EngineState;
  getFencingNumber(): number;
  getIncarnation(): number;
  getVersion(): string;
  listModels(): readonly string[];
  listAdapters(): readonly string[];
  hasModel(model: string): boolean;
  sendCommand(command: EngineCommand): Result<void, BackendFailure>;
  setLeaving(isLeaving: boolean): void;
  isLeaving(): boolean;
  /** Starts a role change that waited for the engine's work to end. */
  onIdle(): void;
  /** Restarts after a crash, in the first or the last role. */
  restoreAfterCrash(): void;
}

/** Creates the control state of an engine that is ready. */
export function createEngineControl(
  options: EngineControlOptions,
): EngineControl {
  const {clock, observer} = options;
  let models = new Set(options.models);
  const adapters = new Set<string>();
  let role = options.startRole;
  let version = '1';
  let incarnation = 1;
  let fencingNumber = 0;
  /** Highest fencing number of any command so far, over all incarnations. */
  let highestSeen = 0;
  let isDraining = false;
  let isLeaving = false;
  let isChanging = false;
  let targetRole: EngineRole | undefined;
  return {
    getRole: () => role,
    getState,
    getFencingNumber: () => fencingNumber,
    getIncarnation: () => incarnation,
    getVersion: () => version,
    listModels: () => [...models],
    listAdapters: () => [...adapters],
    hasModel: model => models.has(model),
    sendCommand,
    setLeaving: value => {
      isLeaving = value;
    },
    isLeaving: () => isLeaving,
    onIdle: startRoleChange,
    restoreAfterCrash,
  };

  function getState(): EngineState {
    if (isChanging) return EngineState.ChangingRole;
    if (isLeaving) return EngineState.Leaving;
    if (isDraining || targetRole !== undefined) return EngineState.Draining;
    return EngineState.Ready;
  }

  function sendCommand(command: EngineCommand): Result<void, BackendFailure> {
    if (options.checksFencing && command.fencingNumber < fencingNumber) {
      return Err({
        kind: 'stale-command',
        verdict: Verdict.NotRun,
        message: `fencing number ${command.fencingNumber} is below ${fencingNumber}`,
      });
    }
    observer.onCommand?.(command, highestSeen);
    highestSeen = Math.max(highestSeen, command.fencingNumber);
    fencingNumber = Math.max(fencingNumber, command.fencingNumber);
    applyOrder(command.order);
    return Ok(undefined);
  }

  function applyOrder(order: EngineOrder): void {
    switch (order.kind) {
      case 'set-role':
        targetRole = order.role === role ? undefined : order.role;
        startRoleChange();
        return;
      case 'load-model':
        load(() => models.add(order.model));
        return;
      case 'unload-model':
        models.delete(order.model);
        return;
      case 'load-adapter':
        load(() => adapters.add(order.adapter));
        return;
      case 'set-version':
        load(() => {
          version = order.version;
        });
        return;
      case 'set-draining':
        isDraining = order.isDraining;
        return;
      default:
        assertNever(order);
    }
  }

  function load(finish: () => void): void {
    const startIncarnation = incarnation;
    clock.schedule(options.loadMs, () => {
      if (incarnation === startIncarnation) finish();
    });
  }

  /** Starts a pending role change once the engine's work has ended, so that no answer is broken off. */
  function startRoleChange(): void {
    if (targetRole === undefined || isChanging || options.isBusy()) return;
    isChanging = true;
    options.onRoleChange();
    observer.onRoleChange?.(true);
    const startIncarnation = incarnation;
    clock.schedule(options.roleChangeMs, () => {
      if (incarnation !== startIncarnation) return;
      isChanging = false;
      role = targetRole ?? role;
      targetRole = undefined;
      isDraining = false;
      observer.onRoleChange?.(false);
    });
  }

  function restoreAfterCrash(): void {
    incarnation++;
    if (isChanging) observer.onRoleChange?.(false);
    role = options.getRandom() < 0.5 ? options.startRole : role;
    models = new Set(options.models);
    adapters.clear();
    version = '1';
    fencingNumber = 0;
    isDraining = false;
    isChanging = false;
    targetRole = undefined;
  }
}
