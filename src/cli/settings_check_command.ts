/** `anvilstack settings check`. */
import {Command, Option} from 'clipanion';
import {getMessageText} from '../diagnostics';
import {loadAnySettings} from '../settings';
import {ExitCode} from './exit_code';
import {printJson, printMessages} from './output';

/** Checks a settings file and prints all of its faults. */
export class SettingsCheckCommand extends Command {
  static override paths = [['settings', 'check']];
  static override usage = Command.Usage({
    category: 'Settings',
    description: 'Checks a settings file and prints all of its faults.',
    details:
      'Accepts the settings of a node or of the stand-ins. Each fault is printed with its position, the key, the expected value and a code; docs/operators/messages.md lists the codes.',
    examples: [
      [
        'Check the settings of a node',
        'anvilstack settings check examples/tatranska/node_1.toml',
      ],
    ],
  });

  file = Option.String({name: 'FILE'});
  json = Option.Boolean('--json', false, {
    description: 'Print JSON',
  });

  execute(): Promise<number> {
    const loaded = loadAnySettings(this.file);
    const faults = loaded.ok ? [] : loaded.val;
    if (this.json) {
      printJson(
        this.context.stdout,
        faults.map(fault => ({
          code: fault.definition.code,
          category: fault.definition.category,
          text: getMessageText(fault),
          key: fault.key,
          ...fault.location,
        })),
      );
    } else if (loaded.ok) {
      const kind = loaded.val.kind === 'node' ? 'a node' : 'stand-ins';
      this.context.stdout.write(
        `${this.file}: settings of ${kind}, no faults\n`,
      );
    } else {
      printMessages(this.context.stderr, faults);
      this.context.stderr.write(`${faults.length} fault(s)\n`);
    }
    return Promise.resolve(loaded.ok ? ExitCode.Done : ExitCode.Usage);
  }
}
