/** `anvilstack gateway`. */
import {Command, Option} from 'clipanion';
import {runGatewayProcess} from '../gateway_process';
import {loadNodeSettings} from '../platform';
import {ExitCode} from './exit_code';

/** Runs a gateway with the platform's store and protocol until SIGTERM. */
export class GatewayCommand extends Command {
  static override paths = [['gateway']];
  static override usage = Command.Usage({
    category: 'Start',
    description:
      "Runs a gateway with the platform's store and protocol until SIGTERM.",
    details:
      'The gateway accepts callers, answers readiness checks and communicates with the other gateways on the addresses in its settings file. Without --settings it reads the file that the environment variable ANVILSTACK_NODE_FILE names.',
    examples: [
      ['Run a gateway', 'anvilstack gateway --settings boot.toml'],
      ['Check its settings', 'anvilstack gateway --settings boot.toml --check'],
    ],
  });

  settings = Option.String('--settings', {
    description: "The platform's settings file",
  });

  check = Option.Boolean('--check', false, {
    description: 'Check the settings and exit',
  });

  async execute(): Promise<number> {
    if (!this.check) return runGatewayProcess(this.settings);
    if (this.settings === undefined) {
      this.context.stderr.write('--check requires --settings\n');
      return ExitCode.Usage;
    }
    const settings = loadNodeSettings(this.settings);
    if (settings.err) {
      this.context.stderr.write(`${settings.val}\n`);
      return ExitCode.Usage;
    }
    this.context.stdout.write(`${this.settings}: no faults found\n`);
    return ExitCode.Done;
  }
}
