/** `anvilstack demo`. */
import {Command} from 'clipanion';
import {runDemo} from '../demo';
import {createSystemClock} from '../runtime';

/** Runs the demo and prints what happened. */
export class DemoCommand extends Command {
  static override paths = [['demo']];
  static override usage = Command.Usage({
    description:
      'Starts three nodes and stand-ins, sends requests, prints what happened.',
    examples: [['Run the demo', 'anvilstack demo']],
  });

  async execute(): Promise<number> {
    const isDone = await runDemo({
      clock: createSystemClock(),
      print: line => void this.context.stdout.write(`${line}\n`),
    });
    return isDone ? 0 : 1;
  }
}
