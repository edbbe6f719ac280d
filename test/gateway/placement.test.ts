import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computePrefillMs} from '../../src/gateway/engine_costs';
import {createEngineAffinity} from '../../src/gateway/engine_affinity';
import {
  type PlacementInput,
  tryChooseDecode,
  tryChoosePrefill,
} from '../../src/gateway/placement';
import {createPrefillQueues} from '../../src/gateway/prefill_queues';
import {createPrefixDirectory} from '../../src/gateway/prefix_directory';
import {createStreamCounts} from '../../src/gateway/stream_counts';
import {type BackendEntry, EngineStage} from '../../src/gateway/types';
import {createEntry, ENGINE_LIMITS} from './support';

const ENGINES = ['p1', 'p2', 'p3', 'p4'].map(id =>
  createEntry({id, stage: EngineStage.Prefill}),
);
const PATH = {localDomain: 'a', hasConnection: () => true};
const REQUEST = {
  promptTokens: 17_000,
  maxOutputTokens: 13,
  parts: [
    {id: 'shared', tokens: 13_000},
    {id: 'own', tokens: 4_000},
  ],
};

function createInput(options: Partial<PlacementInput> = {}): PlacementInput {
  return {
    request: REQUEST,
    engines: ENGINES,
    prefillQueues: createPrefillQueues(),
    prefixes: createPrefixDirectory(() => 450_000),
    affinity: createEngineAffinity(),
    path: PATH,
    isHomeCacheWarm: false,
    predictPrefillMs: computePrefillMs,
    getTimeFactor: () => 1,
    getRandom: () => 0,
    countStreams: () => 0,
    getSlotWaitMs: () => 0,
    handoffMs: 20,
    bodyBytes: 0,
    nowMs: 0,
    ...options,
  };
}

test('a prompt goes to the engine that has cached its shared part', () => {
  const input = createInput();
  input.prefixes.recordPrefill('p3', REQUEST.parts);
  const placement = tryChoosePrefill(input);
  assert.equal(placement?.server.id, 'p3');
  assert.equal(placement?.cachedTokens, 13_000);
});

test('a prompt goes to another engine when the wait at the caching one exceeds the time of a new prefill', () => {
  const input = createInput();
  input.prefixes.recordPrefill('p3', REQUEST.parts);
  input.prefillQueues.add({id: 'j', serverId: 'p3', costMs: 300}, 0);
  assert.equal(tryChoosePrefill(input)?.server.id, 'p3');
  input.prefillQueues.add({id: 'k', serverId: 'p3', costMs: 900}, 0);
  assert.notEqual(tryChoosePrefill(input)?.server.id, 'p3');
});

test('nodes with empty prefix directories choose the same home engine, and assume a cached part there after a restart', () => {
  const first = tryChoosePrefill(createInput());
  const second = tryChoosePrefill(createInput());
  assert.equal(first?.server.id, second?.server.id);
  assert.equal(first?.cachedTokens, 0);
  const restarted = tryChoosePrefill(createInput({isHomeCacheWarm: true}));
  assert.equal(restarted?.server.id, first?.server.id);
  assert.equal(restarted?.cachedTokens, 13_000);
});

test('the home engine of a part does not change when another engine leaves', () => {
  const affinity = createEngineAffinity();
  const ids = Array.from({length: 50}, (_, index) => `part-${index}`);
  const moved = ids.filter(
    id =>
      affinity.tryFindHome(id, ENGINES) !==
      affinity.tryFindHome(id, ENGINES.slice(1)),
  );
  assert.ok(moved.every(id => affinity.tryFindHome(id, ENGINES) === 'p1'));
});

test('an engine with a slowdown is not chosen while a faster one is free', () => {
  const getTimeFactor = ({id}: BackendEntry) => (id === 'p1' ? 1 : 1.4);
  const placement = tryChoosePrefill(
    createInput({
      getTimeFactor,
      request: {...REQUEST, parts: REQUEST.parts.slice(1)},
    }),
  );
  assert.equal(placement?.server.id, 'p1');
});

test('at a load at which slow engines also get prompts, large ones go to the fast engine', () => {
  const getTimeFactor = ({id}: BackendEntry) => (id === 'p4' ? 0.6 : 1.4);
  const choose = (promptTokens: number) => {
    const request = {promptTokens, maxOutputTokens: 1, parts: []};
    const input = createInput({getTimeFactor, request});
    input.prefillQueues.add({id: 'j', serverId: 'p4', costMs: 100}, 0);
    return tryChoosePrefill(input)?.server.id;
  };
  assert.notEqual(choose(2_000), 'p4');
  assert.equal(choose(40_000), 'p4');
});

test('nodes with the same view do not all choose the same engine', () => {
  const request = {promptTokens: 9_000, maxOutputTokens: 1, parts: []};
  const chosen = [0, 0.3, 0.6, 0.9].map(
    random =>
      tryChoosePrefill(createInput({request, getRandom: () => random}))?.server
        .id,
  );
  assert.equal(new Set(chosen).size, ENGINES.length);
});

test('a decode engine in the domain of the prefill engine is preferred until it has many streams', () => {
  const engines = ['a', 'b'].map(domain =>
    createEntry({id: domain, failureDomain: domain, stage: EngineStage.Decode}),
  );
  const choose = (streams: number) =>
    tryChooseDecode({
      nodeName: 'front-1',
      affinity: createEngineAffinity(),
      engines,
      engine: ENGINE_LIMITS,
      promptTokens: 17_000,
      sourceDomain: 'a',
      path: PATH,
      bodyBytes: 0,
      countStreams: id => (id === 'a' ? streams : 0),
      getSlotWaitMs: () => 0,
    })?.id;
  assert.equal(choose(0), 'a');
  assert.equal(choose(20), 'b');
});

test('a decode engine with free slots prefills a prompt itself when that takes less time than a KV transfer', () => {
  const decodeEngine = createEntry({id: 'd1', stage: EngineStage.Decode});
  const small = {promptTokens: 141, maxOutputTokens: 90, parts: []};
  const input = createInput({
    engines: [...ENGINES, decodeEngine],
    request: small,
    predictPrefillMs: tokens => tokens / 330,
    handoffMs: 6,
  });
  assert.equal(tryChoosePrefill(input)?.server.id, 'd1');
  const busy = {...input, getSlotWaitMs: () => 400};
  assert.notEqual(tryChoosePrefill(busy)?.server.id, 'd1');
  const large = {...input, request: {...small, promptTokens: 9_190}};
  assert.notEqual(tryChoosePrefill(large)?.server.id, 'd1');
  assert.equal(
    tryChoosePrefill({...large, engines: [decodeEngine]})?.server.id,
    'd1',
  );
});

test('a decode engine without a free slot is not chosen until a slot is free', () => {
  const streams = createStreamCounts();
  const engines = ['near', 'far'].map(id =>
    createEntry({
      id,
      failureDomain: id,
      stage: EngineStage.Decode,
      maxRunning: 12,
    }),
  );
  for (let index = 0; index < 12; index++) {
    streams.add('near', `s${index}`, 3_400 + index);
  }
  const choose = (nowMs: number) =>
    tryChooseDecode({
      nodeName: 'front-1',
      affinity: createEngineAffinity(),
      engines,
      engine: ENGINE_LIMITS,
      promptTokens: 200,
      sourceDomain: 'near',
      path: PATH,
      bodyBytes: 0,
      countStreams: () => 0,
      getSlotWaitMs: ({id, maxRunning}) =>
        streams.getWaitMs(id, maxRunning, nowMs),
    })?.id;
  assert.equal(streams.getWaitMs('near', 12, 3_000), 400);
  assert.equal(streams.getWaitMs('near', 11, 3_000), 401);
  assert.equal(choose(3_000), 'far');
  assert.equal(choose(3_400), 'near');
});

test('an engine that rejected a prompt as full is excluded until its queue is shorter', () => {
  const queues = createPrefillQueues();
  for (let index = 0; index < 20; index++) {
    queues.add({id: `j${index}`, serverId: 'p1', costMs: 10}, 0);
  }
  assert.equal(queues.isFull('p1', 0), false);
  queues.recordFull('p1', 0);
  queues.remove('j19', 0);
  assert.equal(queues.isFull('p1', 0), true);
  for (let index = 0; index < 4; index++) queues.remove(`j${index}`, 50);
  assert.equal(queues.isFull('p1', 50), false);
  for (let index = 0; index < 4; index++) {
    queues.add({id: `k${index}`, serverId: 'p1', costMs: 10}, 60);
  }
  assert.equal(queues.isFull('p1', 60), true);
  // A rejection expires after some seconds, because engines and their load change.
  assert.equal(queues.isFull('p1', 10_000), false);
});

test('the prefix directory evicts the least recently used parts', () => {
  const prefixes = createPrefixDirectory(() => 1_000);
  const parts = (id: string) => [{id, tokens: 400}];
  prefixes.recordPrefill('p1', parts('a'));
  prefixes.recordPrefill('p1', parts('b'));
  prefixes.recordPrefill('p1', parts('a'));
  prefixes.recordPrefill('p1', parts('c'));
  assert.equal(prefixes.getCachedTokens('p1', parts('a')), 400);
  assert.equal(prefixes.getCachedTokens('p1', parts('b')), 0);
  assert.equal(prefixes.isCached('b'), false);
});

test('a job whose end is not reported is dropped', () => {
  const queues = createPrefillQueues();
  queues.add({id: 'j', serverId: 'p1', costMs: 100}, 0);
  assert.equal(queues.getWaitMs('p1', 50), 50);
  assert.equal(queues.getWaitMs('p1', 5_000), 0);
  assert.equal(queues.countJobs('p1'), 0);
});

test('only a job that ended as predicted is reported as such: others say nothing about the engine', () => {
  const ended: string[] = [];
  const queues = createPrefillQueues(({id}) => ended.push(id));
  const add = (id: string) =>
    queues.add({id, serverId: 'p1', costMs: 100, endsInMs: 100}, 0);
  ['as-predicted', 'overdue', 'removed'].forEach(add);
  // A job whose predicted end has passed has made way for the next one.
  assert.equal(queues.tryGetLastStartMs('p1', 110), 100);
  queues.recordOverdue('overdue', 150);
  queues.remove('removed', 120);
  queues.getWaitMs('p1', 5_000);
  assert.deepEqual(ended, ['as-predicted']);
});

test('a job with a predicted end counts as ended then, unless it is reported overdue', () => {
  const queues = createPrefillQueues();
  queues.add({id: 'j', serverId: 'p1', costMs: 100, endsInMs: 100}, 0);
  queues.add({id: 'k', serverId: 'p1', costMs: 100, endsInMs: 200}, 0);
  assert.equal(queues.getWaitMs('p1', 40), 160);
  // The first job counts as ended at 100 ms, so the second one has been prefilled for 90 ms.
  assert.equal(queues.getWaitMs('p1', 190), 10);
  assert.equal(queues.countJobs('p1'), 1);
  queues.recordOverdue('k', 250);
  assert.equal(queues.countJobs('p1'), 1);
  assert.equal(queues.getWaitMs('p1', 400), 0);
  assert.equal(queues.countJobs('p1'), 1);
  queues.remove('k', 410);
  assert.equal(queues.countJobs('p1'), 0);
});

test('a node uses four decode engines of each failure domain, and the nodes together use all of them', () => {
  const engines = ['a', 'b'].flatMap(domain =>
    Array.from({length: 16}, (_, index) =>
      createEntry({
        id: `${domain}${index}`,
        failureDomain: domain,
        stage: EngineStage.Decode,
      }),
    ),
  );
  const affinity = createEngineAffinity();
  const listUsed = (nodeName: string, lost = '') => {
    const used = new Map<string, number>();
    for (let index = 0; index < 200; index++) {
      const chosen = tryChooseDecode({
        nodeName,
        affinity,
        engines: engines.filter(({id}) => id !== lost),
        engine: ENGINE_LIMITS,
        promptTokens: 2_000,
        sourceDomain: index % 2 === 0 ? 'a' : 'b',
        path: PATH,
        bodyBytes: 0,
        countStreams: id => used.get(id) ?? 0,
        getSlotWaitMs: () => 0,
      });
      assert.ok(chosen !== undefined);
      used.set(chosen.id, (used.get(chosen.id) ?? 0) + 1);
    }
    return [...used.keys()];
  };
  const used = listUsed('front-1');
  assert.equal(used.length, 8);
  const [lost] = used;
  const usedThen = listUsed('front-1', lost);
  assert.equal(usedThen.length, 8);
  assert.equal(usedThen.filter(id => used.includes(id)).length, 7);
  const names = Array.from({length: 60}, (_, index) => `front-${index}`);
  assert.equal(new Set(names.flatMap(name => listUsed(name))).size, 32);
});
