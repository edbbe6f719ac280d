/** Snapshots between nodes, of many servers and over slow links. */
import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createFleetState} from '../../src/gateway/fleet_state';
import type {Snapshot} from '../../src/gateway/snapshot';
import {loadSnapshotFrom} from '../../src/gateway/snapshot_client';
import {createSnapshotResponder} from '../../src/gateway/snapshot_responder';
import {createSystemClock} from '../../src/runtime/system_clock';
import {createEntry, EMPTY_CONFIG} from './support';

function createSnapshot(servers: number): Snapshot {
  const entries = Array.from({length: servers}, (_, index) =>
    createEntry({
      id: `engine-${(index * 7_919) % 100_003}`,
      host: `10.${index % 3}.${index >> 8}.${index % 256}`,
      port: 8_000 + (index % 7),
      startedAtMs: 1_700_000_000_000 + index * 977,
    }),
  );
  return {
    config: EMPTY_CONFIG,
    configOffset: 1,
    entries,
    entryOffset: servers,
    ageMs: 5,
  };
}

async function listenLocally(server: Server) {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const close = () => {
    server.close();
    server.closeAllConnections();
  };
  return {address: {host: '127.0.0.1', port}, close};
}

function startNode(snapshot: Snapshot) {
  const respond = createSnapshotResponder({
    clock: createSystemClock(),
    getSnapshot: () => snapshot,
  });
  return listenLocally(
    createServer((request, response) => {
      const query = new URLSearchParams(request.url?.split('?')[1]);
      respond(request, response, query);
    }),
  );
}

/** Starts a node of an earlier version, which does not compress and sends its snapshot in parts. */
function startSlowNode(pauseMs: number, parts: number) {
  const text = JSON.stringify(createSnapshot(10));
  return listenLocally(
    createServer((_request, response) => {
      void (async () => {
        response.writeHead(200, {'content-length': text.length});
        const size = Math.ceil(text.length / parts);
        for (let start = 0; start < text.length; start += size) {
          await sleep(pauseMs);
          response.write(text.slice(start, start + size));
        }
        response.end();
      })();
    }),
  );
}

test('a snapshot that makes progress is loaded, however long it takes, and one that stalls is given up', async () => {
  const slow = await startSlowNode(150, 6);
  const stalled = await startSlowNode(5_000, 2);
  const [answer, none] = await Promise.all([
    loadSnapshotFrom(slow.address, 0),
    loadSnapshotFrom(stalled.address, 0),
  ]);
  slow.close();
  stalled.close();
  assert.equal(answer.kind, 'loaded');
  assert.equal(none.kind, 'none');
});

test('the list of 3,000 servers takes a slow link less than the time in which a starting fleet must serve', async context => {
  const snapshot = createSnapshot(3_000);
  const node = await startNode(snapshot);
  const url = `http://127.0.0.1:${node.address.port}/snapshot?known=0`;
  const response = await fetch(url, {headers: {'accept-encoding': 'deflate'}});
  const bytes = Number(response.headers.get('content-length'));
  const body = (await response.json()) as Snapshot;
  node.close();
  context.diagnostic(`${bytes} of ${JSON.stringify(snapshot).length} bytes`);
  assert.deepEqual(body.entries, snapshot.entries);
  // Three answers at a time over 7 Mbit/s, in 0.5 s.
  assert.ok(3 * bytes * 8 < 0.5 * 7_000_000, `${bytes} bytes`);
});

test('a node answers a few at a time, and refuses the others at once', async () => {
  const node = await startNode(createSnapshot(30_000));
  const kinds = await Promise.all(
    Array.from({length: 8}, async () => {
      return (await loadSnapshotFrom(node.address, 0)).kind;
    }),
  );
  const later = await loadSnapshotFrom(node.address, 0);
  node.close();
  const busyCount = kinds.filter(kind => kind === 'busy').length;
  assert.ok(busyCount >= 1 && busyCount <= 5, kinds.join());
  assert.equal(kinds.filter(kind => kind === 'none').length, 0);
  assert.equal(later.kind, 'loaded');
});

test('a server that was draining when the store lost records gets no request while its entry states that it is ready', () => {
  const state = createFleetState();
  const ready = createEntry({id: 'a', isLeaving: false, startedAtMs: 5});
  const draining = {...ready, isLeaving: true};
  state.replaceEntries([{id: 'a', entry: draining}], 0);
  state.retainLeaving(3_000);
  state.replaceEntries([{id: 'a', entry: ready}], 100);
  assert.equal(state.tryGetUsable('a'), undefined);
  // Another process under the same id.
  const restarted = {...ready, startedAtMs: 6};
  state.applyChanges([{id: 'a', entry: restarted}], 200);
  assert.deepEqual(state.listUsable('app'), [restarted]);
  state.applyChanges([{id: 'a', entry: ready}], 300);
  assert.deepEqual(state.listUsable('app'), []);
  state.sweep(3_000);
  assert.deepEqual(state.listUsable('app'), [ready]);
});
