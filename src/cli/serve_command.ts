/** `anvilstack serve`. */
import {Command, Option} from 'clipanion';
import {createLogger, createMessage, messages} from '../diagnostics';
import {startNode} from '../node';
import {createSystemClock} from '../runtime';
import {
  loadSecrets,
  loadSettings,
  type Secrets,
  type Settings,
} from '../settings';
import {ExitCode} from './exit_code';
import {printMessages} from './output';
import {waitForSignal} from './signals';

/** Runs a node until SIGTERM or SIGINT. */
export class ServeCommand extends Command {
  static override paths = [['serve']];
  static override usage = Command.Usage({
    category: 'Start',
    description: 'Runs a node until SIGTERM or SIGINT, then drains it.',
    details:
      'The node takes callers, operators and other nodes on the listeners of its settings. At a signal it takes no new requests, finishes what is open and exits with 0.',
    examples: [
      [
        'Run a node',
        'anvilstack serve --settings examples/tatranska/node_1.toml',
      ],
    ],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'The settings file',
  });

  async execute(): Promise<number> {
    const loaded = loadSettings(this.settings);
    if (loaded.err) {
      printMessages(this.context.stderr, loaded.val);
      return ExitCode.Usage;
    }
    const secrets = loadSecrets(loaded.val);
    if (secrets.err) {
      printMessages(this.context.stderr, secrets.val);
      return ExitCode.Usage;
    }
    const ended = waitForSignal();
    try {
      const node = await startNode(createNodeOptions(loaded.val, secrets.val));
      await ended;
      await node.drain();
      return ExitCode.Done;
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      printMessages(this.context.stderr, [
        createMessage(messages.StartFailed, [text]),
      ]);
      return ExitCode.Failed;
    }
  }
}

function createNodeOptions(
  settings: Settings,
  secrets: Secrets,
): Parameters<typeof startNode>[0] {
  const logger = createLogger({
    node: settings.node.id,
    level: settings.logging.level,
    format: settings.logging.format,
  });
  return {settings, clock: createSystemClock(), logger, secrets};
}
