/** Tests the task that carries out the plan: several nodes, one platform, faults of both. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Err, Ok} from 'ts-results';
import {createAuthority, type DutyFailure} from '../../src/duties';
import type {FleetStore} from '../../src/gateway/types';
import {createVirtualClock} from '../../src/runtime';
import {createScaling, type Scaling} from '../../src/scaling';
import {type OrderOutcome, sendOrders} from '../../src/scaling/send_orders';
import type {OrderedServers, ServerOrder} from '../../src/scaling/types';
import {SILENT_LOGGER} from '../gateway/support';
import {createPlatform, LIMITS} from './support';

const LEASE_MS = 3_000;
const SERVICE = {name: 'llm', limits: LIMITS, hasStages: true};

interface Call {
  readonly order: ServerOrder;
  readonly holder: string;
  readonly fencingNumber: number;
  readonly atMs: number;
}

const CARRY_OUT: (call: Call) => DutyFailure | undefined = () => undefined;

/** Creates nodes that share a store, a platform and a network without losses. */
function createFleet(nodeCount: number) {
  const clock = createVirtualClock();
  const platform = createPlatform(14);
  const calls: Call[] = [];
  const holders: string[] = [];
  const store = {
    getEra: () => 0,
    readAuthority: async () => {
      const holder = holders.at(-1);
      const endOffset = holders.length;
      return Ok({endOffset, ...(holder === undefined ? {} : {holder})});
    },
    claimAuthority: async (holder: string, expected: number) => {
      if (expected !== holders.length) {
        return Err({kind: 'conflict', message: 'conflict'});
      }
      return Ok(holders.push(holder));
    },
  } as unknown as FleetStore;
  const nodes = new Map<string, Scaling>();
  const fleet = {
    clock,
    platform,
    calls,
    nodes,
    holders,
    /** Returns the failure of a call; undefined carries it out. */
    getFailure: CARRY_OUT,
    addNode,
    stopNode,
  };
  for (let index = 1; index <= nodeCount; index++) addNode(`n${index}`);
  return fleet;

  function addNode(name: string): void {
    const getNowMs = () => clock.getMonotonicMs();
    const scaling = createScaling({
      nodeName: name,
      clock,
      logger: SILENT_LOGGER,
      authority: createAuthority({
        nodeName: name,
        store,
        clock,
        leaseMs: LEASE_MS,
      }),
      sendOrder: async (order, caller) => {
        const call = {order, ...caller, atMs: getNowMs()};
        if (!nodes.has(name)) return new Promise(() => undefined);
        calls.push(call);
        const failure = fleet.getFailure(call);
        if (failure === undefined) platform.apply(order, getNowMs());
        return failure === undefined ? Ok(undefined) : Err(failure);
      },
      leaseMs: LEASE_MS,
      isFirstStart: getNowMs() === 0,
      listServices: () => [SERVICE],
      listServers: () => platform.list(getNowMs()),
      tryGetLoad: () => undefined,
      countCacheEngines: () => 0,
      getStateKey: () => '1',
      isStateCurrent: () => true,
      countNodesBefore: () =>
        [...nodes.keys()].filter(item => item < name).length,
      notify: message => sendToOthers(name, message),
      onOutcome: () => undefined,
    });
    nodes.set(name, scaling);
    scaling.start();
  }

  function sendToOthers(from: string, message: OrderedServers): void {
    if (!nodes.has(from)) return;
    for (const [name, node] of nodes) if (name !== from) node.handle(message);
  }

  function stopNode(name: string): void {
    nodes.get(name)?.stop();
    nodes.delete(name);
  }
}

function stopAll({nodes}: ReturnType<typeof createFleet>): void {
  for (const node of nodes.values()) node.stop();
}

/** Checks the platform's rules about holders and fencing numbers. */
function checkRules(calls: readonly Call[]): void {
  calls.slice(1).forEach((call, index) => {
    const before = calls[index];
    assert.ok(call.fencingNumber >= before.fencingNumber);
    if (call.fencingNumber === before.fencingNumber) {
      assert.equal(call.holder, before.holder);
    }
    if (call.holder !== before.holder) {
      assert.ok(call.atMs - before.atMs >= LEASE_MS);
    }
  });
}

const FAILURES = {
  lost: {kind: 'unavailable', mayHaveTakenEffect: true, message: 'no answer'},
  limited: {kind: 'limited', mayHaveTakenEffect: false, message: '429'},
  fenced: {kind: 'fenced', mayHaveTakenEffect: false, message: '409'},
  scarce: {kind: 'none-available', mayHaveTakenEffect: false, message: '409'},
} as const;

test('after the first start one node replaces all servers within some seconds, under one grant for each round', async () => {
  const fleet = createFleet(4);
  await fleet.clock.advance(8_000);
  assert.deepEqual([...new Set(fleet.holders)], ['n1']);
  assert.equal(fleet.holders.length, 2);
  assert.equal(fleet.platform.count(8_000, true), 42);
  assert.equal(fleet.platform.count(8_000, false), 0);
  stopAll(fleet);
});

test('when the holder dies between two orders, another node finishes with a higher number after the lease', async () => {
  const fleet = createFleet(3);
  fleet.getFailure = call => {
    if (call.holder === 'n1' && fleet.calls.length === 2) {
      fleet.stopNode('n1');
    }
    return undefined;
  };
  await fleet.clock.advance(30_000);
  assert.equal(fleet.platform.count(30_000, true), 42);
  assert.equal(fleet.platform.count(30_000, false), 0);
  assert.deepEqual([...new Set(fleet.holders)], ['n1', 'n2']);
  checkRules(fleet.calls);
  stopAll(fleet);
});

test('a node that starts again takes over the numbers that the others know, not the listed ones', async () => {
  const fleet = createFleet(2);
  await fleet.clock.advance(3_000);
  fleet.stopNode('n1');
  await fleet.clock.advance(1_000);
  fleet.addNode('n1');
  await fleet.clock.advance(30_000);
  assert.equal(fleet.platform.count(34_000, true), 42);
  assert.equal(fleet.platform.count(34_000, false), 0);
  checkRules(fleet.calls);
  stopAll(fleet);
});

test('no order is sent under a grant that has expired', async () => {
  const order = {service: 'llm', isReclaimable: true, count: 1};
  const orders = ['a', 'a', 'b'].map(failureDomain => ({
    ...order,
    failureDomain,
  }));
  const sent: string[] = [];
  const outcomes: OrderOutcome[] = [];
  let isValid = true;
  await sendOrders(orders, {
    holder: 'n1',
    grant: {fencingNumber: 1, isValid: () => isValid},
    send: async ({failureDomain}) => {
      sent.push(failureDomain);
      await Promise.resolve();
      isValid = false;
      return Ok(undefined);
    },
    onOutcome: (_order, outcome) => outcomes.push(outcome),
  });
  assert.deepEqual(sent, ['a', 'b']);
  assert.deepEqual(outcomes.sort(), ['lapsed', 'ordered', 'ordered']);
});

test('orders whose answers are lost, carried out or not, are completed in the end', async () => {
  for (const isCarriedOut of [true, false]) {
    const fleet = createFleet(2);
    fleet.getFailure = ({order, atMs}) => {
      if (atMs > 6_000) return undefined;
      if (isCarriedOut) fleet.platform.apply(order, atMs);
      return FAILURES.lost;
    };
    await fleet.clock.advance(60_000);
    assert.equal(fleet.platform.count(60_000, true), 42);
    assert.equal(fleet.platform.count(60_000, false), 0);
    checkRules(fleet.calls);
    stopAll(fleet);
  }
});

test('when calls of the first node fail for two seconds, another node acts', async () => {
  const fleet = createFleet(2);
  fleet.getFailure = ({holder}) =>
    holder === 'n1' ? FAILURES.lost : undefined;
  await fleet.clock.advance(30_000);
  assert.ok(fleet.holders.includes('n2'));
  assert.equal(fleet.platform.count(30_000, true), 42);
  checkRules(fleet.calls);
  stopAll(fleet);
});

test('a call that exceeds the rate, or that is fenced, is sent again later with a number that is not lower', async () => {
  for (const failure of [FAILURES.limited, FAILURES.fenced]) {
    const fleet = createFleet(2);
    fleet.getFailure = ({atMs}) => (atMs < 3_000 ? failure : undefined);
    await fleet.clock.advance(30_000);
    const early = fleet.calls.filter(({atMs}) => atMs < 3_000);
    assert.ok(early.length <= 33, `${early.length} calls in 3 s`);
    assert.equal(fleet.platform.count(30_000, true), 42);
    const fenced = new Set(early.map(({fencingNumber}) => fencingNumber));
    if (failure === FAILURES.fenced) {
      for (const {fencingNumber, atMs} of fleet.calls) {
        assert.ok(!fenced.has(fencingNumber) || atMs < 3_000 + LEASE_MS);
      }
    }
    checkRules(fleet.calls);
    stopAll(fleet);
  }
});

test('where no reclaimable servers are to be had, none are released and the order is not repeated for 10 s', async () => {
  const fleet = createFleet(1);
  fleet.getFailure = ({order}) =>
    order.isReclaimable && order.count > 0 ? FAILURES.scarce : undefined;
  await fleet.clock.advance(9_000);
  assert.equal(fleet.platform.count(9_000), 42);
  assert.ok(fleet.calls.length <= 6, `${fleet.calls.length} calls`);
  stopAll(fleet);
});

test('malformed messages about ordered servers change nothing', async () => {
  const fleet = createFleet(2);
  await fleet.clock.advance(8_000);
  const before = fleet.calls.length;
  const node = fleet.nodes.get('n1');
  for (const domains of [undefined, [{}], [{failureDomain: 'a', wanted: -1}]]) {
    const message = {from: 'x', service: 'llm', fencingNumber: 99, domains};
    node?.handle(message as unknown as OrderedServers);
  }
  await fleet.clock.advance(8_000);
  assert.equal(fleet.calls.length, before);
  stopAll(fleet);
});
