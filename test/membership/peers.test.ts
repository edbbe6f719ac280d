/** The peers listener: accepts signed calls and refuses all others. */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {createEventRing} from '../../src/diagnostics';
import {
  createMembership,
  createPeerApp,
  createPeerClient,
  type Exchange,
  type Membership,
  type PeerClient,
} from '../../src/membership';
import {
  createSignature,
  PEER_SIGNATURE_HEADER,
  PEER_TIME_HEADER,
} from '../../src/membership/peer_auth';
import {
  createSystemClock,
  type Listener,
  openListener,
} from '../../src/runtime';

const SECRET = 'secret of all nodes';
const STALE_MS = 120_000;
const clock = createSystemClock();
const events = createEventRing({clock, node: 'node-a'});
const exchange: Exchange = {
  digest: {
    node: 'node-b',
    address: 'http://127.0.0.1:1',
    incarnation: 7,
    process: 'node-b.1',
    sequence: 1,
    state: 'live',
    offsets: {},
    inFlight: {},
    openRequests: 0,
    processCores: 0,
  },
  rumours: [{kind: 'server-leaving', server: 'engine-1', version: 1}],
};
let membership: Membership;
let listener: Listener;
let client: PeerClient;

before(async () => {
  client = createPeerClient({clock, secret: SECRET, timeoutMs: 5_000});
  membership = createMembership({
    node: 'node-a',
    address: '',
    process: 'node-a.1',
    incarnation: 1,
    host: {
      clock,
      getRandom: () => 0.5,
      sendExchange: client.sendExchange,
      sendIndirectProbe: client.sendIndirectProbe,
      getLocalLoad: () => ({
        offsets: {},
        inFlight: {},
        openRequests: 0,
        processCores: 0,
      }),
    },
  });
  const snapshot = {stream: 'config', nextOffset: 5, writers: [], state: 'x'};
  listener = await openListener({
    app: createPeerApp({
      clock,
      secret: SECRET,
      services: {
        handleExchange: membership.handleExchange,
        handleIndirectProbe: membership.handleIndirectProbe,
        tryExportSnapshot: stream =>
          stream === 'config' ? snapshot : undefined,
        listEvents: events.list,
        getAccountWindow: () => ({
          requests: 3,
          inDeadline: 2,
          failed: 1,
          openAtOrigin: 0,
        }),
      },
    }),
  });
});

after(async () => {
  await client.close();
  await listener.destroy();
});

test('a signed exchange is applied and answered', async () => {
  const answer = await client.sendExchange(listener.address, exchange);
  assert.equal(answer?.digest.node, 'node-a');
  assert.ok(membership.isServerLeaving('engine-1'));
  assert.equal(membership.tryGetMember('node-b')?.incarnation, 7);
});

test('a client reads snapshots and events from a peer', async () => {
  events.emit({kind: 'one', requestId: 'r1', cause: ''});
  events.emit({kind: 'two', requestId: 'r2', cause: ''});
  const snapshot = await client.readSnapshot(listener.address, 'config');
  assert.equal(snapshot?.nextOffset, 5);
  assert.equal(await client.readSnapshot(listener.address, 'no'), undefined);
  const found = await client.readEvents(listener.address, {requestId: 'r2'});
  assert.deepEqual(
    found?.map(event => event.kind),
    ['two'],
  );
});

test('calls signed with another secret fail', async () => {
  const otherClient = createPeerClient({
    clock,
    secret: 'wrong',
    timeoutMs: 5_000,
  });
  assert.equal(
    await otherClient.sendExchange(listener.address, exchange),
    undefined,
  );
  assert.equal(
    await otherClient.readSnapshot(listener.address, 'config'),
    undefined,
  );
  await otherClient.close();
});

test('unsigned, stale, altered and oversized requests are refused', async () => {
  const body = JSON.stringify(exchange);
  const nowMs = Date.now();
  assert.equal(await send(body, {}), 401);
  assert.equal(await send(body, createSignedHeaders(body, nowMs)), 200);
  assert.equal(
    await send(body, createSignedHeaders(body, nowMs - STALE_MS)),
    401,
  );
  assert.equal(await send(`${body} `, createSignedHeaders(body, nowMs)), 401);
  assert.equal(await send(body, {...createSignedHeaders(body, NaN)}), 401);
  assert.equal(
    await send(body, {
      ...createSignedHeaders(body, nowMs),
      [PEER_SIGNATURE_HEADER]: 'zz',
    }),
    401,
  );
  const large = 'x'.repeat(70_000);
  assert.equal(await send(large, createSignedHeaders(large, nowMs)), 413);
});

test('a signed request with an invalid body is refused', async () => {
  const body = JSON.stringify({digest: {node: ''}, rumours: []});
  assert.equal(await send(body, createSignedHeaders(body, Date.now())), 400);
});

function createSignedHeaders(
  body: string,
  sentAtMs: number,
): Record<string, string> {
  const target = '/peers/exchange';
  return {
    [PEER_TIME_HEADER]: String(sentAtMs),
    [PEER_SIGNATURE_HEADER]: createSignature(SECRET, {
      method: 'POST',
      target,
      body,
      sentAtMs,
    }),
  };
}

async function send(
  body: string,
  headers: Record<string, string>,
): Promise<number> {
  const answer = await fetch(`${listener.address}/peers/exchange`, {
    method: 'POST',
    body,
    headers: {'content-type': 'application/json', ...headers},
  });
  await answer.arrayBuffer();
  return answer.status;
}
