/** Starts the processes of an example deployment: the stand-ins and three nodes. */
import {createSystemClock} from '../../src/runtime';
import {createExampleFiles, type ExampleFiles} from './example_files';
import {type ProgramProcess, startProgram} from './program';

/** The running processes of an example deployment. */
export interface ExampleFleet {
  readonly files: ExampleFiles;
  readonly standins: ProgramProcess;
  readonly nodes: readonly ProgramProcess[];
}

/** Port of the first node's callers in the example's files, less 1. */
const CALLERS_PORT = 8_100;
const NODE_NUMBERS = [1, 2, 3];
const POLL_MS = 50;

/** Starts the processes; resolves when every node is ready, rejects when a node exits first. */
export async function startExampleFleet(
  deployment: string,
): Promise<ExampleFleet> {
  const files = await createExampleFiles(deployment);
  const standins = startProgram([
    ...['standins', '--settings', `${files.directory}/standins.toml`],
  ]);
  await standins.waitForOutput(/stand-ins are up/);
  const nodes = NODE_NUMBERS.map(number =>
    startProgram([
      ...['serve', '--settings', `${files.directory}/node_${number}.toml`],
    ]),
  );
  await Promise.all(nodes.map(node => node.waitForOutput(/node started/)));
  await Promise.all(
    NODE_NUMBERS.map((number, index) =>
      waitUntilReady(files.getAddress(CALLERS_PORT + number), nodes[index]),
    ),
  );
  return {files, standins, nodes};
}

async function waitUntilReady(
  address: string,
  node: ProgramProcess,
): Promise<void> {
  const clock = createSystemClock();
  let exit: number | string | undefined;
  void node.waitForExit().then(code => {
    exit = code;
  });
  while (exit === undefined) {
    const answer = await fetch(`${address}/readyz`).catch(() => undefined);
    if (answer?.status === 200) return;
    await clock.sleep(POLL_MS);
  }
  throw new Error(`exited with ${exit} before ready: ${node.getOutput()}`);
}
