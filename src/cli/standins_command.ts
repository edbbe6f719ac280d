/** `anvilstack standins`. */
import {Command, Option} from 'clipanion';
import {createMessage, messages} from '../diagnostics';
import {createSystemClock} from '../runtime';
import {loadStandinsSettings} from '../settings';
import {startStandins} from '../standins';
import {ExitCode} from './exit_code';
import {printMessages} from './output';
import {waitForSignal} from './signals';

/** Runs simulated platform services and backend servers until SIGTERM or SIGINT. */
export class StandinsCommand extends Command {
  static override paths = [['standins']];
  static override usage = Command.Usage({
    category: 'Start',
    description:
      "Runs stand-ins: simulations of the platform's services and of the backend servers.",
    details:
      'For trials on one machine. Their state is in memory and is lost when the command ends.',
    examples: [
      [
        'Run the stand-ins of an example fleet',
        'anvilstack standins --settings examples/tatranska/standins.toml',
      ],
    ],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'Settings file with a table [standins]',
  });

  async execute(): Promise<number> {
    const loaded = loadStandinsSettings(this.settings);
    if (loaded.err) {
      printMessages(this.context.stderr, loaded.val);
      return ExitCode.Usage;
    }
    const settings = loaded.val;
    const ended = waitForSignal();
    try {
      const standins = await startStandins({
        clock: createSystemClock(),
        settings,
      });
      const {engine, service, node} = settings.standins;
      this.context.stdout.write(
        `stand-ins are up: log ${standins.logAddress}, VM list ${standins.vmListAddress}, ${engine.length} engines, ${service.length} service servers, ${node.length} nodes listed\n`,
      );
      await ended;
      await standins.close();
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
