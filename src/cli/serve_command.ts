/** `anvilstack serve`. */
import {Command, Option} from 'clipanion';
import {createLogger, formatMessage} from '../diagnostics';
import {startNode} from '../node';
import {createSystemClock} from '../runtime';
import {loadSettings} from '../settings';

/** Runs a node until SIGTERM or SIGINT. */
export class ServeCommand extends Command {
  static override paths = [['serve']];
  static override usage = Command.Usage({
    description: 'Runs a node until SIGTERM or SIGINT, then drains it.',
    examples: [['Run a node', 'anvilstack serve --settings node.toml']],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'The settings file',
  });

  async execute(): Promise<number> {
    const loaded = loadSettings(this.settings);
    if (loaded.err) {
      for (const fault of loaded.val) {
        this.context.stderr.write(`${formatMessage(fault)}\n`);
      }
      return 2;
    }
    const settings = loaded.val;
    const logger = createLogger({
      node: settings.node.id,
      level: settings.logging.level,
      format: settings.logging.format,
    });
    const node = await startNode({
      settings,
      clock: createSystemClock(),
      logger,
    });
    await waitForSignal();
    await node.drain();
    return 0;
  }
}

function waitForSignal(): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}
