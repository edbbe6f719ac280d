/** Consistency checks of templates beyond the schema. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {checkTemplate} from '../../src/state';
import {createAccountTemplate} from '../support/account_template';

const OLD = {buildings: ['old']};
const NEW = {buildings: ['new']};

function createStage(
  name: string,
  kind: string,
  startsAt: string,
  share = 0,
): Record<string, unknown> {
  return {name, kind, starts_at: startsAt, share, from: OLD, to: NEW};
}

function listProblems(values: Record<string, unknown>): string[] {
  return checkTemplate(createAccountTemplate('a1', values)).map(
    problem => `${problem.path.join('.')}: ${problem.message}`,
  );
}

test('a valid move and valid request classes have no problems', () => {
  assert.deepEqual(
    listProblems({
      services: ['desk'],
      request_class: [
        {name: 'order', kind: 'service', service: 'desk', idempotent: false},
        {name: 'small', kind: 'model', model: 'small'},
        {name: 'other', kind: 'model'},
      ],
      move: {
        roll_back_to: 'half',
        stages: [
          createStage('copy', 'prepare_weights', '2026-12-05T00:00:00Z'),
          createStage('half', 'shift', '2026-12-05T02:00:00Z', 0.5),
          createStage('whole', 'shift', '2026-12-05T04:00:00+01:00', 1),
          createStage('empty', 'drain', '2026-12-05T05:00:00Z', 1),
          createStage('done', 'done', '2026-12-05T06:00:00Z', 1),
        ],
      },
    }),
    [],
  );
});

test('each problem of a move is reported with its path', () => {
  assert.deepEqual(
    listProblems({
      move: {
        roll_back_to: 'nowhere',
        stages: [
          createStage('half', 'shift', '2026-12-05T02:00:00Z', 0.5),
          createStage('less', 'shift', '2026-12-05T01:00:00Z', 0.25),
          createStage('half', 'drain', '2026-12-05T05:00:00Z'),
          {...createStage('back', 'shift', '2026-12-05T06:00:00Z', 1), to: OLD},
        ],
      },
    }),
    [
      "move.roll_back_to: no stage named 'nowhere'",
      "move.stages.1.starts_at: starts before the preceding stage 'half'",
      'move.stages.1.share: share 0.25 after 0.5: shares must not decrease',
      "move.stages.2.name: duplicate stage 'half'",
      'move.stages.2.kind: drains while the last shift leaves 0.75 of the requests behind',
      "move.stages.3.kind: 'shift' cannot follow 'drain'",
      'move.stages.3.to: selects the same servers as `from`',
    ],
  );
});

test('invalid request classes and those that never match are reported', () => {
  assert.deepEqual(
    listProblems({
      request_class: [
        {name: 'all', kind: 'model'},
        {name: 'all', kind: 'model', model: 'small'},
        {name: 'order', kind: 'service', service: 'desk', model: 'small'},
      ],
    }),
    [
      "request_class.1.name: duplicate class 'all'",
      "request_class.1: never matches: class 'all' matches its requests first",
      "request_class.2.model: a class of kind 'service' cannot name a model",
      "request_class.2.service: never matches: 'desk' is not in 'services'",
    ],
  );
});
