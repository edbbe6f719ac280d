/**
 * Time to rebuild the state from the log at start-up: a day of carried templates, with older
 * records expired, and a day of lease renewals.
 * Run: npm run -s transpile && node --expose-gc build/js/bench/start_up.bench.js
 */
import {controlStream} from '../src/authority';
import type {LogRecord} from '../src/control_services';
import {
  configStream,
  createStreamFold,
  encodeEnvelope,
  type StreamFold,
} from '../src/state';
import {createTemplateInput} from './template_input';

const ACCOUNTS = 39_000;
/** Number of times that the log of a day carries each template. */
const CYCLES = 5;
const CYCLE_MS = (24 * 3_600_000) / CYCLES;
const RECORDS_PER_CHUNK = 3_000;
const FIRST_OFFSET = 1_000_000;
/** Records of `control` in a day: 13 shards with 0.627 appends per second each. */
const CONTROL_RECORDS = Math.round(13 * 0.627 * 86_400);

function createRecord(
  offset: number,
  appendedAtMs: number,
  entry: unknown,
): LogRecord {
  const envelope = {
    version: 1,
    writer: `node-${offset % 14}.00000000`,
    sequence: offset,
    entries: [entry],
  };
  return {offset, appendedAtMs, body: encodeEnvelope(envelope)};
}

function createCarry(index: number, cycle: number): LogRecord {
  const offset = FIRST_OFFSET + cycle * ACCOUNTS + index;
  const atMs = 1_700_000_000_000 + (cycle + index / ACCOUNTS) * CYCLE_MS;
  return createRecord(offset, atMs, {
    kind: 'template-carry',
    asOfOffset: offset,
    carried: {
      clientAccount: `account-${index}`,
      publishedVersion: index,
      history: [
        {
          version: index,
          baseVersion: 0,
          operator: 'petra',
          acceptedAtMs: 1_600_000_000_000,
          change: 'publish',
          changes: [],
        },
      ],
      template: createTemplateInput(index),
    },
  });
}

/**
 * Measures applying `count` records to a fold. The records are created in chunks, outside the
 * measured time.
 */
function getFoldMs<State, Entry>(
  fold: StreamFold<State, Entry>,
  count: number,
  create: (index: number) => LogRecord,
): {ms: number; bytes: number} {
  let ms = 0;
  let bytes = 0;
  for (let start = 0; start < count; start += RECORDS_PER_CHUNK) {
    const length = Math.min(RECORDS_PER_CHUNK, count - start);
    const records = Array.from({length}, (_, index) => create(start + index));
    const startMs = performance.now();
    for (const record of records) fold.applyRecord(record);
    ms += performance.now() - startMs;
    for (const record of records) bytes += record.body.length;
  }
  return {ms, bytes};
}

const config = createStreamFold(configStream);
config.advanceTo(FIRST_OFFSET);
const configRun = getFoldMs(config, CYCLES * ACCOUNTS, index =>
  createCarry(index % ACCOUNTS, Math.floor(index / ACCOUNTS)),
);
console.log(
  JSON.stringify({
    stream: 'config',
    records: CYCLES * ACCOUNTS,
    templates: config.getState().templates.size,
    isComplete: config.isComplete(),
    seconds: Number((configRun.ms / 1_000).toFixed(1)),
    mb: Math.round(configRun.bytes / 2 ** 20),
  }),
);

const control = createStreamFold(controlStream);
const controlRun = getFoldMs(control, CONTROL_RECORDS, index =>
  createRecord(index + 1, 1_700_000_000_000 + index * 122, {
    kind: 'lease-renew',
    shard: `failure-domain-${index % 13}`,
    holder: `node-${index % 13}.00000000`,
    term: 1,
    renewals: 1 + Math.floor(index / 13),
  }),
);
console.log(
  JSON.stringify({
    stream: 'control',
    records: CONTROL_RECORDS,
    seconds: Number((controlRun.ms / 1_000).toFixed(1)),
    mb: Math.round(controlRun.bytes / 2 ** 20),
  }),
);
