/** `anvilstack demo`. */
import {Command, Option} from 'clipanion';
import {runDemo} from '../demo';
import {createSystemClock} from '../runtime';
import {ExitCode} from './exit_code';
import {waitForSignal} from './signals';

/** Runs the demo and prints what happened. */
export class DemoCommand extends Command {
  static override paths = [['demo']];
  static override usage = Command.Usage({
    category: 'Start',
    description:
      'Starts three nodes and stand-ins, sends requests, prints what happened.',
    details:
      'Needs nothing but this program. With --keep it stays up and prints its addresses.',
    examples: [
      ['Run the demo', 'anvilstack demo'],
      ['Keep it up for trials', 'anvilstack demo --keep'],
    ],
  });

  keep = Option.Boolean('--keep', false, {
    description: 'Stay up until SIGINT and print the addresses',
  });

  async execute(): Promise<number> {
    const hasSucceeded = await runDemo({
      clock: createSystemClock(),
      print: line => void this.context.stdout.write(`${line}\n`),
      waitForEnd: this.keep ? waitForSignal : undefined,
    });
    return hasSucceeded ? ExitCode.Done : ExitCode.Failed;
  }
}
