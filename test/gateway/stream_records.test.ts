import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createServerCapacities} from '../../src/capacity';
import {createEngineSpeedEstimator} from '../../src/gateway/engine_speed_estimator';
import type {FlowContext} from '../../src/gateway/flow_context';
import type {PeerMessage} from '../../src/gateway/peer_messages';
import {createPrefillQueues} from '../../src/gateway/prefill_queues';
import {createPrefixDirectory} from '../../src/gateway/prefix_directory';
import {createStreamCounts} from '../../src/gateway/stream_counts';
import {
  createStreamRecords,
  recordPrefillSample,
} from '../../src/gateway/stream_records';
import type {BackendEntry, Route} from '../../src/gateway/types';
import {createVirtualClock} from '../../src/runtime';
import {tryCreatePrefillSample} from '../../src/gateway/prefill_sample';
import {createEntry, ENGINE_LIMITS, SILENT_LOGGER} from './support';

const MODEL = {
  promptTokens: 1_500,
  maxOutputTokens: 10,
  parts: [{id: 'shared', tokens: 350}],
};

/** Records the progress of one request whose prefill ends after `actualMs`, and returns the kinds of the messages to the other nodes. */
async function listNotifications(
  peers: number,
  prefillMs: number,
  actualMs: number,
  runMs = 20,
): Promise<string[]> {
  const clock = createVirtualClock();
  const notified: PeerMessage[] = [];
  const speeds = createEngineSpeedEstimator();
  speeds.recordRun('llm', 'ask', runMs);
  const context: Partial<FlowContext> = {
    clock,
    speeds,
    prefillQueues: createPrefillQueues(),
    prefixes: createPrefixDirectory(() => 1_000_000),
    streams: createStreamCounts(),
    countPeers: () => peers,
    notifyPeers: message => notified.push(message),
  };
  const records = createStreamRecords(
    context as FlowContext,
    {service: 'llm', route: {name: 'ask'} as Route},
    ENGINE_LIMITS,
    MODEL,
    'job',
  );
  const server = createEntry({id: 'p1'});
  records.recordPlaced({
    server,
    waitMs: 0,
    prefillMs,
    cachedTokens: 0,
    timeFactor: 1,
    load: 0,
  });
  await clock.advance(actualMs);
  records.recordPrefilled('d1');
  await clock.advance(1_000);
  return notified.map(message => message.kind);
}

test('in a small fleet every prefill is announced', async () => {
  assert.deepEqual(await listNotifications(13, 10, 10), ['placed', 'read']);
  assert.deepEqual(await listNotifications(13, 200, 200), ['placed', 'read']);
});

test('in a large fleet only long prefills are announced', async () => {
  assert.deepEqual(await listNotifications(105, 10, 0), []);
  assert.deepEqual(await listNotifications(105, 80, 0), ['placed', 'read']);
});

test('in a large fleet the end of a prefill is announced only when it differs from the prediction', async () => {
  assert.deepEqual(await listNotifications(105, 200, 170), ['placed']);
  assert.deepEqual(await listNotifications(105, 200, 240), ['placed']);
  assert.deepEqual(await listNotifications(105, 200, 100), ['placed', 'read']);
  assert.deepEqual(await listNotifications(105, 200, 400), [
    'placed',
    'overdue',
    'read',
  ]);
});

test('in a large fleet streams that take much of an engine are announced', async () => {
  const longMs = 200 * ENGINE_LIMITS.maxRunning;
  assert.deepEqual(await listNotifications(105, 2, 2, longMs), [
    'placed',
    'read',
  ]);
  assert.deepEqual(await listNotifications(105, 2, 2, 700), []);
});

test('the sample of an engine excludes the wait for other prompts, also for those that this node did not know', () => {
  const placement = {
    server: createEntry({id: 'p1'}),
    waitMs: 300,
    prefillMs: 140,
    cachedTokens: 0,
    timeFactor: 1.4,
    load: 0,
  };
  const ended = {service: 'llm', placement, serviceFactor: 1};
  const compute = (observedMs: number, sinceStartMs?: number) =>
    tryCreatePrefillSample({...ended, observedMs, sinceStartMs});
  assert.equal(compute(900, 140)?.ratio, 1.4);
  // Sent to an idle engine: the round trip is no work of the engine.
  assert.equal(compute(145, 145)?.ratio, 1.4);
  assert.equal(compute(145)?.ratio, 1.4);
  const short = {...placement, waitMs: 0, prefillMs: 70};
  const sample = {...ended, placement: short, observedMs: 75};
  assert.equal(
    tryCreatePrefillSample({...sample, sinceStartMs: 75})?.ratio,
    undefined,
  );
});

/** Creates the estimates of a node and the engines of a service that they are of. */
function createTrackers(ids: readonly string[]) {
  const clock = createVirtualClock();
  const speeds = createEngineSpeedEstimator();
  const capacities = createServerCapacities({
    clock,
    logger: SILENT_LOGGER,
    getServiceFactor: speeds.getEngineFactor,
  });
  const servers = ids.map(id => createEntry({id, service: 'llm'}));
  const trackers = {
    health: {recordSuccess: () => undefined},
    state: {tryGetUsable: (id: string) => servers.find(item => item.id === id)},
    speeds,
    capacities,
  } as unknown as FlowContext;
  return {clock, speeds, capacities, trackers, servers};
}

test('waits that are longer than predicted do not make equal engines look fast', async () => {
  // Every engine's factor was relative to one that includes the error of the waits: predicted 126 ms, observed 183 ms.
  const {clock, speeds, capacities, trackers, servers} = createTrackers(['p1']);
  const [server] = servers;
  for (let index = 0; index < 60; index++) {
    const sample = {service: 'llm', sheetMs: 100, observedMs: 200, ratio: 0.5};
    recordPrefillSample(trackers, server.id, sample);
    await clock.advance(50);
  }
  assert.ok(Math.abs(speeds.getPrefillFactor('llm') - 2) < 0.01);
  assert.equal(capacities.getRelativeFactor(server, 0), 1);
});

test('predictions of an engine that differs from its service are correct on average', () => {
  // The wait and the prefill of the prediction already have the engine's factor.
  const placement = {
    server: createEntry({id: 'p1'}),
    waitMs: 280,
    prefillMs: 140,
    cachedTokens: 0,
    timeFactor: 1.4,
    load: 0,
  };
  const sample = tryCreatePrefillSample({
    service: 'llm',
    placement,
    serviceFactor: 2,
    observedMs: 425,
    sinceStartMs: 140,
  });
  assert.equal(sample?.sheetMs, 210);
  assert.equal(sample?.observedMs, 420);
});

test('the uncertain beginning of short prefills does not make equal engines differ', async () => {
  // Prefills of 28 ms, measured with an error of 10 ms, gave equal engines factors of 0.7 to 1.3.
  const {clock, capacities, trackers, servers} = createTrackers([
    'early',
    'late',
    'slow',
  ]);
  const placement = {
    waitMs: 0,
    prefillMs: 28,
    cachedTokens: 0,
    timeFactor: 1,
    load: 0,
  };
  const record = (server: BackendEntry, ownMs: number) => {
    const sample = tryCreatePrefillSample({
      service: 'llm',
      placement: {...placement, server},
      serviceFactor: 0.25,
      observedMs: ownMs + 5,
      sinceStartMs: ownMs,
    });
    assert.ok(sample?.ratio !== undefined);
    recordPrefillSample(trackers, server.id, sample);
  };
  const [early, late, slow] = servers;
  for (let index = 0; index < 200; index++) {
    record(early, 21);
    record(late, 35);
    if (index % 10 === 0) record(slow, index < 100 ? 28 : 112);
    await clock.advance(50);
  }
  assert.equal(capacities.getRelativeFactor(early, 0), 1);
  assert.equal(capacities.getRelativeFactor(late, 0), 1);
  // A server that has become four times slower is still found.
  assert.ok(capacities.getRelativeFactor(slow, 0) > 2.5);
});
