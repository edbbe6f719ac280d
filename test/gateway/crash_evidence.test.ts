/** Evidence that parts of prompts crash engines. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createCrashEvidence,
  type CrashReport,
} from '../../src/gateway/crash_evidence';
import {isPromptId} from '../../src/gateway/prompt_identity';
import {computeBoundMs, MAX_LATE_REQUESTS} from '../platform/tainted_fleet';
import {getKnownRedOptions} from '../support/known_red';
import {type CrashModelOptions, runCrashModel} from './crash_model';

const SECOND_MS = 1_000;

function createReport(
  serverId: string,
  requestId: string,
  parts: readonly string[],
): CrashReport {
  return {
    from: 'front-1',
    serverId,
    startedAtMs: 1,
    streams: [{requestId, parts, hasBegun: true}],
    streamCount: 400,
    brokenCount: 4,
    begunCount: 4,
  };
}

function createEvidence(known: ReadonlySet<string> = new Set()) {
  return createCrashEvidence({isKnown: part => known.has(part)});
}

test('a part is blamed when each of its requests ended in a crash', () => {
  const evidence = createEvidence();
  const blames = [1, 2, 3, 4].flatMap(count => {
    evidence.recordSound('shared');
    return evidence.recordCrash(
      createReport(`e${count}`, `q${count}`, ['shared', 'bad']),
      count * SECOND_MS,
    );
  });
  assert.deepEqual(
    blames.map(blame => blame.partId),
    ['bad'],
  );
});

test('a prompt that is known to crash engines does not hide a crash under a part of another prompt', () => {
  const evidence = createEvidence(new Set(['prompt:known']));
  for (let count = 1; count <= 2; count++) {
    const report = createReport(`e${count}`, `q${count}`, ['bad']);
    const known = {
      requestId: `known-${count}`,
      parts: ['first'],
      promptId: 'prompt:known',
      hasBegun: true,
    };
    evidence.recordCrash(
      {...report, streams: [...report.streams, known]},
      count * SECOND_MS,
    );
  }
  assert.equal(evidence.countCrashes('bad'), 2);
});

// A node reports its streams when it notices a crash, which may be after another node has reported a later crash.
test('a part is not blamed for want of crashes when a report of an earlier crash comes late', () => {
  const evidence = createEvidence();
  const record = (serverId: string, requestId: string, parts: string[]) => {
    const report = {streamCount: 40, brokenCount: 8, begunCount: 8};
    return (atMs: number) =>
      evidence.recordCrash(
        {...createReport(serverId, requestId, parts), ...report},
        atMs,
      );
  };
  const blames = [
    ...record('e1', 'other', ['other'])(1_000),
    ...record('e2', 'q1', ['sound'])(1_100),
    ...record('e1', 'q2', ['sound'])(1_150),
    ...record('e3', 'q3', ['sound'])(1_300),
  ];
  assert.equal(evidence.countCrashes('sound'), 3);
  assert.deepEqual(blames, []);
});

test('a completed answer clears a part', () => {
  const evidence = createEvidence();
  for (let count = 1; count <= 10; count++) {
    const report = createReport(`e${count}`, `q${count}`, ['part']);
    assert.deepEqual(evidence.recordCrash(report, count * SECOND_MS), []);
    if (count % 2 === 0) evidence.recordSound('part');
  }
});

test('a part that only some of the prompts share is blamed before the one that all of them share', () => {
  const evidence = createEvidence();
  const blamed = [1, 2, 3, 4, 5, 6, 7, 8].flatMap(count =>
    evidence.recordCrash(
      createReport(`e${count}`, `q${count}`, ['first', `bad-${count % 2}`]),
      count * SECOND_MS,
    ),
  );
  assert.deepEqual(blamed.map(blame => blame.partId).sort(), [
    'bad-0',
    'bad-1',
  ]);
});

/** Counts the crashes after which a part is blamed while many requests wait for answers that have not begun. */
function countCrashesUntilBlame(hasBegun: boolean): number {
  const evidence = createEvidence();
  for (let count = 1; count <= 20; count++) {
    const report = {
      ...createReport(`e${count}`, `q${count}`, ['part']),
      streams: [{requestId: `q${count}`, parts: ['part'], hasBegun}],
      brokenCount: 100,
      begunCount: 20,
    };
    const blames = evidence.recordCrash(report, count * SECOND_MS);
    if (blames.length > 0) return count;
  }
  return Number.POSITIVE_INFINITY;
}

test('requests that only waited when engines crashed do not hide a part whose answers had begun', () => {
  const crashes = countCrashesUntilBlame(true);
  assert.ok(crashes <= 4, `${crashes} crashes`);
  assert.ok(countCrashesUntilBlame(false) > crashes);
});

test('a part that was answered lately is blamed only after more crashes, but it is blamed', () => {
  const countUntilBlame = (answeredParts: readonly string[]) => {
    const evidence = createEvidence();
    return [1, 2, 3, 4, 5, 6, 7, 8, 9].find(count => {
      const report = {
        ...createReport(`e${count}`, `q${count}`, ['part']),
        streams: [
          {
            requestId: `q${count}`,
            parts: ['part'],
            answeredParts,
            hasBegun: true,
          },
        ],
        brokenCount: 40,
        begunCount: 40,
      };
      return evidence.recordCrash(report, count * SECOND_MS).length > 0;
    });
  };
  assert.equal(countUntilBlame([]), 4);
  assert.equal(countUntilBlame(['other']), 4);
  assert.equal(countUntilBlame(['part']), 5);
});

test('engines that crash at the same moment count as one crash', () => {
  const evidence = createEvidence();
  for (let count = 1; count <= 10; count++) {
    const report = createReport(`e${count}`, `q${count}`, ['part']);
    assert.deepEqual(evidence.recordCrash(report, SECOND_MS + count), []);
  }
  assert.equal(evidence.countCrashes('part'), 1);
});

test('two requests that crash one engine after the other are no evidence against their parts', () => {
  const evidence = createEvidence();
  for (let count = 1; count <= 10; count++) {
    const request = `q${count % 2}`;
    const report = createReport(`e${count}`, request, ['part']);
    assert.deepEqual(evidence.recordCrash(report, count * SECOND_MS), []);
  }
  assert.equal(evidence.countCrashes('part'), 10);
});

test('requests that crash two engines each count for both', () => {
  const evidence = createEvidence();
  const blamedAfter = [1, 2, 3, 4, 5, 6].find(count => {
    const request = `q${Math.ceil(count / 2)}`;
    const report = createReport(`e${count}`, request, ['part']);
    return evidence.recordCrash(report, count * SECOND_MS).length > 0;
  });
  assert.equal(blamedAfter, 5);
});

test('of several parts that explain all crashes, the last one is blamed, and the others are cleared', () => {
  const evidence = createEvidence();
  const blames = [1, 2, 3, 4, 5].flatMap(count =>
    evidence.recordCrash(
      createReport(`e${count}`, `q${count}`, ['first', 'second']),
      count * SECOND_MS,
    ),
  );
  assert.equal(blames[0].partId, 'second');
  assert.equal(evidence.countCrashes('second') < 3, true);
  assert.equal(evidence.countCrashes('first') < 3, true);
});

test('crashes under a known part say nothing about the other parts', () => {
  const evidence = createEvidence(new Set(['bad']));
  for (let count = 1; count <= 10; count++) {
    const report = createReport(`e${count}`, `q${count}`, ['first', 'bad']);
    assert.deepEqual(evidence.recordCrash(report, count * SECOND_MS), []);
  }
  assert.equal(evidence.isDoubted('first'), false);
});

test('reports of several nodes on one process are one crash, and a restarted process is another', () => {
  const evidence = createEvidence();
  const report = createReport('e1', 'q1', ['part']);
  evidence.recordCrash(report, 1_000);
  evidence.recordCrash(
    {
      ...report,
      from: 'front-2',
      streams: [{requestId: 'q2', parts: ['part'], hasBegun: true}],
    },
    1_400,
  );
  assert.equal(evidence.countCrashes('part'), 1);
  assert.equal(evidence.hasCrashed('e1', 1, 900), true);
  assert.equal(evidence.hasCrashed('e1', 2, 900), false);
  evidence.recordCrash(
    {
      ...report,
      startedAtMs: 2,
      streams: [{requestId: 'q3', parts: ['part'], hasBegun: true}],
    },
    1_900,
  );
  assert.equal(evidence.countCrashes('part'), 2);
});

test('old crashes are forgotten', () => {
  const evidence = createEvidence();
  evidence.recordCrash(createReport('e1', 'q1', ['part']), 0);
  evidence.recordCrash(createReport('e2', 'q2', ['other']), 400 * SECOND_MS);
  assert.equal(evidence.isDoubted('part'), false);
});

const SEEDS = 40;
const BASE: Omit<CrashModelOptions, 'seed'> = {
  durationMs: 40_000,
  engines: 8,
  soundRatePerS: 60,
  soundParts: 30,
  deadlyRatePerS: 0,
  deadlyParts: [],
  crashRatePerS: 0,
  crashedEngines: 1,
};

function runSeeds(options: Partial<CrashModelOptions>) {
  return Array.from({length: SEEDS}, (_, seed) =>
    runCrashModel({...BASE, ...options, seed}),
  );
}

const ORDINARY_CRASHES: ReadonlyArray<
  readonly [string, Partial<CrashModelOptions>]
> = [
  ['few', {crashRatePerS: 0.1}],
  ['many', {crashRatePerS: 0.8}],
  ['very many', {crashRatePerS: 3}],
  [
    'a fourth of the engines at a time',
    {crashRatePerS: 0.2, crashedEngines: 2},
  ],
  ['all engines at a time', {crashRatePerS: 0.2, crashedEngines: 8}],
  ['rare parts', {crashRatePerS: 1, soundParts: 300}],
  ['a few parts', {crashRatePerS: 1, soundParts: 2}],
];

for (const [title, options] of ORDINARY_CRASHES) {
  test(`ordinary crashes blame no part: ${title}`, () => {
    const results = runSeeds(options);
    const blames = results.flatMap(result => result.blames);
    assert.ok(results.some(result => result.crashCount > 0));
    assert.deepEqual(blames, []);
  });
}

/** Days with 0.8 crashes a second, at nodes that each see a twelfth of the answers. */
const SPREAD_SEEDS = 150;

test('ordinary crashes blame no part in many days with twelve nodes, and few of the prompts that are sent again', () => {
  const results = Array.from({length: SPREAD_SEEDS}, (_, seed) =>
    runCrashModel({...BASE, crashRatePerS: 0.8, nodes: 12, retries: 1, seed}),
  );
  const blamed = results.flatMap(({blames}) =>
    blames.map(blame => blame.partId),
  );
  const prompts = blamed.filter(isPromptId);
  assert.deepEqual(
    blamed.filter(id => !isPromptId(id)),
    [],
  );
  const repeated = results.reduce((sum, day) => sum + day.repeatedPrompts, 0);
  assert.ok(prompts.length / repeated < 0.03, `${prompts.length}/${repeated}`);
});

const DEADLY_PARTS: ReadonlyArray<
  readonly [string, Partial<CrashModelOptions>]
> = [
  ['seldom', {deadlyParts: ['d0'], deadlyRatePerS: 0.4}],
  ['often', {deadlyParts: ['d0'], deadlyRatePerS: 3}],
  ['three at once', {deadlyParts: ['d0', 'd1', 'd2'], deadlyRatePerS: 1}],
  [
    'two beside ordinary crashes',
    {deadlyParts: ['d0', 'd1'], deadlyRatePerS: 1, crashRatePerS: 0.3},
  ],
];

/** So many engines are down that sound requests end in crashes as often as not. */
const COLLAPSES: typeof DEADLY_PARTS = [
  ['in a fifth of all requests', {deadlyParts: ['d0'], deadlyRatePerS: 15}],
  [
    'five at once',
    {deadlyParts: ['d0', 'd1', 'd2', 'd3', 'd4'], deadlyRatePerS: 1},
  ],
];

for (const [name, options] of [...DEADLY_PARTS, ...COLLAPSES]) {
  const title = `each deadly part and no other is blamed, in time: ${name}`;
  test(title, getKnownRedOptions(title), () => {
    for (const [seed, result] of runSeeds(options).entries()) {
      const blamed = result.blames.map(blame => blame.partId).sort();
      assert.deepEqual(blamed, options.deadlyParts, `seed ${seed}`);
      for (const [part, times] of result.deadlyCrashes) {
        const boundMs = computeBoundMs(times);
        const sends = result.deadlySends.get(part) ?? [];
        const late = sends.filter(atMs => atMs > boundMs);
        assert.ok(
          late.length <= MAX_LATE_REQUESTS,
          `seed ${seed}: ${late.length} late requests, ${times.length} crashes`,
        );
      }
    }
  });
}
