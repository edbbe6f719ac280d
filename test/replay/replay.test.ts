/** Replays are deterministic, and their outcome counts every request once. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  checkOutcome,
  createTrace,
  listScenarios,
  type Outcome,
  ReplayPolicy,
  replayTrace,
  type Trace,
} from '../../src/replay';

function createShortTrace(name: string, untilMs: number): Trace {
  const scenario = listScenarios().find(item => item.name === name);
  assert.ok(scenario);
  const trace = createTrace(scenario.spec);
  const requests = trace.requests.filter(item => item.at_ms < untilMs);
  return {...trace, requests};
}

function checkSum(outcome: Outcome): void {
  const {requests, delivered, refused, may_have_run} = outcome;
  assert.equal(delivered + refused + may_have_run, requests);
  assert.equal(outcome.in_deadline + outcome.late, delivered);
}

test('the same trace, policy and seed give a byte-identical result', async () => {
  const trace = createShortTrace('tatranska-faults', 25_000);
  const options = {seed: 3, settings: {withTimeline: true}};
  const first = JSON.stringify(await replayTrace(trace, options));
  const second = JSON.stringify(await replayTrace(trace, options));
  assert.equal(first, second);
});

test('with every policy, each request ends exactly once: answered, refused or failed', async () => {
  const trace = createShortTrace('boeiboord-faults', 15_000);
  for (const policy of Object.values(ReplayPolicy)) {
    const {outcome, series} = await replayTrace(trace, {policy});
    checkSum(outcome);
    assert.equal(outcome.policy, policy);
    assert.equal(outcome.requests, trace.requests.length);
    const arrived = series.reduce((sum, point) => sum + point.arrived, 0);
    assert.equal(arrived, outcome.requests);
  }
});

test('a booking sent three times with one key runs once', async () => {
  const trace = createShortTrace('tatranska-log', 1);
  const booking = {
    at_ms: 0,
    client_account: 'choir-union',
    kind: 'service' as const,
    service: 'order-desk',
    prompt_tokens: 0,
    output_tokens: 0,
    deadline_ms: 8_000,
    urgent: false,
    idempotent: false,
    key: 'k1',
    prefix_tokens: 0,
  };
  const requests = [0, 1, 400].map(atMs => ({...booking, at_ms: atMs}));
  const {outcome} = await replayTrace({...trace, requests});
  assert.equal(outcome.delivered, 3);
  assert.equal(outcome.run_twice, 0);
});

test('a violated bound is listed with the value of its field', async () => {
  const trace = createShortTrace('boeiboord-steady', 2_000);
  const {outcome} = await replayTrace(trace);
  assert.deepEqual(checkOutcome(outcome, {cut: {max: 0}}), []);
  assert.deepEqual(checkOutcome(outcome, {cut: {min: 1}, unknown: {min: 0}}), [
    {field: 'cut', value: outcome.cut, min: 1},
    {field: 'unknown', value: NaN, min: 0},
  ]);
});
