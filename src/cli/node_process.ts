/**
 * Runs a node as this process: handles signals and unhandled errors, and owns the root of the
 * supervisor tree.
 */
import {
  createLogger,
  createMessage,
  EventKind,
  type EventRing,
  formatMessage,
  type Logger,
  type MessageDefinition,
  messages,
} from '../diagnostics';
import {createNodeEventRing, startNode} from '../node';
import {
  createSupervisor,
  createSystemClock,
  type SupervisorEvent,
  watchUnhandledErrors,
} from '../runtime';
import type {Secrets, Settings} from '../settings';
import {ExitCode} from './exit_code';
import {waitForSignal} from './signals';

/** Options of a node process. */
export interface NodeProcessOptions {
  readonly settings: Settings;
  readonly secrets: Secrets;
}

/** Maximum time from a signal to the exit; the platform stops a VM some time after the signal. */
const DRAIN_TIMEOUT_MS = 120_000;

/**
 * Runs until a signal, an unhandled error or a permanent failure of the node; returns the exit
 * code.
 */
export async function runNodeProcess(
  options: NodeProcessOptions,
): Promise<ExitCode> {
  const {settings} = options;
  const clock = createSystemClock();
  const events = createNodeEventRing(settings, clock);
  const logger = createLogger({
    node: settings.node.id,
    level: settings.logging.level,
    format: settings.logging.format,
  });
  const report = createReporter(logger, events);
  const supervisor = createSupervisor({
    clock,
    stopTimeoutMs: DRAIN_TIMEOUT_MS,
    onEvent: event => reportTaskEvent(event, report),
  });
  let hasUnhandledError = false;
  const stopWatching = watchUnhandledErrors(error => {
    hasUnhandledError = true;
    report(EventKind.UnhandledError, messages.UnhandledError, [
      error.stack ?? error.message,
    ]);
    void supervisor.stop();
  });
  void waitForSignal().then(signal => {
    logger.log('info', `${signal}: draining`);
    // The same signal a second time exits immediately, without draining.
    process.once(signal, () => process.exit(ExitCode.Failed));
    return supervisor.stop();
  });
  supervisor.add({
    name: 'node',
    restart: {mode: 'never'},
    run: async signal => {
      const node = await startNode({...options, clock, logger, events});
      await waitForAbort(signal);
      await node.drain();
    },
  });
  const end = await supervisor.waitForEnd();
  stopWatching();
  return end.kind === 'stopped' && !hasUnhandledError
    ? ExitCode.Done
    : ExitCode.Failed;
}

type EventReporter = (
  kind: EventKind,
  definition: MessageDefinition,
  args: readonly string[],
) => void;

/**
 * Creates a function that writes a message to the log and to the event ring, from which the
 * timeline is read.
 */
function createReporter(logger: Logger, events: EventRing): EventReporter {
  return (kind, definition, args) => {
    const text = formatMessage(createMessage(definition, args));
    logger.log(definition.category === 'error' ? 'error' : 'warn', text);
    events.emit({kind, cause: text});
  };
}

function reportTaskEvent(event: SupervisorEvent, report: EventReporter): void {
  switch (event.kind) {
    case 'task-failed':
      return report(EventKind.TaskFailed, messages.TaskFailed, [
        event.task,
        event.error,
      ]);
    case 'task-restarted':
      return report(EventKind.TaskRestarted, messages.TaskRestarted, [
        event.task,
        String(event.delayMs),
        event.error,
      ]);
    case 'task-stuck':
      return report(EventKind.TaskFailed, messages.TaskStopTimeout, [
        event.task,
      ]);
    case 'task-ended':
      return undefined;
  }
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise(resolve => {
    signal.addEventListener('abort', () => resolve());
  });
}
