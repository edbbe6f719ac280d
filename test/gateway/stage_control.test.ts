import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Ok} from 'ts-results';
import type {BackendCall} from '../../src/gateway/backend_call';
import type {Connections} from '../../src/gateway/connections';
import {createFleetState} from '../../src/gateway/fleet_state';
import {createServerPauses} from '../../src/gateway/server_pauses';
import {createStageControl} from '../../src/gateway/stage_control';
import {
  type BackendProtocol,
  EngineStage,
  type GatewayConfig,
  type StageOrder,
} from '../../src/gateway/types';
import type {StageLoad} from '../../src/planning/stage_split';
import {createVirtualClock} from '../../src/runtime';
import {
  createEntry,
  EMPTY_CONFIG,
  ENGINE_LIMITS,
  SILENT_LOGGER,
} from './support';

const CONFIG: GatewayConfig = {
  ...EMPTY_CONFIG,
  services: [
    {
      name: 'llm',
      healthPath: '/',
      maxConnections: 10,
      engine: ENGINE_LIMITS,
    },
  ],
};

/** Creates a stage control whose engines respond to each call immediately. */
function createControl(
  nodesBefore = 0,
  config = CONFIG,
  timeFactors: Readonly<Record<string, number>> = {},
  load?: StageLoad,
) {
  const clock = createVirtualClock();
  const state = createFleetState();
  const orders: Array<{serverId: string; atMs: number}> = [];
  state.applyConfig(config);
  const connections = {
    call: ({handler}: BackendCall) => {
      handler.onAnswer(200, [], {isFirst: true, isFramed: true});
      handler.onEnd();
      return {cancel: () => undefined};
    },
  } as unknown as Connections;
  const protocol = {
    buildReportCall: () => ({method: 'GET', path: '/', headers: []}),
    parseReport: () => ({isBusy: false, acceptedOrders: 0, startedAtMs: 0}),
    buildStageOrderCall: (order: StageOrder) => {
      orders.push({serverId: order.serverId, atMs: clock.getMonotonicMs()});
      return {method: 'POST', path: '/', headers: []};
    },
  } as unknown as BackendProtocol;
  const control = createStageControl({
    nodeName: 'n1',
    pauses: createServerPauses(clock),
    limits: {canSend: () => true, tryGetLimitPerS: () => undefined},
    tryGetLoad: () => load,
    tryGetTimeFactor: ({id}) => timeFactors[id],
    state,
    authority: {
      tryAcquire: async () => Ok({fencingNumber: 1, isValid: () => true}),
    },
    connections,
    protocol,
    clock,
    logger: SILENT_LOGGER,
    countNodesBefore: () => nodesBefore,
    isStateCurrent: () => true,
    onOrder: () => undefined,
  });
  const addEngine = (id: string, stage: EngineStage) => {
    const {maxRunning} = ENGINE_LIMITS;
    const entry = createEntry({id, service: 'llm', stage, maxRunning});
    state.applyChanges([{id, entry}], clock.getMonotonicMs());
  };
  return {clock, control, addEngine, orders};
}

function addFleet(addEngine: (id: string, stage: EngineStage) => void): void {
  for (let index = 0; index < 9; index++) {
    addEngine(`p${index}`, EngineStage.Prefill);
  }
  for (const id of ['d0', 'd1', 'd2']) addEngine(id, EngineStage.Decode);
}

test('engines that appear one after another are changed without waiting for the last one', async () => {
  const {clock, control, addEngine, orders} = createControl();
  addFleet(addEngine);
  control.start();
  await clock.advance(12_000);
  assert.deepEqual(orders, []);
  for (let index = 0; index < 6; index++) {
    addEngine(`x${index}`, EngineStage.Decode);
    await clock.advance(1_000);
  }
  assert.ok(orders.length >= 2, `${orders.length} orders in 6 s`);
  control.stop();
});

test('a surplus that ends before the settling time causes no order', async () => {
  const {clock, control, addEngine, orders} = createControl();
  addFleet(addEngine);
  control.start();
  await clock.advance(12_000);
  addEngine('x', EngineStage.Decode);
  await clock.advance(1_500);
  addEngine('x', EngineStage.Prefill);
  await clock.advance(5_000);
  assert.deepEqual(orders, []);
  control.stop();
});

test('a node sends orders later than the nodes whose names sort before its own', async () => {
  const early = createControl(0);
  const late = createControl(3);
  for (const {addEngine, control} of [early, late]) {
    addFleet(addEngine);
    addEngine('x', EngineStage.Decode);
    addEngine('y', EngineStage.Decode);
    control.start();
  }
  await early.clock.advance(8_000);
  await late.clock.advance(8_000);
  assert.ok(early.orders[0].atMs + 2_000 <= late.orders[0].atMs);
  early.control.stop();
  late.control.stop();
});

// A service of 100 engines or more keeps its stages while no load is known; one whose servers are ordered by the load needs its new engines, which all decode, for prefill.
for (const {name, engineCount, isScaled, expected} of [
  {name: 'few engines', engineCount: 14, isScaled: false, expected: 3},
  {
    name: 'few engines, ordered by the load',
    engineCount: 14,
    isScaled: true,
    expected: 3,
  },
  {name: 'many engines', engineCount: 100, isScaled: false, expected: 0},
  {
    name: 'many engines, ordered by the load',
    engineCount: 100,
    isScaled: true,
    expected: 25,
  },
]) {
  test(`stages while no load is known: ${name}`, async () => {
    const scaling = {
      minServers: 1,
      maxServers: 128,
      startupMs: 4_000,
      domainPrices: {},
    };
    const services = CONFIG.services.map(item =>
      isScaled ? {...item, scaling} : item,
    );
    const config = {...CONFIG, services};
    const {clock, control, addEngine, orders} = createControl(0, config);
    for (let index = 0; index < engineCount / 2; index++) {
      addEngine(`p${index}`, EngineStage.Prefill);
      addEngine(`d${index}`, EngineStage.Decode);
    }
    control.start();
    await clock.advance(4_000);
    assert.equal(new Set(orders.map(item => item.serverId)).size, expected);
    // Engines that come in a burst cause no order where stages are kept.
    for (let index = 0; index < 14; index++) {
      addEngine(`x${index}`, EngineStage.Prefill);
    }
    await clock.advance(10_000);
    if (expected === 0) assert.deepEqual(orders, []);
    control.stop();
  });
}

test('fast decode engines are exchanged against slow prefill engines one at a time, also when the factors vary', async () => {
  const timeFactors: Record<string, number> = {};
  const load = {prefillEngines: 6, decodeEngines: 1};
  const {clock, control, addEngine, orders} = createControl(
    0,
    CONFIG,
    timeFactors,
    load,
  );
  addFleet(addEngine);
  control.start();
  await clock.advance(12_000);
  assert.equal(orders.length, 0);
  const startMs = clock.getMonotonicMs();
  while (clock.getMonotonicMs() < startMs + 24_000) {
    const noise = 1 + 0.04 * Math.sin(clock.getMonotonicMs());
    for (let index = 0; index < 9; index++)
      timeFactors[`p${index}`] = 1.4 * noise;
    for (const id of ['d0', 'd1', 'd2']) timeFactors[id] = 0.6 / noise;
    await clock.advance(250);
    for (const {serverId, atMs} of orders) {
      if (clock.getMonotonicMs() - atMs < 3_000) continue;
      const isFast = serverId.startsWith('d');
      addEngine(serverId, isFast ? EngineStage.Prefill : EngineStage.Decode);
    }
  }
  assert.equal(orders.length, 6);
  const times = [...new Set(orders.map(({atMs}) => atMs))];
  assert.ok(times.length === 3 && times[1] - times[0] >= 7_000);
  control.stop();
});
