/** `anvilstack serve`. */
import {Command, Option} from 'clipanion';
import {loadSecrets, loadSettings} from '../settings';
import {ExitCode} from './exit_code';
import {runNodeProcess} from './node_process';
import {printMessages} from './output';

/** Runs a node until SIGTERM or SIGINT. */
export class ServeCommand extends Command {
  static override paths = [['serve']];
  static override usage = Command.Usage({
    category: 'Start',
    description: 'Runs a node until SIGTERM or SIGINT, then drains it.',
    details:
      'The node accepts connections from callers, operators and other nodes on the listeners in its settings. On a signal it refuses new requests, finishes open ones and exits with code 0.',
    examples: [
      [
        'Run a node',
        'anvilstack serve --settings examples/tatranska/node_1.toml',
      ],
    ],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'Settings file',
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
    return runNodeProcess({settings: loaded.val, secrets: secrets.val});
  }
}
