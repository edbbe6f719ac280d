/** Recovery at start-up: with the log up, slow and down, and with many nodes at once. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {LogService} from '../../src/control_services';
import {createVirtualClock, type VirtualClock} from '../../src/runtime';
import {
  createStreamFollower,
  createStreamRecovery,
  encodeEnvelope,
  type SnapshotSource,
  type StreamFollower,
  type StreamRecovery,
} from '../../src/state';
import {
  createLocalLog,
  createLogModel,
  type LogModel,
} from '../../src/standins';
import {
  type TallyEntry,
  type TallyState,
  tallyStream,
} from '../support/tally_stream';

const SEED = 44;
const RECORDS = 5_000;

interface StartedNode {
  readonly name: string;
  readonly follower: StreamFollower<TallyState, TallyEntry>;
  readonly recovery: StreamRecovery;
  isReachable: boolean;
}

interface Cluster {
  readonly clock: VirtualClock;
  readonly model: LogModel;
  readonly nodes: StartedNode[];
  /** Virtual times of the reads that returned records, in milliseconds. */
  readonly pageTimesMs: number[];
  startNode(name: string): StartedNode;
  stop(): Promise<void>;
}

function createCluster(): Cluster {
  const clock = createVirtualClock();
  const model = createLogModel({clock, appendsPerS: 1e9});
  const random = xoroshiro128plus(SEED);
  const nodes: StartedNode[] = [];
  const pageTimesMs: number[] = [];
  for (let index = 0; index < RECORDS; index++) {
    const entries = [{kind: 'add', text: String(index)}];
    const envelope = {version: 1, writer: 'w', sequence: index + 1, entries};
    model.append('tally', encodeEnvelope(envelope));
  }
  return {clock, model, nodes, pageTimesMs, startNode, stop};

  function startNode(name: string): StartedNode {
    const log = countPages(createLocalLog({model, clock}));
    const follower = createStreamFollower({
      definition: tallyStream,
      log,
      clock,
    });
    const recovery = createStreamRecovery({
      clock,
      follower,
      source: createSource(name),
      getRandom: () => uniformFloat64(random),
    });
    const node = {name, follower, recovery, isReachable: true};
    nodes.push(node);
    recovery.start();
    return node;
  }

  function countPages(log: LogService): LogService {
    return {
      append: log.append,
      read: async (stream, fromOffset, readOptions) => {
        const answer = await log.read(stream, fromOffset, readOptions);
        if (answer.ok && answer.val.records.length > 0) {
          pageTimesMs.push(clock.getMonotonicMs());
        }
        return answer;
      },
    };
  }

  function createSource(name: string): SnapshotSource {
    const listPeers = (): StartedNode[] =>
      nodes.filter(node => node.name !== name && node.isReachable);
    return {
      listOffsets: async () => {
        await clock.sleep(5);
        return listPeers().map(node => ({
          peer: node.name,
          nextOffset: node.follower.getNextOffset(),
          isCaughtUp: node.recovery.isReady(),
        }));
      },
      tryLoadSnapshot: async peer => {
        await clock.sleep(20);
        return listPeers()
          .find(node => node.name === peer)
          ?.follower.exportSnapshot();
      },
    };
  }

  async function stop(): Promise<void> {
    for (const node of nodes) node.recovery.stop();
    await clock.advance(20_000);
  }
}

test('with the log up, a node is ready once it has read to the end and not before', async () => {
  const cluster = createCluster();
  const node = cluster.startNode('n1');
  let readyAtMs = -1;
  while (readyAtMs < 0 && cluster.clock.getMonotonicMs() < 5_000) {
    await cluster.clock.advance(1);
    if (!node.recovery.isReady()) continue;
    readyAtMs = cluster.clock.getMonotonicMs();
    assert.equal(node.follower.getState().texts.length, RECORDS);
  }
  assert.ok(readyAtMs > 0 && readyAtMs < 1_000, `ready at ${readyAtMs} ms`);
  await cluster.stop();
});

test('in a log outage a new node imports the snapshot of the most advanced peer', async () => {
  const cluster = createCluster();
  const ahead = cluster.startNode('ahead');
  const behind = cluster.startNode('behind');
  await cluster.clock.advance(2_000);
  behind.recovery.stop();
  cluster.model.append(
    'tally',
    encodeEnvelope({
      version: 1,
      writer: 'v',
      sequence: 1,
      entries: [{kind: 'add', text: 'last'}],
    }),
  );
  await cluster.clock.advance(2_000);
  cluster.model.setDown(true);
  const late = cluster.startNode('late');
  await cluster.clock.advance(500);
  assert.equal(late.recovery.isReady(), false);
  await cluster.clock.advance(5_000);
  assert.equal(late.recovery.isReady(), true);
  assert.equal(late.follower.getState().texts.at(-1), 'last');
  assert.equal(late.follower.getNextOffset(), ahead.follower.getNextOffset());
  await cluster.stop();
});

test('a snapshot behind the offset that another peer reports does not make a node ready', async () => {
  const cluster = createCluster();
  const ahead = cluster.startNode('ahead');
  await cluster.clock.advance(2_000);
  const source: SnapshotSource = {
    listOffsets: () =>
      Promise.resolve([
        {peer: 'further', nextOffset: RECORDS + 7, isCaughtUp: true},
        {peer: 'ahead', nextOffset: RECORDS, isCaughtUp: true},
      ]),
    tryLoadSnapshot: peer =>
      Promise.resolve(
        peer === 'ahead' ? ahead.follower.exportSnapshot() : undefined,
      ),
  };
  cluster.model.setDown(true);
  const log = createLocalLog({model: cluster.model, clock: cluster.clock});
  const follower = createStreamFollower({
    definition: tallyStream,
    log,
    clock: cluster.clock,
  });
  const recovery = createStreamRecovery({
    clock: cluster.clock,
    follower,
    source,
    getRandom: () => 0.5,
  });
  recovery.start();
  await cluster.clock.advance(30_000);
  assert.equal(follower.getNextOffset(), RECORDS);
  assert.equal(recovery.isReady(), false);
  recovery.stop();
  await cluster.stop();
});

test('in a log outage without peers a node is not ready until soon after the outage', async () => {
  const cluster = createCluster();
  cluster.model.setDown(true);
  const node = cluster.startNode('n1');
  await cluster.clock.advance(120_000);
  assert.equal(node.recovery.isReady(), false);
  cluster.model.setDown(false);
  await cluster.clock.advance(2_500);
  assert.equal(node.recovery.isReady(), true);
  await cluster.stop();
});

test('with a slow log a node imports a snapshot before it has read all pages', async () => {
  const cluster = createCluster();
  cluster.startNode('n1');
  await cluster.clock.advance(2_000);
  cluster.model.setDelay(4_000);
  const late = cluster.startNode('late');
  await cluster.clock.advance(4_000);
  assert.equal(late.recovery.isReady(), true);
  assert.equal(late.follower.getState().texts.length, RECORDS);
  await cluster.stop();
});

test('fourteen nodes that start at once spread their reads, and all become ready', async () => {
  const cluster = createCluster();
  for (let index = 0; index < 14; index++) cluster.startNode(`n${index}`);
  await cluster.clock.advance(3_000);
  assert.ok(cluster.nodes.every(node => node.recovery.isReady()));
  const perTenthS = new Map<number, number>();
  for (const timeMs of cluster.pageTimesMs) {
    const slot = Math.floor(timeMs / 100);
    perTenthS.set(slot, (perTenthS.get(slot) ?? 0) + 1);
  }
  const pages = Math.ceil(RECORDS / 1_000);
  assert.ok(cluster.pageTimesMs.length <= 14 * pages);
  const most = Math.max(...perTenthS.values());
  assert.ok(most <= (14 * pages) / 2, `${most} pages within 100 ms`);
  await cluster.stop();
});
