import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Err, Ok} from 'ts-results';
import type {FleetStore} from '../../src/gateway';
import {createStoreReader} from '../../src/gateway/store_reader';
import {createVirtualClock} from '../../src/runtime';
import {SILENT_LOGGER, SILENT_STORE} from './support';

/** Reads the list at each of the times, in milliseconds; reads before `silentUntilMs` fail. Returns the lengths of the reported outages. */
async function listOutages(
  readAtMs: readonly number[],
  silentUntilMs: number,
): Promise<number[]> {
  const clock = createVirtualClock();
  const outages: number[] = [];
  const store: Partial<FleetStore> = {
    readEntries: () =>
      Promise.resolve(
        clock.getMonotonicMs() < silentUntilMs
          ? Err(SILENT_STORE)
          : Ok({changes: [], nextOffset: 1}),
      ),
  };
  const reader = createStoreReader({
    store: store as FleetStore,
    clock,
    logger: SILENT_LOGGER,
    getOffsetEra: () => 0,
    onConfig: () => undefined,
    onPartialList: () => undefined,
    onEntries: () => undefined,
    onOutageEnd: outageMs => outages.push(outageMs),
  });
  for (const atMs of readAtMs) {
    await clock.runUntil(atMs);
    await reader.readEntries(1);
  }
  return outages;
}

test('the first successful read after recent failures ends an outage', async () => {
  assert.deepEqual(
    await listOutages([500, 1_500, 2_500, 3_000, 3_500], 2_900),
    [2_500],
  );
});

test('a successful read long after the last failure reports no outage', async () => {
  assert.deepEqual(await listOutages([500, 1_000, 15_000], 2_000), []);
});

test('a store that answers each read as expired is loaded at most once in 200 ms', async () => {
  const clock = createVirtualClock();
  let loads = 0;
  const expired = {...SILENT_STORE, kind: 'expired' as const, firstOffset: 0};
  const store: Partial<FleetStore> = {
    waitForConfig: () => Promise.resolve(Err(expired)),
    loadConfig: () => {
      loads++;
      return Promise.resolve(Ok({nextOffset: 1}));
    },
  };
  const reader = createStoreReader({
    store: store as FleetStore,
    clock,
    logger: SILENT_LOGGER,
    getOffsetEra: () => 0,
    onConfig: () => undefined,
    onPartialList: () => undefined,
    onEntries: () => undefined,
    onOutageEnd: () => undefined,
  });
  const read = (): Promise<void> => reader.readConfig(1, 1_500).then(read);
  void read();
  await clock.advance(2_000);
  assert.ok(loads >= 2 && loads <= 11, `${loads} loads`);
});
