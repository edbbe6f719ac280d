/** Supervises tasks: restarts them with backoff up to a limit, stops them in reverse order, and nests groups of tasks. */
import {createRestartBudget, DEFAULT_RESTART_POLICY} from './restart_budget';
import type {
  Supervisor,
  SupervisorEnd,
  SupervisorOptions,
  TaskHandle,
  TaskSpec,
  TaskState,
} from './supervisor_types';
import type {Clock} from './types';

const DEFAULT_STOP_TIMEOUT_MS = 30_000;

interface Task extends TaskHandle {
  readonly ended: Promise<void>;
  abort(): void;
}

/** Creates a supervisor without tasks. */
export function createSupervisor(options: SupervisorOptions): Supervisor {
  const {clock} = options;
  const onEvent = options.onEvent ?? (() => undefined);
  const stopTimeoutMs = options.stopTimeoutMs ?? DEFAULT_STOP_TIMEOUT_MS;
  const tasks: Task[] = [];
  let stopPromise: Promise<void> | undefined;
  let resolveEnd: (end: SupervisorEnd) => void = () => undefined;
  const end = new Promise<SupervisorEnd>(resolve => {
    resolveEnd = resolve;
  });
  return {
    add,
    addGroup: (spec, setUp) =>
      add({...spec, run: signal => runGroup(signal, setUp)}),
    list: () => tasks,
    stop,
    waitForEnd: () => end,
  };

  function add(spec: TaskSpec): TaskHandle {
    if (stopPromise !== undefined) {
      throw new Error(`task '${spec.name}' added to a stopped supervisor`);
    }
    const task = startTask(spec);
    tasks.push(task);
    return task;
  }

  function startTask(spec: TaskSpec): Task {
    const controller = new AbortController();
    const policy = {...DEFAULT_RESTART_POLICY, ...spec.restart};
    const budget = createRestartBudget(policy);
    let state: TaskState = 'running';
    const ended = runUntilDone();
    const task: Task = {
      name: spec.name,
      ended,
      getState: () => state,
      abort: () => controller.abort(),
      stop: () => stopTask(task),
    };
    return task;

    async function runUntilDone(): Promise<void> {
      for (;;) {
        state = 'running';
        const error = await runOnce(spec, controller.signal);
        if (controller.signal.aborted) break;
        if (policy.mode === 'never' && error !== undefined) return fail(error);
        if (error === undefined && policy.mode !== 'always') break;
        const delayMs = budget.tryTakeDelay(clock.getMonotonicMs());
        const reason = error ?? 'ended';
        if (delayMs === undefined) return fail(reason);
        onEvent({
          kind: 'task-restarted',
          task: spec.name,
          error: reason,
          delayMs,
        });
        state = 'waiting';
        await sleepUntilAborted(clock, delayMs, controller.signal);
        if (controller.signal.aborted) break;
      }
      state = 'ended';
      onEvent({kind: 'task-ended', task: spec.name});
    }

    /** Stops the whole supervisor. The stop is not awaited, because it waits for this task to end. */
    function fail(error: string): void {
      state = 'failed';
      onEvent({kind: 'task-failed', task: spec.name, error});
      void stopAll({kind: 'failed', task: spec.name, error});
    }
  }

  async function runGroup(
    signal: AbortSignal,
    setUp: (group: Supervisor) => void,
  ): Promise<void> {
    const group = createSupervisor(options);
    signal.addEventListener('abort', () => void group.stop());
    setUp(group);
    if (signal.aborted) await group.stop();
    const groupEnd = await group.waitForEnd();
    if (groupEnd.kind === 'failed') {
      throw new Error(`task '${groupEnd.task}' failed: ${groupEnd.error}`);
    }
  }

  function stop(): Promise<void> {
    return stopAll({kind: 'stopped'});
  }

  function stopAll(result: SupervisorEnd): Promise<void> {
    stopPromise ??= stopInOrder(result);
    return stopPromise;
  }

  async function stopInOrder(result: SupervisorEnd): Promise<void> {
    for (const task of [...tasks].reverse()) await stopTask(task);
    resolveEnd(result);
  }

  async function stopTask(task: Task): Promise<void> {
    task.abort();
    let isStuck = false;
    const stopTimeout = new AbortController();
    await Promise.race([
      task.ended,
      sleepUntilAborted(clock, stopTimeoutMs, stopTimeout.signal).then(() => {
        isStuck = !stopTimeout.signal.aborted;
      }),
    ]);
    stopTimeout.abort();
    if (isStuck) onEvent({kind: 'task-stuck', task: task.name});
  }
}

/** Runs the task once; returns the message of its error, or undefined when it ended without one. */
async function runOnce(
  spec: TaskSpec,
  signal: AbortSignal,
): Promise<string | undefined> {
  try {
    await spec.run(signal);
    return undefined;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}

function sleepUntilAborted(
  clock: Clock,
  delayMs: number,
  signal: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    const timer = clock.schedule(delayMs, resolve);
    signal.addEventListener('abort', () => {
      timer.cancel();
      resolve();
    });
  });
}
