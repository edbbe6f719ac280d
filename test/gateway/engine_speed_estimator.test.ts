/** Engines whose speed differs from the nominal one: it is estimated from answers and passed to nodes that start. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computePrefillMs} from '../../src/gateway/engine_costs';
import {createEngineSpeedEstimator} from '../../src/gateway/engine_speed_estimator';

/** Ratio of observed to nominal time of engines that prefill five times as fast as stated. */
const FAST_FACTOR = 0.2;
const PROMPTS = [900, 4_000, 9_200, 2_500, 17_000];

function createTrained(prefills: number, factor = FAST_FACTOR) {
  const speeds = createEngineSpeedEstimator();
  for (let index = 0; index < prefills; index++) {
    const nominalMs = computePrefillMs(PROMPTS[index % PROMPTS.length], 0);
    speeds.recordPrefill('llm', nominalMs, nominalMs * factor);
  }
  return speeds;
}

function assertNear(actual: number, expected: number, tolerance: number): void {
  const isNear = Math.abs(actual - expected) <= tolerance * expected;
  assert.ok(isNear, `${actual}, expected about ${expected}`);
}

test('the first answers correct the nominal speed', () => {
  const speeds = createTrained(3);
  const expectedMs = computePrefillMs(9_200, 2_000) * FAST_FACTOR;
  assertNear(speeds.predictPrefillMs('llm', 9_200, 2_000), expectedMs, 0.05);
  const nominalMs = computePrefillMs(9_200, 2_000);
  assert.equal(speeds.predictPrefillMs('other', 9_200, 2_000), nominalMs);
});

test('the estimate follows a change of speed', () => {
  const speeds = createTrained(100);
  for (let index = 0; index < 150; index++) {
    speeds.recordPrefill('llm', 100, 100);
  }
  assertNear(speeds.getPrefillFactor('llm'), 1, 0.1);
});

test('one sample of a stalled engine does not distort the estimate', () => {
  const speeds = createTrained(50);
  speeds.recordPrefill('llm', 100, 5_000);
  assertNear(speeds.getPrefillFactor('llm'), FAST_FACTOR, 0.1);
});

test('the slot time of streams is estimated by route', () => {
  const speeds = createEngineSpeedEstimator();
  for (let index = 0; index < 50; index++) {
    speeds.recordRun('llm', 'short', index % 2 === 0 ? 10 : 30);
    speeds.recordRun('llm', 'long', 3_500);
  }
  assertNear(speeds.predictRunMs('llm', 'short'), 20, 0.05);
  assertNear(speeds.predictRunMs('llm', 'long'), 3_500, 0.01);
  const newNode = createEngineSpeedEstimator();
  newNode.addEstimates(speeds.listEstimates());
  assertNear(newNode.predictRunMs('llm', 'long'), 3_500, 0.01);
});

test('a new node adopts the estimates of others, one with enough samples does not', () => {
  const estimates = createTrained(30).listEstimates();
  const newNode = createEngineSpeedEstimator();
  newNode.addEstimates(estimates);
  assertNear(newNode.getPrefillFactor('llm'), FAST_FACTOR, 0.01);
  const trained = createTrained(30, 0.5);
  trained.addEstimates(estimates);
  assertNear(trained.getPrefillFactor('llm'), 0.5, 0.01);
});
