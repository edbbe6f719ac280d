/** Compares explanations with what the gateway does with the same requests. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  buildExplanation,
  type Explanation,
  type Outcome,
} from '../../src/explain';
import {createRandomFleet, type Decision} from './random_fleet';

const FLEETS = 10_000;
/** Difference of retry times that the header's rounding to milliseconds causes. */
const ROUNDING_MS = 1;

function listOutcomes({refusal, targets}: Explanation): Outcome[] {
  if (refusal !== undefined) return [refusal];
  return targets.flatMap(({outcomes}) => outcomes);
}

function isSame(outcome: Outcome, decision: Decision): boolean {
  if (outcome.kind !== decision.kind) return false;
  if (outcome.kind === 'send') return outcome.serverId === decision.serverId;
  if (outcome.kind !== 'refuse') return true;
  const {status, reason, retryAfterMs} = outcome;
  if (status !== decision.status || reason !== decision.reason) return false;
  if (retryAfterMs === undefined) return decision.retryAfterMs === undefined;
  const actualMs = decision.retryAfterMs ?? Number.NaN;
  return (
    actualMs >= retryAfterMs.min - ROUNDING_MS &&
    actualMs <= retryAfterMs.max + ROUNDING_MS
  );
}

test(`in ${FLEETS} random fleets, the gateway does what the explanation says`, () => {
  const kinds = new Map<string, number>();
  let exactCount = 0;
  let incompleteCount = 0;
  for (let seed = 0; seed < FLEETS; seed++) {
    const fleet = createRandomFleet(seed);
    const request = fleet.createRequest();
    const explanation = buildExplanation(fleet.options, request);
    const outcomes = listOutcomes(explanation);
    const decision = fleet.decide(request);
    const kind = `${decision.kind} ${decision.reason ?? ''}`.trim();
    kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
    const isComplete = explanation.targets.every(item => item.isComplete);
    if (!isComplete) {
      incompleteCount++;
      continue;
    }
    if (outcomes.length === 1) exactCount++;
    assert.ok(
      outcomes.some(outcome => isSame(outcome, decision)),
      `seed ${seed}: ${JSON.stringify({request, decision, outcomes})}`,
    );
    const chosen = explanation.targets.flatMap(item =>
      item.candidates.filter(({isPossible}) => isPossible).map(({id}) => id),
    );
    if (decision.kind === 'send') {
      assert.ok(chosen.includes(decision.serverId ?? ''), `seed ${seed}`);
    }
  }
  // The comparison says little unless all kinds of decisions occur, and most have one outcome.
  for (const kind of [
    'send',
    'wait',
    'trial',
    'refuse no route',
    'refuse state-outdated',
    'refuse key-missing',
    'refuse key-unknown',
    'refuse gateway is stopping',
    'refuse engines are busy',
    'refuse account-share',
    'refuse no engine is available',
    'refuse no decode engine is available',
    'refuse no server of the service is available',
    'refuse a part of the prompt crashes engines',
    'refuse the prompt crashes engines',
  ]) {
    assert.ok((kinds.get(kind) ?? 0) > 0, `no decision is '${kind}'`);
  }
  assert.ok(exactCount > FLEETS / 2, `${exactCount} with one outcome`);
  assert.ok(incompleteCount < FLEETS / 50, `${incompleteCount} incomplete`);
});

test('each outcome that an explanation lists is reached by some random choice', () => {
  let comparedCount = 0;
  for (let seed = 0; seed < 2_000; seed++) {
    const fleet = createRandomFleet(seed);
    const request = fleet.createRequest();
    const explanation = buildExplanation(fleet.options, request);
    const outcomes = listOutcomes(explanation);
    const isReturning = explanation.targets
      .flatMap(({candidates}) => candidates)
      .some(({healthyChance}) => healthyChance > 0 && healthyChance < 1);
    if (outcomes.length < 2 || outcomes.length > 6 || isReturning) continue;
    if (explanation.targets.length > 1) continue;
    // The range of random scores of a plain service may make a choice very unlikely.
    if (explanation.route?.kind !== 'stream') continue;
    if (explanation.targets[0].workMs === undefined) continue;
    comparedCount++;
    const reached = new Set<Outcome>();
    for (let run = 0; run < 80; run++) {
      const other = createRandomFleet(seed, 2_000_000 + run);
      const decision = other.decide(other.createRequest());
      for (const outcome of outcomes) {
        if (isSame(outcome, decision)) reached.add(outcome);
      }
    }
    assert.equal(
      reached.size,
      outcomes.length,
      `seed ${seed}: ${JSON.stringify(outcomes)}`,
    );
  }
  assert.ok(comparedCount > 20, `${comparedCount} compared`);
});

test('explaining changes no state and no later decision', () => {
  for (let seed = 0; seed < 1_000; seed++) {
    const plain = createRandomFleet(seed);
    const explained = createRandomFleet(seed);
    for (let round = 0; round < 8; round++) {
      const request = plain.createRequest();
      assert.deepEqual(explained.createRequest(), request);
      for (let index = 0; index < 3; index++) {
        buildExplanation(explained.options, request);
      }
      assert.equal(explained.countTimers(), plain.countTimers());
      assert.deepEqual(
        explained.decide(request),
        plain.decide(request),
        `seed ${seed}, round ${round}`,
      );
      const waitMs = [0, 20, 400][round % 3];
      plain.advance(waitMs);
      explained.advance(waitMs);
    }
    const actual = removeTimes(explained.renderState());
    const expected = removeTimes(plain.renderState());
    assert.ok(
      actual === expected,
      `seed ${seed}: ${tryFindDifference(actual, expected)}`,
    );
  }
});

/** Returns the text around the first difference. */
function tryFindDifference(actual: string, expected: string): string {
  const at = [...actual].findIndex((char, index) => char !== expected[index]);
  return `${actual.slice(at - 80, at + 80)} / ${expected.slice(at, at + 80)}`;
}

/** Removes wall times and the numbers of requests, which differ between the two fleets. */
function removeTimes(text: string): string {
  return text
    .replace(/request-\d+/g, 'request')
    .replace(/\\"timestamp\\":\\"[^"]*\\"/g, '');
}

test('an explanation is the same when it is built again, and has no digest of a key', () => {
  for (let seed = 0; seed < 500; seed++) {
    const fleet = createRandomFleet(seed);
    const request = fleet.createRequest();
    const text = JSON.stringify(buildExplanation(fleet.options, request));
    assert.equal(
      JSON.stringify(buildExplanation(fleet.options, request)),
      text,
    );
    assert.doesNotMatch(text, /digest/);
  }
});
