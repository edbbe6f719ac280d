/** Tests usage reports over real sockets: gateways, and duties with real datagrams, before stand-ins of the store and the platform. */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
  createAuthority,
  createUsageDuty,
  type UsageDuty,
} from '../../src/duties';
import {createPeers} from '../../src/gateway/peers';
import type {NodeRecord} from '../../src/gateway';
import {
  createDutyClient,
  createFleetStore,
  createStoreClient,
  createUsageStore,
} from '../../src/platform';
import {createSystemClock} from '../../src/runtime';
import {SILENT_LOGGER} from '../gateway/support';
import {listFreePorts} from '../support/program';
import {type DutyStandin, startDutyStandin} from './duty_standin';
import {startStoreStandin, type StoreStandin} from './store_standin';
import {startSystem, waitUntil} from './system';

const WINDOW_MS = 1_000;
/** Lease of the nodes, in milliseconds. */
const LEASE_MS = 300;

/** Checks that windows follow one another, each with one text, and that fencing numbers and holders keep to the rules. */
function checkCalls({calls}: DutyStandin): void {
  const texts = new Map<unknown, string>();
  for (const [index, call] of calls.entries()) {
    const text = JSON.stringify(call.body);
    assert.equal(texts.get(call.body['windowId']) ?? text, text);
    texts.set(call.body['windowId'], text);
    const before = calls[index - 1];
    if (before === undefined) continue;
    assert.ok(call.fencingNumber >= before.fencingNumber);
    if (call.holder === before.holder) continue;
    assert.ok(call.fencingNumber > before.fencingNumber);
    assert.ok(call.atMs - before.atMs >= LEASE_MS);
  }
  const ids = [...texts.keys()].map(Number).sort((a, b) => a - b);
  assert.equal(ids.at(-1), ids[0] + ids.length - 1, 'no window is left out');
}

function countWindows({calls}: DutyStandin): number {
  return new Set(calls.map(call => call.body['windowId'])).size;
}

test('gateways report each window once, also after the holder is lost', async t => {
  const platform = await startDutyStandin();
  const system = await startSystem({nodes: 3, dutyPort: platform.port});
  t.after(async () => {
    await system.close();
    platform.close();
  });
  await waitUntil('three windows', () => countWindows(platform) >= 3);
  const first = platform.calls[0].holder;
  system.nodes[Number(first.slice(-1)) - 1].gateway.kill();
  const isReplaced = () => platform.calls.some(call => call.holder !== first);
  await waitUntil('another holder', isReplaced, 15_000);
  checkCalls(platform);
  const survivor = first === 'front-2' ? 0 : 1;
  const url = `http://127.0.0.1:${system.nodes[survivor].controlPort}/metrics`;
  const metrics = await fetch(url).then(response => response.text());
  assert.match(metrics, /anvilstack_gateway_open_usage_windows \d/);
});

interface DutyNode {
  readonly duty: UsageDuty;
  close(): void;
}

/** Starts the duty of a node with real sockets. */
async function startNode(
  record: NodeRecord,
  records: readonly NodeRecord[],
  store: StoreStandin,
  platform: DutyStandin,
): Promise<DutyNode> {
  const clock = createSystemClock();
  const storeClient = createStoreClient({host: '127.0.0.1', port: store.port});
  const client = createDutyClient({host: '127.0.0.1', port: platform.port});
  const peers = createPeers({
    self: record,
    logger: SILENT_LOGGER,
    clock,
    getRandom: Math.random,
    onMessage: message =>
      duty.handle(message as Parameters<UsageDuty['handle']>[0]),
  });
  const duty = createUsageDuty({
    nodeName: record.name,
    clock,
    logger: SILENT_LOGGER,
    authority: createAuthority({
      nodeName: record.name,
      store: createFleetStore(storeClient),
      clock,
      leaseMs: LEASE_MS,
    }),
    client,
    store: createUsageStore(storeClient),
    windowMs: WINDOW_MS,
    dueMs: 8_000,
    listNames: () => peers.list().map(node => node.name),
    send: (name, message) =>
      peers.send(peers.tryFind(name) as NodeRecord, message),
    notify: peers.notify,
    getRandom: Math.random,
  });
  await peers.open();
  for (const other of records) if (other !== record) peers.add(other);
  duty.start();
  const close = () => {
    duty.stop();
    peers.close();
    storeClient.close();
    client.close();
  };
  return {duty, close};
}

async function startNodes(t: TestContext, count: number) {
  const store = await startStoreStandin();
  const platform = await startDutyStandin();
  const records = (await listFreePorts(count)).map((peerPort, index) => ({
    name: `front-${index}`,
    host: '127.0.0.1',
    peerPort,
    controlPort: 1,
    failureDomain: 'abc'[index % 3],
  }));
  const nodes: DutyNode[] = [];
  for (const record of records) {
    nodes.push(await startNode(record, records, store, platform));
  }
  t.after(() => {
    for (const node of nodes) node.close();
    platform.close();
    store.close();
  });
  return {store, platform, nodes};
}

test('the counts of all nodes arrive while the platform answers badly', async t => {
  const {platform, nodes} = await startNodes(t, 4);
  const faults = [
    'lost-answer',
    'half-answer',
    'empty',
    'error',
    'limited',
  ] as const;
  let sent = 0;
  const timer = setInterval(() => {
    sent++;
    nodes[sent % 4].duty.recordStart(`account-${sent % 7}`);
  }, 5);
  await waitUntil('a first window', () => countWindows(platform) >= 1);
  for (const fault of faults) {
    const before = platform.countReceived();
    platform.setFault(fault);
    await waitUntil(fault, () => platform.countReceived() > before);
    platform.setFault('none');
    const windows = countWindows(platform);
    await waitUntil(
      'a window after it',
      () => countWindows(platform) > windows,
    );
  }
  clearInterval(timer);
  const isAllReported = () => countReported(platform) >= sent * 0.95;
  await waitUntil('all counts', isAllReported);
  checkCalls(platform);
  assert.ok(countReported(platform) <= sent);
});

/** Sums up the counts of all windows, each once. */
function countReported({calls}: DutyStandin): number {
  const windows = new Map(
    calls.map(({body}) => [body['windowId'], body['counts'] as object]),
  );
  let sum = 0;
  for (const counts of windows.values()) {
    for (const count of Object.values(counts)) sum += Number(count);
  }
  return sum;
}
