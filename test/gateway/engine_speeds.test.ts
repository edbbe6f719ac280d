/** Engines of another speed than the sheets': learned from answers, told to nodes that start. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeReadMs} from '../../src/gateway/engine_costs';
import {createEngineSpeeds} from '../../src/gateway/engine_speeds';

/** Engines that read five times as fast as the sheet says. */
const FAST = 0.2;
const PROMPTS = [900, 4_000, 9_200, 2_500, 17_000];

function createTaught(reads: number, factor = FAST) {
  const speeds = createEngineSpeeds();
  for (let index = 0; index < reads; index++) {
    const sheetMs = computeReadMs(PROMPTS[index % PROMPTS.length], 0);
    speeds.recordRead('llm', sheetMs, sheetMs * factor);
  }
  return speeds;
}

function assertNear(actual: number, expected: number, part: number): void {
  const isNear = Math.abs(actual - expected) <= part * expected;
  assert.ok(isNear, `${actual}, expected about ${expected}`);
}

test('the first answers correct the speed of the sheet', () => {
  const speeds = createTaught(3);
  const expectedMs = computeReadMs(9_200, 2_000) * FAST;
  assertNear(speeds.predictReadMs('llm', 9_200, 2_000), expectedMs, 0.05);
  const plainMs = computeReadMs(9_200, 2_000);
  assert.equal(speeds.predictReadMs('other', 9_200, 2_000), plainMs);
});

test('a speed that changes is followed', () => {
  const speeds = createTaught(100);
  for (let index = 0; index < 150; index++) {
    speeds.recordRead('llm', 100, 100);
  }
  assertNear(speeds.getReadFactor('llm'), 1, 0.1);
});

test('an engine that stalls does not set the speed of all', () => {
  const speeds = createTaught(50);
  speeds.recordRead('llm', 100, 5_000);
  assertNear(speeds.getReadFactor('llm'), FAST, 0.1);
});

test('the time of streams is learned by route', () => {
  const speeds = createEngineSpeeds();
  for (let index = 0; index < 50; index++) {
    speeds.recordRun('llm', 'short', index % 2 === 0 ? 10 : 30);
    speeds.recordRun('llm', 'long', 3_500);
  }
  assertNear(speeds.predictRunMs('llm', 'short'), 20, 0.05);
  assertNear(speeds.predictRunMs('llm', 'long'), 3_500, 0.01);
  const started = createEngineSpeeds();
  started.addFigures(speeds.listFigures());
  assertNear(started.predictRunMs('llm', 'long'), 3_500, 0.01);
});

test('a node that starts takes what others have measured, one that has measured does not', () => {
  const figures = createTaught(30).listFigures();
  const started = createEngineSpeeds();
  started.addFigures(figures);
  assertNear(started.getReadFactor('llm'), FAST, 0.01);
  const taught = createTaught(30, 0.5);
  taught.addFigures(figures);
  assertNear(taught.getReadFactor('llm'), 0.5, 0.01);
});
