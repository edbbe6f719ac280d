/**
 * Time and memory of applying the stream `config`, up to the target size of 39,000 templates and
 * 4,000 changes a day.
 * Run: npm run -s transpile && node --expose-gc build/js/bench/fold.bench.js
 */
import {
  type ConfigState,
  configStream,
  createStreamFold,
  encodeEnvelope,
  exportCarried,
  getCarryDueAtMs,
  getCarryPeriodMs,
  type StreamFold,
  type ConfigEntry,
} from '../src/state';
import type {LogRecord} from '../src/control_services';
import {createTemplateInput} from './template_input';

const ACCOUNTS = 39_000;
const CHANGES_PER_DAY = 4_000;
const RETENTION_MS = 24 * 3_600_000;
const SIZES = [5_000, 10_000, 20_000, ACCOUNTS];

function createRecord(offset: number, entry: unknown): LogRecord {
  const envelope = {
    version: 1,
    writer: `node-${offset % 14}.00000000`,
    sequence: offset + 1,
    entries: [entry],
  };
  const appendedAtMs = 1_700_000_000_000 + offset;
  return {offset, appendedAtMs, body: encodeEnvelope(envelope)};
}

function getHeapMb(): number {
  (globalThis as {gc?: () => void}).gc?.();
  return process.memoryUsage().heapUsed / 2 ** 20;
}

function getTimeMs(run: () => void): number {
  const startMs = performance.now();
  run();
  return performance.now() - startMs;
}

function publishAll(
  fold: StreamFold<ConfigState, ConfigEntry>,
  count: number,
): number {
  let bytes = 0;
  for (let index = 0; index < count; index++) {
    const record = createRecord(index, {
      kind: 'template-publish',
      operator: 'petra',
      template: createTemplateInput(index),
    });
    bytes += record.body.length;
    fold.applyRecord(record);
  }
  return bytes;
}

function runSize(count: number): void {
  const beforeMb = getHeapMb();
  const records = Array.from({length: 2_000}, (_, index) =>
    createRecord(index, {
      kind: 'template-publish',
      operator: 'petra',
      template: createTemplateInput(index),
    }),
  );
  const warmUpFold = createStreamFold(configStream);
  for (const record of records) warmUpFold.applyRecord(record);
  const timedFold = createStreamFold(configStream);
  const perRecordMs =
    getTimeMs(() => {
      for (const record of records) timedFold.applyRecord(record);
    }) / records.length;
  records.length = 0;

  const fold = createStreamFold(configStream);
  const bytes = publishAll(fold, count);
  const stateMb = getHeapMb() - beforeMb;

  const state = fold.getState();
  const changes = Math.round((CHANGES_PER_DAY * count) / ACCOUNTS);
  let next = count;
  const changesMs = getTimeMs(() => {
    for (let index = 0; index < changes; index++) {
      const account = `account-${index}`;
      const known = state.templates.get(account);
      fold.applyRecord(
        createRecord(next++, {
          kind: 'template-amend',
          operator: 'jan',
          baseVersion: known?.current.version,
          template: {...known?.template, deadline_ms: 1_000 + index},
        }),
      );
    }
  });
  const carryRecord = createRecord(0, {
    kind: 'template-carry',
    asOfOffset: 1,
    carried: exportCarried(state, 'account-1'),
  });
  const carries = Array.from({length: 2_000}, (_, index) =>
    createRecord(next + index, {
      kind: 'template-carry',
      asOfOffset: next,
      carried: exportCarried(state, `account-${index}`),
    }),
  );
  const carryUs =
    getTimeMs(() => carries.forEach(record => fold.applyRecord(record))) / 2;
  let text = '';
  const exportMs = getTimeMs(() => {
    text = JSON.stringify(fold.exportSnapshot());
  });
  const copy = createStreamFold(configStream);
  const importMs = getTimeMs(() => {
    copy.importSnapshot(JSON.parse(text) as never);
  });
  console.log(
    JSON.stringify({
      accounts: count,
      recordBytes: Math.round(bytes / count),
      carryBytes: carryRecord.body.length,
      foldUsPerRecord: Math.round(perRecordMs * 1_000),
      foldUsPerCarryOfKnown: Math.round(carryUs),
      stateMb: Number(stateMb.toFixed(1)),
      changesOfADayMs: Math.round(changesMs),
      snapshotMb: Number((text.length / 2 ** 20).toFixed(1)),
      exportMs: Math.round(exportMs),
      importMs: Math.round(importMs),
    }),
  );
}

/**
 * Simulates the due times of carried templates: how many records each period adds, and how
 * evenly they are spread.
 */
function runCarry(nodes: number): void {
  const periodMs = getCarryPeriodMs(RETENTION_MS);
  const seenAfterMs = 300;
  const sampleSize = 2_000;
  let written = 0;
  let sumPeriodFraction = 0;
  const perMinute = new Map<number, number>();
  for (let index = 0; index < sampleSize; index++) {
    const dueTimesMs = Array.from({length: nodes}, (_, node) =>
      getCarryDueAtMs(`account-${index}`, 0, `node-${node}`, periodMs),
    ).sort((left, right) => left - right);
    const copies = dueTimesMs.filter(
      due => due < dueTimesMs[0] + seenAfterMs,
    ).length;
    written += copies;
    sumPeriodFraction += dueTimesMs[0] / periodMs;
    const minute = Math.floor(dueTimesMs[0] / 60_000);
    perMinute.set(minute, (perMinute.get(minute) ?? 0) + 1);
  }
  const meanPeriodS = ((sumPeriodFraction / sampleSize) * periodMs) / 1_000;
  const perAccount = written / sampleSize;
  const most = Math.max(...perMinute.values());
  console.log(
    JSON.stringify({
      nodes,
      recordsPerAccountAndCycle: Number(perAccount.toFixed(3)),
      meanCycleH: Number((meanPeriodS / 3_600).toFixed(2)),
      appendsPerS: Number(((ACCOUNTS * perAccount) / meanPeriodS).toFixed(2)),
      appendsInWorstMinuteAfterABulkPublish: Math.round(
        (most * ACCOUNTS) / sampleSize,
      ),
    }),
  );
}

for (const size of SIZES) runSize(size);
for (const nodes of [3, 14, 150, 1_000]) runCarry(nodes);
