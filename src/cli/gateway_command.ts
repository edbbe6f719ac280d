/** `anvilstack gateway`. */
import {Command, Option} from 'clipanion';
import {runGatewayProcess} from '../gateway_process';
import {loadNodeSettings} from '../platform';
import {ExitCode} from './exit_code';

/** Runs a gateway on the users' platform until SIGTERM. */
export class GatewayCommand extends Command {
  static override paths = [['gateway']];
  static override usage = Command.Usage({
    category: 'Start',
    description: "Runs a gateway on the users' platform until SIGTERM.",
    details:
      'The gateway takes callers, answers readiness checks and talks to the other gateways on the addresses of its settings file. Without --settings it takes the file that the environment variable ANVILSTACK_NODE_FILE names.',
    examples: [
      ['Run a gateway', 'anvilstack gateway --settings boot.toml'],
      ['Check its settings', 'anvilstack gateway --settings boot.toml --check'],
    ],
  });

  settings = Option.String('--settings', {
    description: "The platform's settings file",
  });

  check = Option.Boolean('--check', false, {
    description: 'Only checks the settings',
  });

  async execute(): Promise<number> {
    if (!this.check) return runGatewayProcess(this.settings);
    if (this.settings === undefined) {
      this.context.stderr.write('--check needs --settings\n');
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
