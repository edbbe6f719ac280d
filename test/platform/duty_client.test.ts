/** Tests the client of the platform's interface for duties against a stand-in over real sockets. */
import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {createLimitedDutyClient, type DutyClient} from '../../src/duties';
import {createDutyClient} from '../../src/platform';
import {createVirtualClock} from '../../src/runtime';
import {type DutyFault, startDutyStandin} from './duty_standin';

const CALLER = {holder: 'front-1', fencingNumber: 7, isValid: () => true};
const REPORT = {windowId: 9, counts: {a: 3}};
const ORDER = {
  service: 'llm',
  failureDomain: 'a',
  isReclaimable: true,
  count: 4,
};

async function start(t: TestContext) {
  const platform = await startDutyStandin();
  const client = createDutyClient({
    host: '127.0.0.1',
    port: platform.port,
    timeoutMs: 200,
  });
  t.after(() => {
    client.close();
    platform.close();
  });
  return {platform, client};
}

test("calls carry holder, fencing number and body in the platform's words", async t => {
  const {platform, client} = await start(t);
  assert.ok((await client.sendUsage(REPORT, CALLER)).ok);
  assert.ok((await client.sendServerOrder(ORDER, CALLER)).ok);
  assert.deepEqual(
    platform.calls.map(({path, holder, fencingNumber, body}) => ({
      path,
      holder,
      fencingNumber,
      body,
    })),
    [
      {path: '/usage', holder: 'front-1', fencingNumber: 7, body: REPORT},
      {
        path: '/scale',
        holder: 'front-1',
        fencingNumber: 7,
        body: {service: 'llm', zone: 'a', desired: 4, spot: true},
      },
    ],
  );
});

test('bad answers are told apart by whether the call may have taken effect', async t => {
  const {platform, client} = await start(t);
  const expected: Array<[DutyFault, string, boolean]> = [
    ['empty', 'ok', false],
    ['error', 'unavailable', true],
    ['half-answer', 'unavailable', true],
    ['lost-answer', 'unavailable', true],
    ['silent', 'unavailable', true],
    ['limited', 'limited', false],
    ['none', 'ok', false],
  ];
  for (const [fault, kind, mayHaveTakenEffect] of expected) {
    platform.setFault(fault);
    const answer = await client.sendUsage(REPORT, CALLER);
    assert.equal(answer.ok ? 'ok' : answer.val.kind, kind, fault);
    if (answer.err) {
      assert.equal(answer.val.mayHaveTakenEffect, mayHaveTakenEffect, fault);
    }
  }
});

test('a refusal for a lower number is told from one for want of servers', async t => {
  const {platform, client} = await start(t);
  await client.sendUsage(REPORT, {...CALLER, fencingNumber: 8});
  assert.equal(await getKind(client.sendUsage(REPORT, CALLER)), 'fenced');
  await client.sendServerOrder(ORDER, {...CALLER, fencingNumber: 8});
  assert.equal(await getKind(client.sendServerOrder(ORDER, CALLER)), 'fenced');
  platform.setOrderRefusal('{"error":"none free"}');
  const later = {...CALLER, fencingNumber: 9};
  assert.equal(
    await getKind(client.sendServerOrder(ORDER, later)),
    'none-available',
  );
});

test('a call whose grant ends while it connects is not sent, and a refused connection took no effect', async t => {
  const {platform, client} = await start(t);
  const caller = {...CALLER, isValid: () => false};
  assert.equal(await getKind(client.sendUsage(REPORT, caller)), 'expired');
  assert.equal(platform.calls.length, 0);
  assert.ok((await client.sendUsage(REPORT, CALLER)).ok);
  const closed = createServer().listen(0, '127.0.0.1');
  await new Promise(resolve => closed.once('listening', resolve));
  const {port} = closed.address() as AddressInfo;
  await new Promise(resolve => closed.close(resolve));
  const away = createDutyClient({host: '127.0.0.1', port});
  const answer = await away.sendUsage(REPORT, CALLER);
  assert.ok(answer.err && !answer.val.mayHaveTakenEffect);
  away.close();
});

test('calls above the rate and calls after a 429 are held back', async t => {
  const {platform, client} = await start(t);
  const clock = createVirtualClock();
  const limited = createLimitedDutyClient({client, clock, callsPerS: 2});
  const send = () => getKind(limited.sendUsage(REPORT, CALLER));
  assert.deepEqual(
    [await send(), await send(), await send()],
    ['ok', 'ok', 'limited'],
  );
  assert.equal(platform.countReceived(), 2);
  await clock.advance(1_200);
  platform.setFault('limited');
  assert.equal(await send(), 'limited');
  platform.setFault('none');
  assert.equal(await send(), 'limited');
  assert.equal(platform.countReceived(), 3);
  await clock.advance(1_200);
  assert.equal(await send(), 'ok');
});

async function getKind(
  call: ReturnType<DutyClient['sendUsage']>,
): Promise<string> {
  const answer = await call;
  return answer.ok ? 'ok' : answer.val.kind;
}
