/**
 * Measures the processor time and memory that the start of a gateway takes, up to its listening and to its first answer.
 * Arguments: the programs to compare, which are started in turns; `target/anvilstack.cjs` by default.
 * Run `node scripts/build_gateway.mjs` first.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {startServerStandin} from '../test/platform/server_standin';
import {startStoreStandin} from '../test/platform/store_standin';
import {
  buildConfig,
  buildSettings,
  sendAsCaller,
} from '../test/platform/system';
import {listFreePorts} from '../test/support/program';

const RUNS = Number(process.env['RUNS'] ?? 10);
/** The flags of deploy/system.toml. */
const FLAGS = [
  '--max-old-space-size=160',
  '--single-threaded-gc',
  '--sparkplug',
];
const RETRY_MS = 5;
const REST_MS = 1_000;
const NS_PER_MS = 1_000_000;
const KB_PER_MB = 1_024;

interface StartCost {
  readonly listeningMs: number;
  readonly answeredMs: number;
  readonly wallMs: number;
  readonly residentMb: number;
}

const programs = process.argv.slice(2);
if (programs.length === 0) programs.push('target/anvilstack.cjs');
const store = await startStoreStandin();
store.put('keyed.op', 'config', buildConfig(1));
const server = await startServerStandin({
  id: 'app-1',
  service: 'app',
  zone: 'a',
  store,
});
const costs = new Map<string, StartCost[]>(programs.map(name => [name, []]));
for (let run = 0; run < RUNS; run++) {
  for (const program of programs) {
    costs.get(program)?.push(await runStart(program));
  }
}
for (const [program, list] of costs) {
  const formatMedian = (get: (cost: StartCost) => number) => {
    const sorted = list.map(get).sort((left, right) => left - right);
    const [low, median, high] = [0, sorted.length >> 1, sorted.length - 1].map(
      index => sorted[index].toFixed(0),
    );
    return `${median} (${low} to ${high})`;
  };
  console.log(
    `${program}: processor time to listening ${formatMedian(cost => cost.listeningMs)} ms,`,
    `to the first answer ${formatMedian(cost => cost.answeredMs)} ms,`,
    `elapsed to listening ${formatMedian(cost => cost.wallMs)} ms,`,
    `resident ${formatMedian(cost => cost.residentMb)} MB`,
  );
}
server.close();
store.close();
process.exit(0);

async function runStart(program: string): Promise<StartCost> {
  const ports = await listFreePorts(4);
  const path = join(mkdtempSync(join(tmpdir(), 'anvilstack-')), 'boot.toml');
  writeFileSync(path, buildSettings('front-1', ports, store.port, []));
  const startedAt = performance.now();
  const child = spawn(process.execPath, [...FLAGS, program], {
    env: {PATH: process.env['PATH'], ANVILSTACK_NODE_FILE: path},
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const pid = child.pid ?? 0;
  await new Promise<void>(resolve =>
    child.stdout.on('data', chunk => {
      if (String(chunk).includes('"gateway started"')) resolve();
    }),
  );
  const listeningMs = readProcessorMs(pid);
  const wallMs = performance.now() - startedAt;
  for (;;) {
    const answer = await sendAsCaller(ports[0], {path: '/look/x'});
    if (answer.status === 200) break;
    await waitFor(RETRY_MS);
  }
  const answeredMs = readProcessorMs(pid);
  await waitFor(REST_MS);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  const exited = new Promise(resolve => child.on('exit', resolve));
  child.kill('SIGKILL');
  await exited;
  return {listeningMs, answeredMs, wallMs, residentMb: residentKb / KB_PER_MB};
}

/** Returns the processor time of all threads of a process, in milliseconds. */
function readProcessorMs(pid: number): number {
  return readdirSync(`/proc/${pid}/task`)
    .map(task => readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8'))
    .reduce((sum, text) => sum + Number(text.split(' ')[0]) / NS_PER_MS, 0);
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
