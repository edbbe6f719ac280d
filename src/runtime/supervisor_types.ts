/** Types of supervised tasks. */
import type {Clock} from './types';

/** When and how often a task that has ended is restarted. */
export interface RestartPolicy {
  /** `always` restarts a task also after it ended without an error. */
  readonly mode: 'always' | 'on-failure' | 'never';
  /** Number of restarts within `windowMs`; the next failure is permanent. */
  readonly maxRestarts: number;
  readonly windowMs: number;
  /** Delay before the first restart, in milliseconds; doubled for each further restart within `windowMs`, up to `maxDelayMs`. */
  readonly firstDelayMs: number;
  readonly maxDelayMs: number;
}

/** Definition of a task. It owns its sockets and state and must end when its signal is aborted. */
export interface TaskSpec {
  readonly name: string;
  run(signal: AbortSignal): Promise<void>;
  readonly restart?: Partial<RestartPolicy>;
}

/** State of a task; `waiting` is the delay before a restart, `failed` is permanent. */
export type TaskState = 'running' | 'waiting' | 'ended' | 'failed';

/** A task that has been added to a supervisor. */
export interface TaskHandle {
  readonly name: string;
  getState(): TaskState;
  /** Aborts the signal of the task; resolves when the task has ended, or after the stop timeout. */
  stop(): Promise<void>;
}

/** A change of a task that the supervisor reports. */
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
  /** The task did not end within the stop timeout. */
  | {readonly kind: 'task-stuck'; readonly task: string};

/** Why a supervisor ended: by a call of `stop`, or by a task that failed permanently. */
export type SupervisorEnd =
  | {readonly kind: 'stopped'}
  | {readonly kind: 'failed'; readonly task: string; readonly error: string};

/** Options of a supervisor. */
export interface SupervisorOptions {
  readonly clock: Clock;
  readonly onEvent?: (event: SupervisorEvent) => void;
  /** How long a task may take to end after its signal is aborted, in milliseconds. */
  readonly stopTimeoutMs?: number;
}

/** Starts tasks, restarts those that fail, and stops all of them when one fails permanently. */
export interface Supervisor {
  /** Starts a task. Throws when the supervisor has been stopped. */
  add(spec: TaskSpec): TaskHandle;
  /**
   * Adds a nested supervisor as one task. When a task of the group fails
   * permanently, the group fails and is restarted as a whole by its own policy.
   */
  addGroup(
    spec: Omit<TaskSpec, 'run'>,
    setUp: (group: Supervisor) => void,
  ): TaskHandle;
  list(): readonly TaskHandle[];
  /** Stops the tasks one after another, in reverse order of adding. */
  stop(): Promise<void>;
  /** Resolves when every task has been stopped, also those that exceeded the stop timeout. */
  waitForEnd(): Promise<SupervisorEnd>;
}
