/** Runs a command of the command-line interface in this process and collects its output. */
import {Writable} from 'node:stream';
import {runCli} from '../../src/cli';

/** Output and exit code of a command. */
export interface CliRun {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs one command with the given environment variables and no others. */
export async function runCommand(
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): Promise<CliRun> {
  const stdout: string[] = [];
  const stderr: string[] = [];
  const code = await runCli(args, {
    stdout: createCollector(stdout),
    stderr: createCollector(stderr),
    env: {...env},
  });
  return {code, stdout: stdout.join(''), stderr: stderr.join('')};
}

function createCollector(chunks: string[]): Writable {
  return new Writable({
    write: (chunk: Buffer, _encoding, callback) => {
      chunks.push(chunk.toString());
      callback();
    },
  });
}
