/** Load and time estimates of an engine from lagging reports. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineReport} from '../../src/backends';
import {
  addWork,
  applyReport,
  createEngineLoad,
  createRoleLoad,
  recordProgress,
  removeWork,
  setRoleLoad,
} from '../../src/routing/engine_load';
import {
  getPrefillBacklog,
  getRequestCount,
  hasCapacity,
  predictTimes,
} from '../../src/routing/estimate';
import {createOutputEstimate} from '../../src/routing/output_estimate';

function createReport(given: Partial<EngineReport> = {}): EngineReport {
  return {
    engine: 'engine-0',
    sequence: 1,
    incarnation: 'one',
    role: 'mixed',
    state: 'ready',
    models: ['small'],
    adapters: [],
    version: '1',
    running: 0,
    waiting: 0,
    prefillTokens: 0,
    decodeTokens: 0,
    freePieces: 256,
    totalPieces: 256,
    prefillTokensPerS: 10_000,
    decodeStepMs: 10,
    decodeStepMsPerRequest: 1,
    maxRunning: 8,
    fencingNumber: 0,
    ...given,
  };
}

test('a lagging report neither double-counts nor loses work of the node itself', () => {
  const load = createEngineLoad();
  const early = {
    prefillTokens: 1_000,
    urgentPrefillTokens: 0,
    decodeTokens: 100,
    kvPieces: 1,
  };
  addWork(load, early, 1_000);
  const late = {
    prefillTokens: 3_000,
    urgentPrefillTokens: 0,
    decodeTokens: 100,
    kvPieces: 2,
  };
  addWork(load, late, 5_000);
  // The report shows the engine as it was at 3,000 ms: this node's first request and 2 of other nodes.
  const report = createReport({
    running: 3,
    prefillTokens: 2_500,
    decodeTokens: 300,
    freePieces: 252,
  });
  applyReport(load, report, 6_000, 3_000);
  assert.equal(getRequestCount(load, 6_000), 4);
  assert.equal(getPrefillBacklog(load, 6_000), 1_500 + 1_000 + 3_000);
  recordProgress(load, early, 1, 6_100);
  removeWork(load, early, 6_200);
  assert.equal(getRequestCount(load, 6_200), 3);
  assert.equal(getPrefillBacklog(load, 6_200), 1_500 + 3_000);
});

test('urgent requests are predicted a shorter queue and are admitted where others are not', () => {
  const load = createEngineLoad();
  const report = createReport({running: 2, prefillTokens: 9_000});
  applyReport(load, report, 0, 0);
  const job = {promptTokens: 1_000, outputTokens: 11, isUrgent: false};
  const urgent = {...job, isUrgent: true};
  const nonUrgent = predictTimes(load, report, job, {nowMs: 0});
  // 10,000 tokens in steps that prefill 256 tokens and decode for 2 requests: 25.6 + 12 ms each.
  assert.equal(nonUrgent.firstTokenMs, (10_000 / 256) * 37.6);
  assert.equal(nonUrgent.completionMs, nonUrgent.firstTokenMs + 10 * 13);
  const fast = predictTimes(load, report, urgent, {nowMs: 0});
  assert.ok(fast.firstTokenMs < nonUrgent.firstTokenMs / 2);
  const limits = {
    maxPrefillBacklogMs: 700,
    maxNonUrgentBatchFraction: 1,
    urgentFactor: 2,
  };
  assert.equal(hasCapacity(load, report, job, {nowMs: 0, limits}), false);
  assert.equal(hasCapacity(load, report, urgent, {nowMs: 0, limits}), true);
});

test('an engine with full KV memory has no capacity, and an expired report is ignored', () => {
  const load = createEngineLoad();
  const report = createReport({running: 1, freePieces: 1});
  applyReport(load, report, 0, 0);
  const limits = {
    maxPrefillBacklogMs: 700,
    maxNonUrgentBatchFraction: 1,
    urgentFactor: 2,
  };
  const job = {promptTokens: 4_000, outputTokens: 200, isUrgent: false};
  assert.equal(hasCapacity(load, report, job, {nowMs: 0, limits}), false);
  assert.equal(hasCapacity(load, report, job, {nowMs: 60_000, limits}), true);
});

test('the batch is kept small while there are urgent requests', () => {
  const load = createEngineLoad();
  const roleLoad = createRoleLoad();
  setRoleLoad(load, roleLoad);
  const report = createReport({running: 5});
  applyReport(load, report, 0, 0);
  const limits = {
    maxPrefillBacklogMs: 700,
    maxNonUrgentBatchFraction: 0.5,
    urgentFactor: 2,
  };
  const job = {promptTokens: 100, outputTokens: 10, isUrgent: false};
  assert.equal(hasCapacity(load, report, job, {nowMs: 0, limits}), true);
  roleLoad.urgentFraction = 0.2;
  assert.equal(hasCapacity(load, report, job, {nowMs: 0, limits}), false);
  const urgent = {...job, isUrgent: true};
  assert.equal(hasCapacity(load, report, urgent, {nowMs: 0, limits}), true);
});

test('answer lengths are learned for each key, in a bounded number of keys', () => {
  const estimate = createOutputEstimate({capacity: 100});
  for (let round = 0; round < 200; round++) {
    estimate.record('short', 'small', 20, 2_000);
    estimate.record('long', 'small', 1_000, 2_000);
  }
  const short = estimate.getTokens('short', 'small', 2_000);
  assert.ok(short >= 15 && short <= 30, `${short}`);
  const long = estimate.getTokens('long', 'small', 2_000);
  assert.ok(long >= 700 && long <= 1_400, `${long}`);
  // The learned value is a fraction of `maxTokens`, so the estimate scales with it.
  assert.equal(estimate.getTokens('long', 'small', 50), 25);
  for (let key = 0; key < 1_000; key++)
    estimate.record(`${key}`, 'small', 5, 10);
  assert.equal(estimate.getSize(), 100);
});
