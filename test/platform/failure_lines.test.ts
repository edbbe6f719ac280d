/** Log lines that tell why a request failed: the connection, the age and the id of the answer on which a failure is based, and what the listener answers by itself. */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ServerStandin} from './server_standin';
import {
  isNodeReady,
  loadSnapshot,
  startSystem,
  type TestSystem,
  waitUntil,
} from './system';

let system: TestSystem;
let app: ServerStandin;
let engines: ServerStandin[];

before(async () => {
  system = await startSystem({});
  app = await system.addServer({
    id: 'app-1',
    service: 'app',
    zone: 'a',
    workMs: 150,
  });
  const addEngine = (id: string, stage: 'prefill' | 'decode') =>
    system.addServer({id, service: 'llm', zone: 'a', stage});
  engines = [
    await addEngine('reader-1', 'prefill'),
    await addEngine('writer-1', 'decode'),
  ];
  await waitUntil('the node knows all servers', async () => {
    const {entries} = await loadSnapshot(system.nodes[0]);
    return entries.length === 3 && isNodeReady(system.nodes[0]);
  });
});
after(() => system.close());

/** Returns the first log line with the message about a request. */
function findLine(
  message: string,
  id: string,
): Record<string, unknown> | undefined {
  return system.nodes[0].lines.find(
    line => line['message'] === message && JSON.stringify(line).includes(id),
  );
}

test('the line about a refusal names its connection, the answers before it, its delay and whether it has an id', async () => {
  await system.send({path: '/order/x'});
  app.setFault('full');
  await system.send({path: '/order/x', id: 'refused-order'});
  app.setFault('none');
  // Both connections have carried an answer then, the one that is kept as well.
  await Promise.all([
    system.send({path: '/order/x'}),
    system.send({path: '/order/x'}),
  ]);
  app.setFault('refuse-again');
  await system.send({path: '/order/x', id: 'refused-again'});
  app.setFault('none');
  const refused = findLine('server failed the request', 'refused-order');
  assert.equal(typeof refused?.['connection'], 'number');
  assert.equal(typeof refused?.['answerAfterMs'], 'number');
  assert.equal(typeof refused?.['sinceSentMs'], 'number');
  assert.equal(refused?.['answersBefore'], 1);
  assert.equal(refused?.['hasRequestId'], true);
  const unnamed = findLine('server failed the request', 'refused-again');
  assert.equal(unnamed?.['hasRequestId'], false);
  assert.ok(Number(unnamed?.['answersBefore']) >= 1);
});

for (const [index, message] of [
  'prefill engine failed',
  'decode engine failed',
].entries()) {
  test(`the line names the connection and the delay of a refusal: ${message}`, async () => {
    const id = `refused-prompt-${index}`;
    engines[index].setFault('full');
    await system.send({
      path: '/ask/x',
      id,
      tokens: '900,9',
      parts: 'aa:600,bb:300',
    });
    engines[index].setFault('none');
    const line = findLine(message, id);
    assert.equal(typeof line?.['connection'], 'number');
    assert.equal(typeof line?.['answersBefore'], 'number');
    assert.equal(typeof line?.['answerAfterMs'], 'number');
    assert.equal(typeof line?.['sinceSentMs'], 'number');
    assert.equal(line?.['hasRequestId'], true);
  });
}

test('a connection that ends because of its bytes has a line with the ids of its open requests', async () => {
  const socket = connect(system.nodes[0].callersPort, '127.0.0.1');
  socket.on('error', () => undefined);
  const closed = new Promise(resolve => socket.on('close', resolve));
  socket.resume();
  socket.write(
    'POST /order/x HTTP/1.1\r\nHost: desk.example\r\nAnvilstack-Request-Id: beside-bytes\r\nContent-Length: 0\r\n\r\n',
  );
  await sleep(50);
  socket.write('no head of a request\r\n\r\n');
  await closed;
  const line = findLine('listener ended a connection', 'beside-bytes');
  assert.match(String(line?.['code']), /^HPE_/);
  assert.deepEqual(line?.['requestIds'], ['beside-bytes']);
  assert.equal(line?.['openRequests'], 1);
  assert.ok(Number(line?.['bytes']) > 0);
});

test('a request that is refused while it is received has a line with its status', async () => {
  await system.send({
    path: '/order/x',
    id: 'long-body',
    body: 'x'.repeat(200_000),
  });
  const line = findLine('refused: request was not received', 'long-body');
  assert.equal(line?.['status'], 413);
});
