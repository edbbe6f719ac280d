/** Tests that scaling sees the servers, the load and the caches that the gateway knows. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Ok} from 'ts-results';
import {type DutyClient, DutyKind} from '../../src/duties';
import {createFleetState} from '../../src/gateway/fleet_state';
import {createGatewayMetrics} from '../../src/gateway/gateway_metrics';
import type {PeerMessage} from '../../src/gateway/peer_messages';
import {createPrefixDirectory} from '../../src/gateway/prefix_directory';
import {createServerScaling} from '../../src/gateway/server_scaling';
import type {GatewaySettings} from '../../src/gateway/settings';
import type {BackendEntry, NodeRecord} from '../../src/gateway/types';
import {createVirtualClock} from '../../src/runtime';
import type {ServerLoad, ServerOrder} from '../../src/scaling';
import {
  createEntry,
  EMPTY_CONFIG,
  ENGINE_LIMITS,
  SILENT_LOGGER,
} from './support';

const SCALING = {
  minServers: 1,
  maxServers: 28,
  startupMs: 4_000,
  reclaimablePrice: 0.18,
  domainPrices: {a: 1},
};

function createNode(kinds: readonly DutyKind[] = [DutyKind.Scaling]) {
  const clock = createVirtualClock();
  const state = createFleetState();
  const engine = ENGINE_LIMITS;
  const service = {name: 'llm', healthPath: '/', maxConnections: 9, engine};
  state.applyConfig({
    ...EMPTY_CONFIG,
    services: [{...service, scaling: SCALING}],
  });
  const orders: ServerOrder[] = [];
  const messages: PeerMessage[] = [];
  const metrics = createGatewayMetrics();
  const load: {value: ServerLoad | undefined} = {value: undefined};
  const scaling = createServerScaling({
    settings: {
      nodeName: 'n1',
      bounds: {leaseMs: 3_000},
      isFirstStart: true,
      duties: {kinds},
    } as unknown as GatewaySettings,
    dutyClient: {
      sendServerOrder: async (order: ServerOrder) => {
        orders.push(order);
        return Ok(undefined);
      },
    } as unknown as DutyClient,
    authority: {
      tryAcquire: async () => Ok({fencingNumber: 7, isValid: () => true}),
    },
    state,
    demand: {tryGetRecentLoad: () => load.value},
    peers: {
      countLowerNames: () => 0,
      listFirst: () => [{name: 'n2'} as NodeRecord],
      notify: message => messages.push(message),
      send: (_node, message) => messages.push(message),
    },
    metrics,
    clock,
    logger: SILENT_LOGGER,
    isStateCurrent: () => true,
  });
  const addServers = (count: number, options: Partial<BackendEntry>) => {
    for (let index = 0; index < count; index++) {
      const id = `${options.isReclaimable === true ? 's' : 'o'}${index}`;
      const entry = createEntry({id, service: 'llm', ...options});
      state.applyChanges([{id, entry}], clock.getMonotonicMs());
    }
  };
  const prefixes = scaling.observePrefixes(
    createPrefixDirectory(() => 1_000_000),
  );
  return {
    clock,
    scaling,
    addServers,
    orders,
    messages,
    metrics,
    load,
    prefixes,
  };
}

test('nothing is ordered where scaling is not a duty of the deployment', async () => {
  const {clock, scaling, addServers, orders} = createNode([DutyKind.Usage]);
  addServers(8, {});
  scaling.start();
  await clock.advance(10_000);
  assert.deepEqual(orders, []);
  scaling.stop();
});

test('reclaimed servers count as gone at once, and other nodes and operators are told the numbers', async () => {
  const node = createNode();
  const {clock, scaling, addServers, orders} = node;
  addServers(8, {});
  scaling.start();
  await clock.advance(1_500);
  assert.deepEqual(orders, [
    // Half of the servers at the start must remain when the reclaimable ones are lost.
    {service: 'llm', failureDomain: 'a', isReclaimable: true, count: 4},
  ]);
  addServers(4, {isReclaimable: true});
  await clock.advance(1_000);
  assert.deepEqual(orders.at(-1), {
    service: 'llm',
    failureDomain: 'a',
    isReclaimable: false,
    count: 4,
  });
  const text = node.metrics.render();
  assert.match(text, /servers_desired\{[^}]*kind="reclaimable"[^}]*\} 4/);
  assert.match(text, /server_orders_total\{outcome="ordered"\} 2/);
  assert.ok(node.messages.some(({kind}) => kind === 'servers-ordered'));
  addServers(4, {isReclaimable: true, isLeaving: true, leavesInMs: 2_000});
  await clock.advance(500);
  const ordinary = orders.filter(order => !order.isReclaimable).at(-1);
  assert.equal(ordinary?.count, 8);
  scaling.stop();
});

test('as many engines remain as the KV caches of shared prompt parts in use need', async () => {
  const counts: number[] = [];
  for (const shared of [0, 2_000_000]) {
    const {clock, scaling, addServers, orders, load, prefixes} = createNode();
    addServers(16, {});
    load.value = {
      prefillEngines: 0.5,
      decodeEngines: 0.5,
      domainShares: {a: 1},
    };
    scaling.start();
    for (let second = 0; second < 80; second++) {
      prefixes.recordPrefill('o1', [
        {id: 'shared', tokens: shared},
        {id: `own-${second}`, tokens: 3_000_000},
      ]);
      await clock.advance(1_000);
    }
    const last = new Map(orders.map(item => [item.isReclaimable, item.count]));
    counts.push((last.get(true) ?? 0) + (last.get(false) ?? 16));
    scaling.stop();
  }
  // 2 * 2,000,000 tokens in engines of 450,000, and one to decode.
  assert.ok(counts[0] < counts[1], counts.join(' '));
  assert.ok(counts[1] >= 9 + 1, counts.join(' '));
});
