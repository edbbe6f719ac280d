/** Types of supervised tasks. */
import type {Clock} from './types';

/** When and how often a task that has ended starts again. */
export interface RestartPolicy {
  /** `always`: also after it ended without an error. */
  readonly mode: 'always' | 'on-failure' | 'never';
  /** Restarts within `windowMs` after which it has failed for good. */
  readonly maxRestarts: number;
  readonly windowMs: number;
  /** Delay before the first restart, in milliseconds; it doubles each time. */
  readonly firstDelayMs: number;
  readonly maxDelayMs: number;
}

/** A task: owns its sockets and state, and ends when its signal is aborted. */
export interface TaskSpec {
  readonly name: string;
  run(signal: AbortSignal): Promise<void>;
  readonly restart?: Partial<RestartPolicy>;
}

/** Where a task stands. */
export type TaskState = 'running' | 'waiting' | 'ended' | 'failed';

/** A task that has been added. */
export interface TaskHandle {
  readonly name: string;
  getState(): TaskState;
  /** Aborts its signal and resolves when it has ended. */
  stop(): Promise<void>;
}

/** What happened to a task. */
export type SupervisorEvent =
  | {readonly kind: 'task-ended'; readonly task: string}
  | {
      readonly kind: 'task-restarted';
      readonly task: string;
      readonly error: string;
      readonly delayMs: number;
    }
  | {
      readonly kind: 'task-failed';
      readonly task: string;
      readonly error: string;
    }
  /** It did not end within the stop timeout. */
  | {readonly kind: 'task-stuck'; readonly task: string};

/** How a supervisor came to its end. */
export type SupervisorEnd =
  | {readonly kind: 'stopped'}
  | {readonly kind: 'failed'; readonly task: string; readonly error: string};

/** Options of a supervisor. */
export interface SupervisorOptions {
  readonly clock: Clock;
  readonly onEvent?: (event: SupervisorEvent) => void;
  /** How long a task may take to end after its signal, in milliseconds. */
  readonly stopTimeoutMs?: number;
}

/** Starts tasks, restarts those that fail, and stops all when one fails for good. */
export interface Supervisor {
  /** Starts a task. A supervisor that has ended takes none. */
  add(spec: TaskSpec): TaskHandle;
  /** Adds a supervisor of its own whose failure is that of one task here. */
  addGroup(
    spec: Omit<TaskSpec, 'run'>,
    setUp: (group: Supervisor) => void,
  ): TaskHandle;
  list(): readonly TaskHandle[];
  /** Stops the tasks one after another, the last added first. */
  stop(): Promise<void>;
  /** Resolves when every task has been stopped. */
  waitForEnd(): Promise<SupervisorEnd>;
}
