/**
 * Compares variants of claiming through the log: appends, delay, bytes and processor time.
 * Nodes run on virtual time. Processor time is real and covers the whole simulation of a node,
 * including the stand-in log.
 */
import {createHash} from 'node:crypto';
import {
  type ClaimEntry,
  type ClaimsLedger,
  type ClaimsState,
  createClaimsLedger,
  createClaimsStream,
} from '../src/claims';
import type {LogService} from '../src/control_services';
import {createVirtualClock, type VirtualClock} from '../src/runtime';
import {createLocalLog, createLogModel} from '../src/standins';
import {
  createStreamFold,
  createStreamFollower,
  createStreamWriter,
  encodeEnvelope,
} from '../src/state';

const NODES = 14;
const DURATION_MS = 10_000;
const LOG_APPENDS_PER_S = 400;
const LOG_ONE_WAY_MS = 1.5;
const PEER_ONE_WAY_MS = 1.5;
const SERVICE_MS = 20;
const RECORDS_PER_CHUNK = 1_000;
const ANSWER = JSON.stringify({booking: 'x'.repeat(280)});
const RATES_PER_S = [10, 50, 200, 800];

/** A variant of writing claims to the log. */
interface ClaimVariant {
  readonly name: string;
  readonly batchDelayMs: number;
  readonly maxBatchEntries: number;
  /** Number of nodes that claim on behalf of all; 0 when each node claims for its own requests. */
  readonly owners: number;
  readonly partitions: number;
  readonly outcomeDelayMs: number;
  /** Minimum time between two appends of a writer, in milliseconds. */
  readonly appendIntervalMs: number;
}

const ENTRY_NODE: ClaimVariant = {
  name: 'entry node, groups of 2 ms',
  batchDelayMs: 2,
  maxBatchEntries: 256,
  owners: 0,
  partitions: 1,
  outcomeDelayMs: 0,
  appendIntervalMs: 0,
};
const VARIANTS: readonly ClaimVariant[] = [
  {
    ...ENTRY_NODE,
    name: 'one append an entry',
    batchDelayMs: 0,
    maxBatchEntries: 1,
  },
  ENTRY_NODE,
  {...ENTRY_NODE, name: 'entry node, 2 ms, 4 partitions', partitions: 4},
  {...ENTRY_NODE, name: 'entry node, 10 ms', batchDelayMs: 10},
  {...ENTRY_NODE, name: 'entry node, 25 ms', batchDelayMs: 25},
  {
    ...ENTRY_NODE,
    name: 'entry node, 2 ms, outcomes 100 ms',
    outcomeDelayMs: 100,
  },
  {...ENTRY_NODE, name: 'entry node, paced 25 ms', appendIntervalMs: 25},
  {...ENTRY_NODE, name: 'entry node, paced 50 ms', appendIntervalMs: 50},
  {...ENTRY_NODE, name: '14 owners, 2 ms', owners: 14},
  {...ENTRY_NODE, name: '4 owners, 2 ms', owners: 4},
  {...ENTRY_NODE, name: '4 owners, 10 ms', owners: 4, batchDelayMs: 10},
  {
    ...ENTRY_NODE,
    name: '4 owners, paced 14 ms',
    owners: 4,
    appendIntervalMs: 14,
  },
];

interface Outcome {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly appendsPerS: number;
  readonly unavailable: number;
  readonly requests: number;
  readonly nodeBytesPerS: number;
  readonly processorUs: number;
}

async function runVariant(
  variant: ClaimVariant,
  ratePerS: number,
): Promise<Outcome> {
  const clock = createVirtualClock({wallStartMs: Date.UTC(2026, 0, 1)});
  const model = createLogModel({clock, appendsPerS: LOG_APPENDS_PER_S});
  let bytes = 0;
  const local = createLocalLog({model, clock, oneWayMs: LOG_ONE_WAY_MS});
  const log: LogService = {
    append: async (stream, body) => {
      const answer = await local.append(stream, body);
      if (answer.ok) bytes += body.length;
      return answer;
    },
    read: local.read,
  };
  const nodes = Array.from({length: NODES}, (_, index) =>
    startNode(clock, log, variant, index),
  );
  await clock.advance(50);
  const delays: number[] = [];
  let unavailable = 0;
  let requests = 0;
  const usage = process.cpuUsage();
  const startBytes = bytes;
  const startAppends = model.getAppendCount();
  const intervalMs = 1_000 / ratePerS;
  for (let atMs = 0; atMs < DURATION_MS; atMs += intervalMs) {
    const index = requests++;
    void runRequest(`key-${index}`, index % NODES);
    await clock.advance(intervalMs);
  }
  const seconds = DURATION_MS / 1_000;
  const appendsPerS = (model.getAppendCount() - startAppends) / seconds;
  const nodeBytesPerS = (bytes - startBytes) / seconds;
  await clock.advance(3_000);
  const used = process.cpuUsage(usage);
  for (const node of nodes) node.stop();
  delays.sort((left, right) => left - right);
  return {
    p50Ms: delays[Math.floor(delays.length * 0.5)] ?? NaN,
    p99Ms: delays[Math.floor(delays.length * 0.99)] ?? NaN,
    appendsPerS,
    unavailable,
    requests,
    nodeBytesPerS,
    processorUs: (used.user + used.system) / requests / NODES,
  };

  async function runRequest(key: string, entry: number): Promise<void> {
    const startMs = clock.getMonotonicMs();
    const partition = getHashBucket(key, variant.partitions);
    const isForwarded = variant.owners > 0;
    const owner = isForwarded
      ? getHashBucket(`${key} owner`, variant.owners)
      : entry;
    const hopMs = isForwarded && owner !== entry ? PEER_ONE_WAY_MS : 0;
    await clock.sleep(hopMs);
    const ledger = nodes[owner].ledgers[partition];
    const result = await ledger.claim({
      clientAccount: 'studio',
      idempotencyKey: key,
      requestHash: key,
      windowMs: 3_600_000,
      timeoutMs: 2_000,
    });
    await clock.sleep(hopMs);
    if (result.kind !== 'granted') {
      unavailable++;
      return;
    }
    delays.push(clock.getMonotonicMs() - startMs);
    await clock.sleep(
      SERVICE_MS + hopMs + variant.outcomeDelayMs * Math.random(),
    );
    ledger.settle(result.ticket, {
      verdict: 'ran',
      status: 200,
      contentType: 'application/json',
      body: ANSWER,
    });
  }
}

function startNode(
  clock: VirtualClock,
  log: LogService,
  variant: ClaimVariant,
  index: number,
): {readonly ledgers: readonly ClaimsLedger[]; stop(): void} {
  const stops: Array<() => void> = [];
  const ledgers = Array.from({length: variant.partitions}, (_, partition) => {
    const follower = createStreamFollower<ClaimsState, ClaimEntry>({
      definition: createClaimsStream({stream: `claims-${partition}`}),
      log,
      clock,
    });
    const writer = createStreamWriter({
      follower,
      log,
      clock,
      writer: `node-${index}.1`,
      batchDelayMs: variant.batchDelayMs,
      maxBatchEntries: variant.maxBatchEntries,
      getAppendIntervalMs: () => variant.appendIntervalMs,
    });
    follower.start();
    stops.push(follower.stop, writer.stop);
    let attempts = 0;
    return createClaimsLedger({
      node: `node-${index}.1`,
      clock,
      follower,
      writer,
      createAttemptId: () => `node-${index}.1.${++attempts}`,
    });
  });
  return {ledgers, stop: () => stops.forEach(stop => stop())};
}

function getHashBucket(text: string, bound: number): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0) % bound;
}

async function printVariants(): Promise<void> {
  console.log(
    `${NODES} nodes, log of ${LOG_APPENDS_PER_S} appends a second, ${DURATION_MS / 1_000} s each`,
  );
  console.log(
    '| way | requests/s | appends/s | p50 ms | p99 ms | refused | KB/s read by a node | processor us a request and node |',
  );
  console.log('| --- | --- | --- | --- | --- | --- | --- | --- |');
  for (const ratePerS of RATES_PER_S) {
    for (const variant of VARIANTS) {
      const outcome = await runVariant(variant, ratePerS);
      console.log(
        `| ${variant.name} | ${ratePerS} | ${outcome.appendsPerS.toFixed(0)} | ${outcome.p50Ms.toFixed(1)} | ${outcome.p99Ms.toFixed(1)} | ${outcome.unavailable} of ${outcome.requests} | ${(outcome.nodeBytesPerS / 1_000).toFixed(1)} | ${outcome.processorUs.toFixed(0)} |`,
      );
    }
  }
}

/** Prints memory and time of applying records to the state, without a log or ledger. */
function printFoldCosts(): void {
  console.log('\n| claims folded | answer | us an entry | bytes a claim |');
  console.log('| --- | --- | --- | --- |');
  for (const body of [undefined, ANSWER]) {
    for (const count of [20_000, 100_000]) printFoldRow(count, body);
  }
}

function printFoldRow(count: number, body: string | undefined): void {
  const fold = createStreamFold(
    createClaimsStream({stream: 'claims-0', maxTotalAnswerChars: Infinity}),
  );
  const before = getHeapBytes();
  let elapsedMs = 0;
  // Records are created in chunks, so that their own memory is not counted as state.
  for (let first = 0; first < count; first += RECORDS_PER_CHUNK) {
    const records = createRecords(first, RECORDS_PER_CHUNK, body);
    const startMs = performance.now();
    for (const record of records) fold.applyRecord(record);
    elapsedMs += performance.now() - startMs;
  }
  const grown = getHeapBytes() - before;
  const {size} = fold.getState().claims;
  console.log(
    `| ${size} | ${body === undefined ? 'none' : `${body.length} characters`} | ${((elapsedMs * 1_000) / count / 2).toFixed(1)} | ${(grown / size).toFixed(0)} |`,
  );
}

function getHeapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function createRecords(
  first: number,
  count: number,
  body: string | undefined,
): Array<{offset: number; appendedAtMs: number; body: string}> {
  return Array.from({length: count}, (_, step) => {
    const index = first + step;
    const key = createHash('sha256')
      .update(String(index))
      .digest('base64url')
      .slice(0, 22);
    const attempt = `node-1.0a1b2c3d.${index}`;
    return {
      offset: index,
      appendedAtMs: index,
      body: encodeEnvelope({
        version: 1,
        writer: 'node-1.0a1b2c3d',
        sequence: index + 1,
        entries: [
          {
            kind: 'claim',
            key,
            node: 'node-1.0a1b2c3d',
            attempt,
            requestHash: key,
            windowMs: 3_600_000,
          },
          {
            kind: 'claim-outcome',
            key,
            attempt,
            verdict: 'ran',
            status: 200,
            contentType: 'application/json',
            body,
          },
        ],
      }),
    };
  });
}

await printVariants();
printFoldCosts();
