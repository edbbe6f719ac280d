import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {FlowContext} from '../../src/gateway/flow_context';
import type {PeerMessage} from '../../src/gateway/peer_messages';
import {createPrefillBook} from '../../src/gateway/prefill_book';
import {createPrefixDirectory} from '../../src/gateway/prefix_directory';
import {createStreamCounts} from '../../src/gateway/stream_counts';
import {createStreamRecords} from '../../src/gateway/stream_records';
import {createSystemClock} from '../../src/runtime/system_clock';
import {createEntry, ENGINE_LIMITS} from './support';

const MODEL = {
  promptTokens: 1_500,
  maxOutputTokens: 10,
  parts: [{id: 'shared', tokens: 350}],
};

/** Records the course of one request and returns what the other nodes are told. */
function listTold(peers: number, readMs: number): string[] {
  const told: PeerMessage[] = [];
  const context: Partial<FlowContext> = {
    clock: createSystemClock(),
    book: createPrefillBook(),
    prefixes: createPrefixDirectory(() => 1_000_000),
    streams: createStreamCounts(),
    countPeers: () => peers,
    notifyPeers: message => told.push(message),
  };
  const records = createStreamRecords(
    context as FlowContext,
    ENGINE_LIMITS,
    MODEL,
    'job',
  );
  const server = createEntry({id: 'p1'});
  records.recordPlaced({server, waitMs: 0, readMs, cachedTokens: 0});
  records.recordRead('d1');
  return told.map(message => message.kind);
}

test('in a small fleet every node hears of every read', () => {
  assert.deepEqual(listTold(13, 10), ['placed', 'read']);
});

test('in a large fleet the nodes hear of long reads only', () => {
  assert.deepEqual(listTold(105, 10), []);
  assert.deepEqual(listTold(105, 80), ['placed', 'read']);
});
