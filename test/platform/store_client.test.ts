/** Answers of the store that are cut short and end with their connection. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createStoreClient} from '../../src/platform';
import {startRawServer} from '../gateway/support';

const LIST = JSON.stringify({
  items: [{key: 'config', value: 'e30=', offset: 3}],
  hasMore: false,
  end: 4,
});

async function listFrom(body: string) {
  const server = await startRawServer(socket => {
    socket.end(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${body}`);
  });
  const {host, port} = server.entry;
  const client = createStoreClient({host, port});
  const result = await client.listNewestRecords('keyed.op');
  client.close();
  server.close();
  return result;
}

test('a list of records without a length is read', async () => {
  const {records, endOffset} = (await listFrom(LIST)).unwrap();
  assert.deepEqual(records, [{key: 'config', value: '{}'}]);
  assert.equal(endOffset, 4);
});

for (const length of [0, 1, 20, LIST.length - 1]) {
  test(`a list of records that is cut short after ${length} bytes is a failure, not an empty list`, async () => {
    const result = await listFrom(LIST.slice(0, length));
    assert.ok(result.err);
    assert.equal(result.val.kind, 'malformed');
  });
}

test('a configuration that takes long on a slow link is read, and a call behind it waits for it', async () => {
  const server = await startRawServer((socket, request) => {
    const isList = request.includes('/log-newest');
    const body = isList ? LIST : '{"offset":7}';
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`);
    if (!isList) return socket.write(body);
    // Eight parts with pauses of less than the time-out, in sum more.
    for (let part = 0; part < 8; part++) {
      const size = Math.ceil(body.length / 8);
      const text = body.slice(part * size, (part + 1) * size);
      setTimeout(() => socket.write(text), 50 * part);
    }
    return;
  });
  const {host, port} = server.entry;
  const client = createStoreClient({host, port, timeoutMs: 150});
  const [list, offset] = await Promise.all([
    client.listNewestRecords('keyed.op'),
    client.append('t', [Buffer.from('a')]),
  ]);
  client.close();
  server.close();
  assert.equal(list.unwrap().endOffset, 4);
  assert.equal(offset.unwrap(), 7);
});

test('a call to a store that falls silent amid an answer fails', async () => {
  const server = await startRawServer(socket => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{"items":');
  });
  const {host, port} = server.entry;
  const client = createStoreClient({host, port, timeoutMs: 100});
  const list = await client.listNewestRecords('keyed.op');
  client.close();
  server.close();
  assert.ok(list.err && list.val.kind === 'unavailable');
});
