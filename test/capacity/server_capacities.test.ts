import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createServerCapacities, tryChooseNearBest} from '../../src/capacity';
import {createLogger} from '../../src/diagnostics/log';
import {createVirtualClock} from '../../src/runtime';

const SERVER = {id: 's1', service: 's', startedAtMs: 1};

function createNode(isEnabled = true) {
  const clock = createVirtualClock();
  const lines: string[] = [];
  const capacities = createServerCapacities({
    clock,
    logger: createLogger({node: 'n', write: line => lines.push(line)}),
    getServiceFactor: () => 1,
    isEnabled,
  });
  return {...capacities, clock, lines, recordAnswers, getFactor};

  /** Records an answer each 50 ms. */
  async function recordAnswers(ratio: number, durationMs: number, load = 0.1) {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
      capacities.recordSample(SERVER, {ratio, load});
      await clock.advance(50);
    }
  }

  function getFactor(load = 0): number {
    return capacities.getRelativeFactor(SERVER, load);
  }
}

test('a spike of 600 ms is not a change, a lasting factor is followed within 2 s, a new process starts anew', async () => {
  const node = createNode();
  await node.recordAnswers(1, 3_000);
  await node.recordAnswers(2.5, 600);
  assert.equal(node.getFactor(), 1);
  await node.recordAnswers(1, 2_000);
  assert.equal(node.getFactor(), 1);
  await node.recordAnswers(4, 2_000);
  assert.equal(node.getFactor(), 4);
  assert.equal(
    node.getRelativeFactor({...SERVER, startedAtMs: 2}, 0),
    1,
    'a factor was kept for another process',
  );
  await node.recordAnswers(1.05, 2_000);
  assert.equal(node.getFactor(), 1);
  assert.ok(node.lines.some(line => line.includes('server capacity changed')));
});

test('a spike at the first requests to a server does not make it slow', async () => {
  const node = createNode();
  await node.recordAnswers(2.5, 600);
  assert.equal(node.getFactor(), 1);
});

test('the load from which on a server is slow is found, and forgotten when the server has recovered', async () => {
  const node = createNode();
  for (let round = 0; round < 30; round++) {
    await node.recordAnswers(1, 100, 0.1);
    await node.recordAnswers(2, 100, 0.5);
  }
  const {timeFactor, goodLoad} = node.getEstimate(SERVER);
  assert.equal(timeFactor, 1);
  assert.equal(goodLoad, 0.5);
  assert.equal(node.getFactor(0.6), 2);
  await node.recordAnswers(1, 31_000);
  assert.equal(node.getFactor(0.6), 1);
});

test('a slow server that gets no requests is tried again, a fast one stays known', async () => {
  const node = createNode();
  await node.recordAnswers(4, 3_000);
  await node.clock.advance(20_000);
  assert.ok(node.getFactor() < 1.5);
  await node.recordAnswers(0.5, 3_000);
  await node.clock.advance(60_000);
  assert.equal(node.getFactor(), 0.5);
});

test('a fresh node adopts told factors, does not pass them on, and ignores malformed ones', async () => {
  const node = createNode();
  await node.recordAnswers(0.6, 3_000);
  const told = node.listFactors(16);
  assert.deepEqual(told, [['s1', 1, 0.6]]);
  const fresh = createNode();
  for (const bad of [null, {}, ['s1'], [['s1', 1, -1]], [['s1', 1, '2']]]) {
    fresh.addFactors(bad);
    assert.equal(fresh.getFactor(), 1);
  }
  fresh.addFactors(told);
  assert.equal(fresh.getFactor().toFixed(6), '0.600000');
  assert.deepEqual(fresh.listFactors(16), []);
  const other = createNode();
  other.addFactors([['s1', 2, 0.6]]);
  assert.equal(other.getFactor(), 1);
});

test('told factors are bounded, and all of them get their turn', async () => {
  const node = createNode();
  for (let step = 0; step < 10; step++) {
    for (let index = 0; index < 150; index++) {
      const server = {...SERVER, id: `s${index}`};
      node.recordSample(server, {ratio: 2, load: 0});
    }
    await node.clock.advance(250);
  }
  const turns = Array.from({length: 7}, () => node.listFactors(16));
  assert.ok(turns.every(factors => factors.length === 16));
  assert.equal(new Set(turns.flat().map(([id]) => id)).size, 100);
  // Twenty lines in 10 s at most, however many servers change.
  assert.ok(node.lines.length <= 20);
});

test('when switched off, every server keeps the values of its service', async () => {
  const node = createNode(false);
  await node.recordAnswers(4, 3_000);
  node.addFactors([['s1', 1, 3]]);
  assert.equal(node.getFactor(), 1);
  assert.deepEqual(node.listFactors(16), []);
});

test('near equals are chosen at random, but none that is slower or costs more network', () => {
  const choose = (random: number) =>
    tryChooseNearBest(
      [
        {id: 'a', score: 100, pathMs: 0},
        {id: 'b', score: 104, pathMs: 0},
        {id: 'c', score: 103, pathMs: 3},
        {id: 'd', score: 106, pathMs: 0},
      ],
      () => random,
    )?.id;
  assert.deepEqual([0, 0.49, 0.5, 0.99].map(choose), ['a', 'a', 'b', 'b']);
  assert.equal(
    tryChooseNearBest([], () => 0),
    undefined,
  );
});
