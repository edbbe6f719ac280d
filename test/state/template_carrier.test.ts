/** Templates outlive the log's retention while nodes stop and start. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createVirtualClock, type VirtualClock} from '../../src/runtime';
import {
  type ConfigEntry,
  type ConfigState,
  createConfigStream,
  createStreamFollower,
  createStreamRecovery,
  createStreamWriter,
  createTemplateCarrier,
  getCarryPeriodMs,
  type StreamFollower,
  type StreamWriter,
  type TemplateCarrier,
} from '../../src/state';
import {
  createLocalLog,
  createLogModel,
  type LogModel,
} from '../../src/standins';
import {createAccountTemplate} from '../support/account_template';

const RETENTION_MS = 30 * 60_000;
const TEMPLATES = 30;

interface ConfigNode {
  readonly follower: StreamFollower<ConfigState, ConfigEntry>;
  readonly writer: StreamWriter<ConfigEntry>;
  readonly carrier: TemplateCarrier;
  stop(): void;
}

function startConfigNode(
  name: string,
  clock: VirtualClock,
  model: LogModel,
): ConfigNode {
  const log = createLocalLog({model, clock});
  const follower = createStreamFollower({
    definition: createConfigStream({retentionMs: RETENTION_MS}),
    log,
    clock,
    waitMs: 30_000,
  });
  const writer = createStreamWriter({follower, log, clock, writer: name});
  const carrier = createTemplateCarrier({
    node: name,
    clock,
    follower,
    writer,
    retentionMs: RETENTION_MS,
  });
  follower.start();
  carrier.start();
  return {follower, writer, carrier, stop};

  function stop(): void {
    carrier.stop();
    writer.stop();
    follower.stop();
  }
}

function getVersions(node: ConfigNode): Array<[string, number]> {
  return [...node.follower.getState().templates]
    .map(([account, stored]): [string, number] => [
      account,
      stored.current.version,
    ])
    .sort(([left], [right]) => (left < right ? -1 : 1));
}

async function publishTemplates(
  node: ConfigNode,
  clock: VirtualClock,
): Promise<void> {
  for (let index = 0; index < TEMPLATES; index++) {
    void node.writer.write(
      {
        kind: 'template-publish',
        operator: 'petra',
        template: createAccountTemplate(`account-${index}`),
      },
      5_000,
    );
    await clock.advance(1_000);
  }
}

test('templates outlive the retention, a log outage and the replacement of all nodes', async () => {
  const clock = createVirtualClock({wallStartMs: 1_700_000_000_000});
  const model = createLogModel({clock, retentionMs: RETENTION_MS});
  const first = ['n1', 'n2', 'n3'].map(name =>
    startConfigNode(name, clock, model),
  );
  await publishTemplates(first[0], clock);
  const versions = getVersions(first[0]);
  assert.equal(versions.length, TEMPLATES);
  await clock.advance(RETENTION_MS);
  model.setDown(true);
  await clock.advance(RETENTION_MS / 3);
  model.setDown(false);
  await clock.advance(RETENTION_MS / 2);
  for (const node of first) node.stop();
  await clock.advance(RETENTION_MS / 4);
  const second = ['n4', 'n5'].map(name => startConfigNode(name, clock, model));
  await clock.advance(1_000);
  for (const node of second) {
    assert.equal(node.follower.getCounts().gaps, 1, 'started on a trimmed log');
    assert.equal(node.follower.isCaughtUp(), true);
    assert.deepEqual(getVersions(node), versions);
  }
  await clock.advance(2 * RETENTION_MS);
  assert.deepEqual(getVersions(second[1]), versions);
  for (const node of second) node.stop();
  await clock.advance(60_000);
});

test('each template is carried once or twice per period, spread over it, with many nodes', async () => {
  const clock = createVirtualClock({wallStartMs: 1_700_000_000_000});
  const model = createLogModel({clock, retentionMs: RETENTION_MS});
  const nodes = Array.from({length: 8}, (_, index) =>
    startConfigNode(`n${index}`, clock, model),
  );
  const carriedAtMs = new Map<string, number[]>();
  nodes[0].follower.subscribe((entry, _outcome, context) => {
    if (entry.kind !== 'template-carry') return;
    const {clientAccount} = entry.carried;
    const times = carriedAtMs.get(clientAccount) ?? [];
    times.push(context.appendedAtMs);
    carriedAtMs.set(clientAccount, times);
  });
  await publishTemplates(nodes[0], clock);
  const periodMs = getCarryPeriodMs(RETENTION_MS);
  await clock.advance(6 * periodMs);
  assert.equal(carriedAtMs.size, TEMPLATES);
  let carried = 0;
  for (const times of carriedAtMs.values()) {
    carried += times.length;
    for (let index = 1; index < times.length; index++) {
      assert.ok(times[index] - times[index - 1] <= periodMs, 'in time');
    }
  }
  const minCarried = (TEMPLATES * 6) / 0.95;
  assert.ok(carried >= TEMPLATES * 6, `carried ${carried}`);
  assert.ok(carried <= minCarried * 2.2, `carried ${carried}`);
  const firsts = [...carriedAtMs.values()].map(([time]) => time);
  const spreadMs = Math.max(...firsts) - Math.min(...firsts);
  assert.ok(spreadMs > periodMs / 4, `spread over ${spreadMs} ms`);
  for (const node of nodes) node.stop();
  await clock.advance(60_000);
});

test('a process on a trimmed log is caught up only after a whole carry period', async () => {
  const clock = createVirtualClock({wallStartMs: 1_700_000_000_000});
  const model = createLogModel({clock, retentionMs: RETENTION_MS});
  const old = startConfigNode('old', clock, model);
  await publishTemplates(old, clock);
  model.trim('config', 10);
  const late = startConfigNode('late', clock, model);
  await clock.advance(60_000);
  assert.equal(late.follower.isCaughtUp(), false);
  assert.equal(
    old.follower.importSnapshot(late.follower.exportSnapshot()),
    false,
    'a snapshot of an incomplete state is not imported',
  );
  const other = startConfigNode('other', clock, model);
  await clock.advance(1_000);
  const snapshot = old.follower.exportSnapshot();
  assert.equal(other.follower.importSnapshot(snapshot), true);
  assert.equal(other.follower.isCaughtUp(), true);
  await clock.advance(getCarryPeriodMs(RETENTION_MS));
  assert.equal(late.follower.isCaughtUp(), true);
  assert.deepEqual(getVersions(late), getVersions(old));
  assert.deepEqual(getVersions(other), getVersions(old));
  for (const node of [old, late, other]) node.stop();
  await clock.advance(60_000);
});

test('a node becomes ready alone after all nodes were stopped for most of the retention', async () => {
  const clock = createVirtualClock({wallStartMs: 1_700_000_000_000});
  const model = createLogModel({clock, retentionMs: RETENTION_MS});
  const first = startConfigNode('n1', clock, model);
  await publishTemplates(first, clock);
  await clock.advance(2 * RETENTION_MS);
  const versions = getVersions(first);
  first.stop();
  await clock.advance(0.6 * RETENTION_MS);
  const second = startConfigNode('n2', clock, model);
  const recovery = createStreamRecovery({
    clock,
    follower: second.follower,
    getRandom: () => 0.5,
    writeMark: () => void second.writer.write({kind: 'config-mark'}, 5_000),
  });
  recovery.start();
  await clock.advance(10_000);
  assert.equal(second.follower.getCounts().gaps, 1);
  assert.equal(recovery.isReady(), true);
  assert.deepEqual(getVersions(second), versions);
  recovery.stop();
  second.stop();
  await clock.advance(60_000);
});

test('nodes spread their writes when every template is overdue after a stop or an outage', async () => {
  for (const kind of ['stop', 'outage'] as const) {
    const clock = createVirtualClock({wallStartMs: 1_700_000_000_000});
    const model = createLogModel({clock, retentionMs: RETENTION_MS});
    const periodMs = getCarryPeriodMs(RETENTION_MS);
    const names = Array.from({length: 8}, (_, index) => `n${index}`);
    const first = names.map(name => startConfigNode(name, clock, model));
    await publishTemplates(first[0], clock);
    let nodes = first;
    if (kind === 'stop') first.forEach(node => node.stop());
    else model.setDown(true);
    await clock.advance(1.5 * periodMs);
    if (kind === 'stop') {
      nodes = names.map(name => startConfigNode(`${name}b`, clock, model));
    }
    model.setDown(false);
    const timesMs: number[] = [];
    nodes[0].follower.subscribe((entry, _outcome, context) => {
      if (entry.kind === 'template-carry') timesMs.push(context.appendedAtMs);
    });
    await clock.advance(periodMs / 4);
    const accounts = new Set(nodes[0].follower.getState().templates.keys());
    assert.equal(accounts.size, TEMPLATES);
    assert.ok(timesMs.length >= TEMPLATES, `${kind}: ${timesMs.length}`);
    assert.ok(timesMs.length <= 1.5 * TEMPLATES, `${kind}: ${timesMs.length}`);
    const spreadMs = Math.max(...timesMs) - Math.min(...timesMs);
    assert.ok(spreadMs > periodMs / 20, `${kind}: within ${spreadMs} ms`);
    nodes.forEach(node => node.stop());
    await clock.advance(60_000);
  }
});
