/**
 * Time that a node adds to the first token and to the whole answer, compared with calling the
 * stand-in engine directly, and the load that one core of a node carries. The node and the
 * stand-ins run in separate processes.
 * Run: node build/js/bench/request_path.bench.js
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {startExampleFleet} from '../test/support/example_fleet';
import {killPrograms, runProgram} from '../test/support/program';

const API_KEY = 'studio-key';
const TOKENS = 5;
const ROUNDS = 3;
const PAIRS = 100;
const WARM_UP_PAIRS = 20;
const LOAD_CONCURRENCIES = [64, 256];
const BUSY_STREAMS = 64;
const LOAD_REQUESTS = 2_000;
const LOAD_TOKENS = 40;
/** Histogram units per millisecond. */
const UNITS_PER_MS = 1_000;
/** Clock ticks per second in /proc/PID/stat. */
const TICKS_PER_S = 100;

interface Timing {
  readonly firstMs: number;
  readonly lastMs: number;
}

const agent = new Agent({connections: 512});
const fleet = await startExampleFleet('tatranska');
const template = `${fleet.files.directory}/templates/studio.toml`;
// The example's limits are meant for one client account, but the benchmark sends all its load
// as one.
const text = readFileSync(template, 'utf8')
  .replace(/requests_per_s = \d+/, 'requests_per_s = 100000')
  .replace(/burst = \d+/, 'burst = 100000')
  .replace(/max_concurrent = \d+/, 'max_concurrent = 100000');
writeFileSync(template, text);
const published = await runProgram(
  ['template', 'publish', template, '--wait'],
  {
    ANVILSTACK_NODE: fleet.files.getAddress(8201),
    ANVILSTACK_TOKEN: 'tatranska-operator-token',
  },
);
if (published.code !== 0) throw new Error(published.output);
const nodeAddress = fleet.files.getAddress(8101);
const engineAddresses = Array.from({length: 13}, (_, index) =>
  fleet.files.getAddress(7101 + index),
);
let requestNumber = 0;

await runRound();
for (let round = 1; round <= ROUNDS; round++) {
  await printRound(`round ${round}`);
}
await printBusyRound();
for (const concurrency of LOAD_CONCURRENCIES) await runLoad(concurrency);
await agent.destroy();
killPrograms();
process.exit(0);

async function printRound(name: string): Promise<void> {
  const {direct, through} = await runRound();
  console.log(`${name}, ms, median / p99 of ${PAIRS} pairs`);
  printRow('  first token, direct', direct.first);
  printRow('  first token, through a node', through.first);
  printRow('  whole answer, direct', direct.last);
  printRow('  whole answer, through a node', through.last);
}

/** Measures the same pairs while other streams keep the node busy. */
async function printBusyRound(): Promise<void> {
  const pid = fleet.nodes[0].pid;
  const cpuBeforeS = readProcessorS(pid);
  const startMs = performance.now();
  let isBusy = true;
  const workers = Array.from({length: BUSY_STREAMS}, async () => {
    while (isBusy) await sendThroughNode(LOAD_TOKENS).catch(() => undefined);
  });
  await printRound(`beside ${BUSY_STREAMS} streams`);
  isBusy = false;
  const tookS = (performance.now() - startMs) / 1_000;
  const fraction = (readProcessorS(pid) - cpuBeforeS) / tookS;
  console.log(`  node at ${(100 * fraction).toFixed(0)}% of a core`);
  await Promise.all(workers);
}

interface TimingHistograms {
  readonly first: Histogram;
  readonly last: Histogram;
}

/**
 * Alternates direct calls and calls through the node, so that both meet the same load of the
 * machine.
 */
async function runRound(): Promise<{
  direct: TimingHistograms;
  through: TimingHistograms;
}> {
  const direct = createHistograms();
  const through = createHistograms();
  for (let pair = 0; pair < PAIRS + WARM_UP_PAIRS; pair++) {
    const isCounted = pair >= WARM_UP_PAIRS;
    const directTiming = await sendDirect();
    const throughTiming = await sendThroughNode(TOKENS);
    if (!isCounted) continue;
    recordTiming(direct, directTiming);
    recordTiming(through, throughTiming);
  }
  return {direct, through};
}

function createHistograms(): TimingHistograms {
  return {first: buildHistogram(), last: buildHistogram()};
}

function recordTiming(side: TimingHistograms, timing: Timing): void {
  side.first.recordValue(Math.round(timing.firstMs * UNITS_PER_MS));
  side.last.recordValue(Math.round(timing.lastMs * UNITS_PER_MS));
}

function printRow(name: string, histogram: Histogram): void {
  const median = histogram.getValueAtPercentile(50) / UNITS_PER_MS;
  const p99 = histogram.getValueAtPercentile(99) / UNITS_PER_MS;
  console.log(`${name}: ${median.toFixed(2)} / ${p99.toFixed(2)}`);
}

function sendDirect(): Promise<Timing> {
  const id = `bench-${requestNumber++}`;
  return readTiming(
    `${engineAddresses[requestNumber % engineAddresses.length]}/generate`,
    {
      requestId: id,
      model: 'summary',
      prompt: 'user: Summarise tape 12.',
      promptTokens: 7,
      maxTokens: TOKENS,
      priority: 0,
      phase: 'full',
      firstTokenIndex: 0,
      prefixHashes: [],
      prefixTokens: 0,
    },
  );
}

function sendThroughNode(tokens: number): Promise<Timing> {
  return readTiming(`${nodeAddress}/v1/chat/completions`, {
    model: 'summary',
    stream: true,
    max_tokens: tokens,
    messages: [{role: 'user', content: 'Summarise tape 12.'}],
  });
}

async function readTiming(url: string, body: unknown): Promise<Timing> {
  const startMs = performance.now();
  const response = await request(url, {
    dispatcher: agent,
    method: 'POST',
    headers: {
      authorization: `Bearer ${API_KEY}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify(body),
  });
  if (response.statusCode !== 200) {
    throw new Error(`${response.statusCode}: ${await response.body.text()}`);
  }
  let firstMs = 0;
  for await (const chunk of response.body) {
    if (firstMs === 0 && (chunk as Buffer).length > 0) {
      firstMs = performance.now() - startMs;
    }
  }
  return {firstMs, lastMs: performance.now() - startMs};
}

async function runLoad(concurrency: number): Promise<void> {
  const pid = fleet.nodes[0].pid;
  let left = LOAD_REQUESTS;
  let failed = 0;
  const cpuBeforeS = readProcessorS(pid);
  const startMs = performance.now();
  const workers = Array.from({length: concurrency}, async () => {
    while (left-- > 0) {
      await sendThroughNode(LOAD_TOKENS).catch(() => failed++);
    }
  });
  await Promise.all(workers);
  const tookS = (performance.now() - startMs) / 1_000;
  const cpuS = readProcessorS(pid) - cpuBeforeS;
  const done = LOAD_REQUESTS - failed;
  console.log(
    `load, ${concurrency} streams at a time: ${(done / tookS).toFixed(0)} requests/s, ` +
      `${((done * LOAD_TOKENS) / tookS).toFixed(0)} tokens/s at ${((100 * cpuS) / tookS).toFixed(0)}% of a core; ` +
      `${((1_000_000 * cpuS) / done).toFixed(0)} us a request of ${LOAD_TOKENS} tokens; ` +
      `${failed} refused or failed`,
  );
}

function readProcessorS(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8')
    .split(') ')[1]
    .split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S;
}
