/** A store that comes back from an older copy: its newest records are gone, and their offsets are given out again. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createAuthority} from '../../src/duties';
import {createFleetStore, createStoreClient} from '../../src/platform';
import {createSystemClock} from '../../src/runtime/system_clock';
import type {ServerStandin} from './server_standin';
import {startStoreStandin} from './store_standin';
import {buildConfig, loadSnapshot, startSystem, waitUntil} from './system';

const NODES = 4;
const APPLY_BOUND_MS = 2_000;
const LEASE_MS = 300;
/** Ages of the copies, in milliseconds; the first has no records at all. */
const LOSSES_MS = [10_000, 500, 3_000];
const CHANGES_MS = 1_500;
const EXPIRED = /records expired in the store/;

test('after each of three losses new configurations take effect in time, nothing steps back, and servers, quarantine and fencing numbers persist', async () => {
  const system = await startSystem({nodes: NODES});
  const {store, nodes} = system;
  const servers: ServerStandin[] = [];
  for (const id of ['app-1', 'app-2', 'app-3']) {
    servers.push(await system.addServer({id, service: 'app', zone: 'a'}));
  }
  await waitUntil('all nodes know the servers', async () =>
    (await Promise.all(nodes.map(loadSnapshot))).every(
      snapshot => snapshot.entries.length === servers.length,
    ),
  );
  const versions = nodes.map(() => 0);
  const numbers: number[] = [];
  const failures: string[] = [];
  let version = 1;
  let isOver = false;
  const writeConfig = () =>
    store.put('keyed.op', 'config', buildConfig(version));
  const watches = [
    watch(async index => {
      const now = (await loadSnapshot(nodes[index])).config?.version ?? 0;
      if (now < versions[index]) failures.push(`${versions[index]} to ${now}`);
      versions[index] = now;
    }),
    watch(async index => {
      const answer = await system.send({path: '/look/x'}, index);
      if (answer.status !== 200) failures.push(`status ${answer.status}`);
    }),
    ...['holder-1', 'holder-2'].map(name => runHolder(name)),
  ];
  for (const [round, ageMs] of LOSSES_MS.entries()) {
    addQuarantine(`part-${round}`);
    await runChanges();
    store.setFault('refusing');
    await sleep(400);
    const linesBefore = nodes.map(({lines}) => lines.length);
    const quarantineCount = countQuarantineRecords();
    store.loseRecords(ageMs);
    if (ageMs > CHANGES_MS + 1_000) {
      assert.ok(countQuarantineRecords() < quarantineCount);
    }
    store.setFault('none');
    for (const [index, server] of servers.entries()) {
      setTimeout(() => server.publish(), 600 * (index + 1));
    }
    await sleep(300);
    version++;
    writeConfig();
    await waitUntil(
      `version ${version} is in force`,
      () => versions.every(item => item === version),
      APPLY_BOUND_MS,
    );
    await waitUntil(
      'the quarantine is stored',
      () => countQuarantineRecords() === quarantineCount,
    );
    await sleep(2_500);
    for (const [index, {lines}] of nodes.entries()) {
      const reloads = lines
        .slice(linesBefore[index])
        .map(line => String(line['message']))
        .filter(message => EXPIRED.test(message));
      // At most one for each topic that the node follows.
      assert.equal(new Set(reloads).size, reloads.length, reloads.join());
    }
    // Written again once, not by each node.
    assert.equal(countQuarantineRecords(), quarantineCount);
  }
  isOver = true;
  await Promise.all(watches);
  const listed = new Set(
    store
      .listRecords('keyed.nodes')
      .map(record => record.toString().slice(1, 8)),
  );
  await system.close();
  assert.deepEqual(failures, []);
  assert.equal(listed.size, NODES);
  assert.ok(numbers.length > 3);
  for (let index = 1; index < numbers.length; index++) {
    assert.ok(numbers[index] >= numbers[index - 1], numbers.join());
  }
  assert.ok((numbers.at(-1) ?? 0) > 3 * 2 ** 32);

  function addQuarantine(partId: string): void {
    const value = JSON.stringify({version: Date.now(), trialCount: 0});
    store.put('keyed.quarantine', partId, value);
  }

  function countQuarantineRecords(): number {
    return store.listRecords('keyed.quarantine').length;
  }

  /** Changes the configuration and the servers' entries for some time; a reader loads the quarantine meanwhile. */
  async function runChanges(): Promise<void> {
    const endsAt = performance.now() + CHANGES_MS;
    while (performance.now() < endsAt) {
      version++;
      writeConfig();
      servers[version % servers.length].publish('ready');
      await sleep(150);
    }
    await waitUntil('the last version before the loss', () =>
      versions.every(item => item === version),
    );
  }

  async function watch(check: (index: number) => Promise<void>): Promise<void> {
    for (let count = 0; !isOver; count++) {
      await check(count % NODES);
      await sleep(10);
    }
  }

  /** Sends orders, whose fencing numbers must never fall, whenever it has authority. */
  async function runHolder(nodeName: string): Promise<void> {
    const client = createStoreClient({host: '127.0.0.1', port: store.port});
    const authority = createAuthority({
      nodeName,
      store: createFleetStore(client),
      clock: createSystemClock(),
      leaseMs: LEASE_MS,
    });
    while (!isOver) {
      const grant = await authority.tryAcquire();
      if (grant.ok && grant.val.isValid())
        numbers.push(grant.val.fencingNumber);
      await sleep(100);
    }
    client.close();
  }
});

async function startClient() {
  const store = await startStoreStandin();
  const anomalies: string[] = [];
  const client = createStoreClient({
    host: '127.0.0.1',
    port: store.port,
    onEraAnomaly: description => anomalies.push(description),
  });
  const close = () => {
    client.close();
    store.close();
  };
  return {store, client, anomalies, close};
}

test('an offset of an earlier era is neither read from nor appended at', async () => {
  const {store, client, close} = await startClient();
  const record = Buffer.from('a');
  assert.equal((await client.append('t', [record])).unwrap(), 0);
  store.loseRecords(10_000);
  // The answer is the first of the new era.
  const late = await client.append('t', [record], 0, 0);
  assert.ok(late.err && late.val.kind === 'conflict');
  assert.equal(late.val.mayHaveTakenEffect, true);
  assert.equal(client.getEra(), 1);
  const read = await client.read('t', 1, 0, 0);
  assert.ok(read.err && read.val.kind === 'expired');
  const refused = await client.append('t', [record], 1, 0);
  assert.ok(refused.err && !refused.val.mayHaveTakenEffect);
  assert.equal(store.listRecords('t').length, 1);
  close();
});

test('answers of a lower era are failures, and odd eras are reported', async () => {
  const {store, client, anomalies, close} = await startClient();
  const steps: Array<[string, number, boolean]> = [
    ['', 0, true],
    ['x', 0, true],
    ['1', 1, true],
    ['', 1, false],
    ['', 1, false],
    ['1e3', 1, false],
    ['3', 3, true],
    ['2', 3, false],
    ['-4', 3, false],
    ['3', 3, true],
  ];
  for (const [text, era, isOk] of steps) {
    store.setEraText(text);
    const appended = await client.append('t', [Buffer.from('a')]);
    assert.equal(appended.ok, isOk, text);
    assert.equal(client.getEra(), era, text);
    if (appended.err) assert.equal(appended.val.mayHaveTakenEffect, true);
  }
  assert.deepEqual(anomalies, [
    'era is no number',
    'era is missing',
    'era is no number',
    'era rose by more than one',
    'era is lower than a known one',
    'era is no number',
  ]);
  close();
});

test('a node that asked in an earlier era holds no authority, and one that may not know the latest grant waits', async () => {
  const {store, client, close} = await startClient();
  const fleet = createFleetStore(client);
  assert.equal((await fleet.claimAuthority('front-1', 0)).unwrap(), 1);
  store.loseRecords(10_000);
  const lost = (await fleet.readAuthority()).unwrap();
  assert.deepEqual(lost, {endOffset: 0, era: 1, mayLackGrants: true});
  const number = await fleet.claimAuthority('front-2', 0, 1);
  assert.equal(number.unwrap(), 2 ** 32 + 1);
  // A claim of the earlier era that meets the offset of the new one.
  await client.append('authority', [Buffer.from('front-3')], 1);
  const latest = (await fleet.readAuthority()).unwrap();
  assert.equal(latest.holder, 'front-2');
  assert.equal(latest.endOffset, 2);
  close();
});

test('after a loss the holder goes on at once with a higher fencing number, and another node waits for the lease that the store may have lost', async () => {
  const {store, client, close} = await startClient();
  const fleet = createFleetStore(client);
  const [holder, other] = ['front-1', 'front-2'].map(nodeName =>
    createAuthority({
      nodeName,
      store: fleet,
      clock: createSystemClock(),
      leaseMs: LEASE_MS,
    }),
  );
  assert.equal((await holder.tryAcquire()).unwrap().fencingNumber, 1);
  store.loseRecords(10_000);
  const denial = await other.tryAcquire();
  assert.ok(denial.err);
  assert.equal(denial.val.reason, 'held');
  const grant = (await holder.tryAcquire()).unwrap();
  assert.equal(grant.fencingNumber, 2 ** 32 + 1);
  assert.ok((await other.tryAcquire()).err);
  close();
});
