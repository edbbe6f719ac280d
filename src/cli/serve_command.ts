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
    return runNodeProcess({settings: loaded.val, secrets: secrets.val});
  }
}
