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
