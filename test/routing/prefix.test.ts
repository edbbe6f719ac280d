/** Prefix hashes, the prefix index, and prefix affinity versus load balancing. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createPrefixHasher} from '../../src/routing';
import {createPrefixIndex} from '../../src/routing/prefix_index';
import {createRoutingFleet} from '../support/routing_fleet';

const HASHES = ['h0', 'h1', 'h2', 'h3'];

test('equal leading blocks have equal hashes, and a change alters the hashes from its block on', async () => {
  const hasher = await createPrefixHasher({blockCharacters: 8});
  fc.assert(
    fc.property(
      fc.string({minLength: 40, maxLength: 80}),
      fc.nat({max: 39}),
      (prompt, index) => {
        const {hashes} = hasher.compute('small', prompt);
        const other = prompt[index] === 'x' ? 'y' : 'x';
        const changed =
          prompt.slice(0, index) + other + prompt.slice(index + 1);
        const after = hasher.compute('small', changed).hashes;
        const block = Math.floor(index / 8);
        assert.deepEqual(after.slice(0, block), hashes.slice(0, block));
        for (let later = block; later < hashes.length; later++) {
          assert.notEqual(after[later], hashes[later]);
        }
      },
    ),
    {seed: 7, numRuns: 200},
  );
  const prompt = 'a catalogue of tapes';
  assert.notDeepEqual(
    hasher.compute('small', prompt).hashes,
    hasher.compute('large', prompt).hashes,
  );
});

test('a gap in the events halves the expected cached tokens, and a cleared cache has none', () => {
  const index = createPrefixIndex();
  index.applyEvents('e', [{sequence: 1, kind: 'stored', hashes: HASHES}]);
  assert.equal(index.listMatches(HASHES, 400)[0].cachedTokens, 400);
  index.applyEvents('e', [{sequence: 2, kind: 'evicted', hashes: ['h3']}]);
  assert.equal(index.listMatches(HASHES, 400)[0].cachedTokens, 300);
  // Event 3 is missing.
  index.applyEvents('e', [{sequence: 4, kind: 'stored', hashes: ['other']}]);
  assert.equal(index.listMatches(HASHES, 400)[0].cachedTokens, 150);
  assert.equal(index.listMatches(['other'], 100)[0].cachedTokens, 100);
  // An event that arrives late is ignored.
  index.applyEvents('e', [{sequence: 3, kind: 'stored', hashes: HASHES}]);
  assert.equal(index.listMatches(HASHES, 400)[0].cachedTokens, 150);
  index.recordPrefilled('e', HASHES);
  assert.equal(index.listMatches(HASHES, 400)[0].cachedTokens, 400);
  index.applyEvents('e', [{sequence: 5, kind: 'cleared', hashes: []}]);
  assert.deepEqual(index.listMatches(HASHES, 400), []);
});

test('a restarted engine holds no prefixes', () => {
  const index = createPrefixIndex();
  index.applyEvents('e', [{sequence: 9, kind: 'stored', hashes: HASHES}]);
  index.removeEngine('e');
  assert.deepEqual(index.listMatches(HASHES, 400), []);
  index.applyEvents('e', [{sequence: 1, kind: 'stored', hashes: ['h0']}]);
  assert.equal(index.listMatches(HASHES, 400)[0].cachedTokens, 100);
});

test('the index is bounded', () => {
  const index = createPrefixIndex({capacity: 100});
  for (let prompt = 0; prompt < 1_000; prompt++) {
    index.recordPrefilled(`e${prompt % 7}`, [`${prompt}.0`, `${prompt}.1`]);
  }
  assert.ok(index.getSize() <= 100);
});

test('requests with a common prefix stay on one engine while it keeps up, and spread when it does not', async () => {
  const fleet = createRoutingFleet({engines: 8});
  const prefix = {
    promptTokens: 8_000,
    maxTokens: 5,
    prefixTokens: 7_680,
    prefixHashes: HASHES,
  };
  const engines = new Set<string>();
  for (let index = 0; index < 10; index++) {
    const handle = fleet.submit(0, prefix);
    engines.add(handle.tryGetEngine() ?? '');
    await fleet.clock.advance(2_000);
  }
  assert.equal(engines.size, 1);
  const cached = fleet.outcomes.slice(1).map(item => item.end?.cachedTokens);
  assert.ok(
    cached.every(tokens => tokens === 7_680),
    cached.join(' '),
  );
  for (let index = 0; index < 60; index++) {
    const handle = fleet.submit(0, {...prefix, promptTokens: 12_000});
    const engine = handle.tryGetEngine();
    if (engine !== undefined) engines.add(engine);
  }
  assert.ok(engines.size > 2, `${engines.size}`);
  fleet.stop();
});
