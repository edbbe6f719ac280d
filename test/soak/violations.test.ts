/** The rules of the soak test on false answers, and what its runs in CI show. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FALSE_ANSWERS} from '../platform/false_answers';
import type {CallerAnswer} from '../platform/system';
import {tryParseAnswer} from './raw_connection';
import {buildFalseAnswers, createFalseDraw} from './schedule';
import {HOSTILE_SEEDS, SEEDS} from './seeds';
import {listViolations, type SoakRequest} from './violations';

function listRules(kind: SoakRequest['kind'], answer: Partial<CallerAnswer>) {
  const whole: CallerAnswer = {
    status: 200,
    headers: {
      'anvilstack-request-id': 'c1',
      'anvilstack-response-seal': 'seal-of-app-1',
    },
    body: `app-1 did POST /${kind}/c1`,
    isComplete: true,
    elapsedMs: 1,
    ...answer,
  };
  const request = {id: 'c1', kind, node: 'n', sentAtMs: 0, answer: whole};
  return listViolations({
    requests: [request],
    servers: [],
    startedAtMs: 0,
    disturbedNodes: new Set(),
  }).map(text => text.split(':')[0]);
}

// Guards against a soak test that shows false answers and overlooks those that reach callers.
test('an invalid status, and a short or false body that looks complete, are violations', () => {
  for (const status of [0, 99, 101, 204, 304, 600, 999]) {
    assert.deepEqual(listRules('look', {status}), ['STATUS'], String(status));
  }
  assert.deepEqual(listRules('look', {body: 'app-1 did '}), ['MIXED']);
  const cut = 'id: 1\ndata: piece 1\n\nid: 2\ndata: ';
  assert.deepEqual(listRules('ask', {body: cut}), ['ORDER']);
  for (const answer of [
    {},
    {body: 'app-1 did ', isComplete: false},
    {status: 502, body: ''},
    // No head came: the caller gave up or the connection broke.
    {status: 0, headers: {}, body: '', isComplete: false},
  ]) {
    assert.deepEqual(listRules('look', answer), []);
  }
});

// Guards against a parser that skips these as interim answers.
test('a caller that reads bytes sees the statuses 000, 099 and 101', () => {
  for (const status of ['000', '099', '101']) {
    const text = `HTTP/1.1 ${status} OK\r\nContent-Length: 4\r\n\r\npart`;
    const parsed = tryParseAnswer(text, false);
    assert.equal(parsed?.answer.status, Number(status));
  }
});

// Guards against runs in which a kind of false answer does not occur.
test('the runs of CI show each false answer by plain and by stream services', () => {
  const shown = new Set<string>();
  for (const [seeds, isHostile] of [
    [SEEDS, false],
    [HOSTILE_SEEDS, true],
  ] as const) {
    for (const seed of seeds) {
      const faults = buildFalseAnswers({
        draw: createFalseDraw(seed, isHostile),
        runDurationMs: 6_000,
        servers: 8,
        plainServers: 3,
      });
      for (const {fault} of faults) {
        if (fault.kind !== 'server') continue;
        shown.add(`${fault.fault} ${fault.server < 3 ? 'plain' : 'stream'}`);
      }
    }
  }
  assert.equal(shown.size, FALSE_ANSWERS.length * 2, [...shown].join());
});
