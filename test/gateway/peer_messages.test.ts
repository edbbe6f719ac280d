/** Encoding of messages between nodes: a change of many servers must fit into a datagram, since each node that misses it reads the store. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  encodeMessage,
  type StateMessage,
  tryDecodeMessage,
} from '../../src/gateway/peer_messages';
import {createRecentChanges} from '../../src/gateway/recent_changes';
import {EngineStage} from '../../src/gateway/types';
import {createVirtualClock} from '../../src/runtime';
import {createEntry} from './support';

/** Size that nodes with links of 7 Mbit/s can send to some 40 others twice per second, in bytes. */
const MAX_DATAGRAM_BYTES = 6_000;

function createState(serverCount: number): StateMessage {
  const recent = createRecentChanges(createVirtualClock());
  const ids = Array.from({length: serverCount}, (_, index) =>
    // Ids, addresses and start times of servers differ in most of their digits.
    ((index + 1) * 2_654_435_761).toString(16).slice(0, 10),
  );
  recent.add(
    ids.map((id, index) => ({
      id: `i-${id}`,
      entry: createEntry({
        id: `i-${id}`,
        host: `10.${1 + (index % 3)}.64.${index}`,
        port: 8_080,
        stage: EngineStage.Decode,
        startedAtMs: 1_788_000_000_000 + index * 7_919,
      }),
    })),
  );
  return {
    kind: 'state',
    from: 'front-1',
    configVersion: 1,
    configOffset: 1,
    entryOffset: 1,
    digest: 'digest',
    changes: recent.list(),
    ageMs: 1,
    graceMs: 0,
  };
}

test('changes of 84 servers at once reach the other nodes in one small datagram', () => {
  const message = createState(84);
  assert.equal(message.changes.length, 84);
  const datagram = encodeMessage(message);
  assert.ok(datagram.length <= MAX_DATAGRAM_BYTES, `${datagram.length}`);
  assert.deepEqual(tryDecodeMessage(datagram), message);
});

test('datagrams that are no messages, or too large ones, are not decoded', () => {
  const datagram = encodeMessage(createState(84));
  assert.equal(tryDecodeMessage(datagram.subarray(0, 100)), undefined);
  assert.equal(tryDecodeMessage(Buffer.alloc(0)), undefined);
  assert.equal(tryDecodeMessage(Buffer.from('x')), undefined);
  const large = {...createState(1), digest: 'x'.repeat(300_000)};
  assert.equal(tryDecodeMessage(encodeMessage(large)), undefined);
});
