/** Tests the demand reports that the nodes send to the few nodes which plan stages. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createFleetDemand,
  type FleetDemandOptions,
} from '../../src/gateway/fleet_demand';
import type {DemandMessage, PeerMessage} from '../../src/gateway/peer_messages';
import type {NodeRecord} from '../../src/gateway/types';
import {NO_STAGE_DEMAND} from '../../src/planning/stage_demand';
import {createServerCapacities} from '../../src/capacity';
import {createFleetState} from '../../src/gateway/fleet_state';
import {recordReportedFactors} from '../../src/gateway/reported_factors';
import {createVirtualClock} from '../../src/runtime';
import {createEntry, ENGINE_LIMITS, SILENT_LOGGER} from './support';

const WORK = {...NO_STAGE_DEMAND, readMs: 100, slotMs: 640};

function createNode(
  nodeCount: number,
  scaling?: FleetDemandOptions['scaling'],
  tryCreateAccountReport: FleetDemandOptions['tryCreateAccountReport'] = () =>
    undefined,
  nodeName = 'front-9',
) {
  const clock = createVirtualClock();
  const sent: Array<{to: string; message: PeerMessage}> = [];
  const demand = createFleetDemand({
    nodeName,
    clock,
    listMeasured: () => [['p1', 1, 0.7]],
    ...(scaling === undefined ? {} : {scaling}),
    tryCreateAccountReport,
    peers: {
      count: () => nodeCount,
      listFirst: count =>
        Array.from(
          {length: Math.min(count, nodeCount)},
          (_, index) => ({name: `front-${index}`}) as NodeRecord,
        ),
      send: (node, message) => sent.push({to: node.name, message}),
    },
  });
  return {clock, demand, sent};
}

test('each node reports to the five planning nodes, less often in a large fleet', async () => {
  for (const [nodes, expected] of [
    [14, 5 * 10],
    [200, 5 * 1],
  ]) {
    const {clock, demand, sent} = createNode(nodes);
    demand.start();
    demand.record('llm', WORK);
    await clock.advance(5_100);
    demand.stop();
    assert.equal(sent.length, expected);
    assert.ok(sent.every(({message}) => message.kind === 'demand'));
  }
});

test('the load sums up the reports of all nodes and drops those of a node that stopped reporting', async () => {
  const {clock, demand} = createNode(2);
  assert.equal(demand.tryGetLoad('llm', ENGINE_LIMITS), undefined);
  const message: DemandMessage = {
    kind: 'demand',
    from: 'front-1',
    services: [
      {
        service: 'llm',
        readMs: 2_000,
        slotMs: 192_000,
        memoryTokenMs: 0,
        moveMs: 0,
        prefillRequests: 1.5,
        decodeRequests: 2.25,
      },
    ],
  };
  demand.handle(message);
  demand.handle({...message, from: 'front-2'});
  demand.handle({...message, from: 'front-2'});
  const load = demand.tryGetLoad('llm', ENGINE_LIMITS);
  assert.equal(load?.prefillEngines, 4);
  assert.equal(load?.decodeEngines, 6);
  assert.deepEqual(load?.requests, {prefillPerS: 3, decodePerS: 4.5});
  assert.equal(demand.tryGetLoad('other', ENGINE_LIMITS), undefined);
  await clock.advance(5_000);
  assert.equal(demand.tryGetLoad('llm', ENGINE_LIMITS), undefined);
});

test('the recent load follows a burst within seconds, with the share of each failure domain, and is not sent without need', async () => {
  const plain = createNode(1);
  plain.demand.start();
  plain.demand.record('llm', WORK);
  await plain.clock.advance(600);
  plain.demand.stop();
  assert.ok(plain.sent.every(({message}) => !('recent' in message)));
  assert.equal(plain.demand.tryGetRecentLoad('llm', ENGINE_LIMITS), undefined);

  const scaling = {failureDomain: 'a', isScaled: () => true};
  const {clock, demand, sent} = createNode(1, scaling);
  demand.start();
  for (let round = 0; round < 100; round++) {
    demand.record('llm', WORK);
    await clock.advance(100);
  }
  const own = demand.tryGetRecentLoad('llm', ENGINE_LIMITS);
  // 100 ms of prefill work every 100 ms, known to 1 - exp(-10/5).
  assert.ok(Math.abs((own?.prefillEngines ?? 0) - 0.865) < 0.03);
  const message = sent.at(-1)?.message as DemandMessage;
  const recent = {...message.recent, failureDomain: 'b'};
  demand.handle({...message, from: 'front-1', recent} as DemandMessage);
  demand.handle({...message, from: 'front-2', recent} as DemandMessage);
  const malformed = {failureDomain: 'c', services: [{service: 'llm'}]};
  demand.handle({
    ...message,
    from: 'front-3',
    recent: malformed,
  } as unknown as DemandMessage);
  const load = demand.tryGetRecentLoad('llm', ENGINE_LIMITS);
  assert.ok(Math.abs((load?.domainShares['b'] ?? 0) - 2 / 3) < 0.01);
  assert.ok((load?.prefillEngines ?? 0) > 2.4);
  await clock.advance(20_000);
  const later = demand.tryGetRecentLoad('llm', ENGINE_LIMITS);
  assert.ok((later?.prefillEngines ?? 0) < 0.05);
  demand.stop();
});

test('the decode load follows from KV memory when memory is scarcer than slots', () => {
  const {demand} = createNode(0);
  const {kvTokens} = ENGINE_LIMITS;
  demand.record('llm', {
    ...NO_STAGE_DEMAND,
    slotMs: 20_000,
    memoryTokenMs: 20_000 * 2 * kvTokens,
  });
  const load = demand.tryGetLoad('llm', ENGINE_LIMITS);
  assert.ok(Math.abs((load?.decodeEngines ?? 0) - 2) < 0.01);
});

test('reports carry the work of the accounts while there is any to report, and are listed until they expire', async () => {
  const report = {accounts: [], rest: [], startedMs: 1, isShort: true};
  let own: typeof report | undefined = report;
  const {clock, demand, sent} = createNode(2, undefined, () => own);
  demand.start();
  demand.record('llm', WORK);
  await clock.advance(600);
  demand.handle({kind: 'demand', from: 'front-1', services: []});
  const other = {...report, startedMs: 2};
  demand.handle({
    kind: 'demand',
    from: 'front-2',
    services: [],
    accounts: other,
  });
  assert.deepEqual(demand.listAccountReports(), [report, other]);
  assert.ok(sent.every(({message}) => 'accounts' in message));
  own = undefined;
  sent.length = 0;
  await clock.advance(2_000);
  demand.stop();
  assert.ok(
    sent.length > 0 && sent.every(item => !('accounts' in item.message)),
  );
  assert.deepEqual(demand.listAccountReports(), []);
});

// Guards against stage plans of a large fleet that know only the engines that the planning node uses itself.
test('in a large fleet, nodes report the engines that they have measured to the planning nodes', async () => {
  for (const [nodes, name, isReported] of [
    [14, 'front-9', false],
    [60, 'front-9', true],
    [60, 'front-2', false],
  ] as const) {
    const {clock, demand, sent} = createNode(nodes, undefined, undefined, name);
    demand.record('llm', WORK);
    demand.start();
    await clock.advance(10);
    assert.equal(sent.length, 5);
    for (const {message} of sent) {
      assert.equal('timeFactors' in message, isReported);
    }
    demand.stop();
  }
});

// Guards against engines that the planning nodes take for unmeasured, and against invalid or outdated reports.
test('reported factors count as measured by the planning node, unless the engine has restarted', async () => {
  const clock = createVirtualClock();
  const state = createFleetState();
  const [known, restarted] = ['p1', 'p2'].map(id =>
    createEntry({id, startedAtMs: 1}),
  );
  for (const entry of [known, restarted]) {
    state.applyChanges([{id: entry.id, entry}], 0);
  }
  const capacities = createServerCapacities({
    clock,
    logger: SILENT_LOGGER,
    getServiceFactor: () => 1,
  });
  for (let step = 0; step < 8; step++) {
    const factors = [['p1', 1, 0.7], ['p2', 9, 0.7], ['p3', 1, 0.7], 5];
    recordReportedFactors({state, capacities}, factors);
    recordReportedFactors({state, capacities}, 'invalid');
    await clock.advance(250);
  }
  assert.ok(capacities.getEstimate(known).isKnown);
  assert.ok(Math.abs(capacities.getRelativeFactor(known, 0) - 0.7) < 0.01);
  assert.equal(capacities.getEstimate(restarted).isKnown, false);
});
