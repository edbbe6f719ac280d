/** Measures start-up time and memory of the binary. Run `npm run build` first. */
import {readFileSync, statSync} from 'node:fs';
import {createExampleFiles} from '../test/support/example_files';
import {
  killPrograms,
  type ProgramProcess,
  runProgram,
  startProgram,
} from '../test/support/program';

const BINARY = 'build/anvilstack';
const RUNS = 15;
const REST_MS = 10_000;
const POLL_MS = 5;
const BYTES_PER_MB = 1_000_000;

process.env['ANVILSTACK_BINARY'] = `${process.cwd()}/${BINARY}`;
const size = statSync(BINARY).size;
console.log(`size: ${(size / BYTES_PER_MB).toFixed(1)} MB`);
console.log(`--version: ${formatTimes(await collectTimes(runVersion))}`);

const example = await createExampleFiles('tatranska');
const standins = startProgram([
  ...['standins', '--settings', `${example.directory}/standins.toml`],
]);
await standins.waitForOutput(/stand-ins are up/);
console.log(`serve until ready: ${formatTimes(await collectTimes(runServe))}`);
const node = startNode();
await waitUntilReady();
await waitFor(REST_MS);
console.log(`node at rest: ${formatMemory(node)} resident`);
console.log(`stand-ins at rest: ${formatMemory(standins)} resident`);
killPrograms();

async function collectTimes(run: () => Promise<void>): Promise<number[]> {
  const times: number[] = [];
  for (let index = 0; index < RUNS; index++) {
    const startMs = performance.now();
    await run();
    times.push(performance.now() - startMs);
  }
  return times.sort((left, right) => left - right);
}

async function runVersion(): Promise<void> {
  await runProgram(['--version']);
}

/** Each run includes stopping the node; for an idle node that takes less than the poll interval. */
async function runServe(): Promise<void> {
  const program = startNode();
  await waitUntilReady();
  program.sendSignal('SIGKILL');
  await program.waitForExit();
}

function startNode(): ProgramProcess {
  return startProgram([
    ...['serve', '--settings', `${example.directory}/node_1.toml`],
  ]);
}

async function waitUntilReady(): Promise<void> {
  const url = `${example.getAddress(8101)}/readyz`;
  for (;;) {
    const answer = await fetch(url).catch(() => undefined);
    if (answer?.status === 200) return;
    await waitFor(POLL_MS);
  }
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

function formatTimes(sorted: readonly number[]): string {
  const median = sorted[Math.floor(sorted.length / 2)];
  return `median ${median.toFixed(0)} ms, from ${sorted[0].toFixed(0)} to ${sorted[sorted.length - 1].toFixed(0)} ms, ${sorted.length} runs`;
}

function formatMemory(program: ProgramProcess): string {
  const status = readFileSync(`/proc/${program.pid}/status`, 'utf8');
  const kb = Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1]);
  return `${Math.round((kb * 1_024) / BYTES_PER_MB)} MB`;
}
