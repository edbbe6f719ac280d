/** `anvilstack demo`. */
import {Command, Option} from 'clipanion';
import {runDemo} from '../demo';
import {createSystemClock} from '../runtime';
import {ExitCode} from './exit_code';
import {waitForSignal} from './signals';

/** Runs the demo and prints its outcome. */
export class DemoCommand extends Command {
  static override paths = [['demo']];
  static override usage = Command.Usage({
    category: 'Start',
    description:
      'Starts three nodes and stand-ins, sends requests and prints the outcome.',
    details:
      'Needs no settings and no other program. With --keep it prints its addresses and runs until a signal.',
    examples: [
      ['Run the demo', 'anvilstack demo'],
      ['Keep it running for trials', 'anvilstack demo --keep'],
    ],
  });

  keep = Option.Boolean('--keep', false, {
    description: 'Print the addresses and run until SIGINT or SIGTERM',
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
