/** Tests of the logger: redaction, fields of child loggers, and level changes at run time. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLogger, type LogFields} from '../../src/diagnostics';
import {createSecret} from '../../src/settings';

function createFixture(format: 'json' | 'text' = 'json') {
  const lines: string[] = [];
  const logger = createLogger({
    node: 'node-1',
    format,
    write: line => void lines.push(line),
  });
  return {lines, logger};
}

const FIELDS: LogFields = {
  requestId: 'req-1',
  prompt: 'HIDE-1',
  messages: [{role: 'user', content: 'HIDE-2'}],
  headers: {authorization: 'Bearer HIDE-3', cookie: 'HIDE-4'},
  idempotencyKey: 'HIDE-5',
  nested: {deeper: {apiKey: 'HIDE-6', api_key: 'HIDE-7', secret: 'HIDE-8'}},
  note: 'call with Bearer HIDE-9 failed',
  peer: createSecret('HIDE-10'),
  cause: new Error('Authorization: Basic HIDE-11'),
};

for (const format of ['json', 'text'] as const) {
  test(`${format} lines contain no prompts, responses, keys or credentials`, () => {
    const {lines, logger} = createFixture(format);
    logger.log('info', 'sent with Bearer HIDE-0', FIELDS);
    assert.equal(lines.length, 1);
    assert.doesNotMatch(lines[0], /HIDE/);
    assert.match(lines[0], /req-1/);
  });
}

test('each line of a child logger contains its fields', () => {
  const {lines, logger} = createFixture();
  const child = logger.createChild({requestId: 'req-7'});
  child.log('warn', 'slow', {tookMs: 5});
  const line = JSON.parse(lines[0]) as Record<string, unknown>;
  assert.deepEqual(
    [line['requestId'], line['node'], line['tookMs'], line['level']],
    ['req-7', 'node-1', 5, 'warn'],
  );
});

test('a level change at run time applies to child loggers', () => {
  const {lines, logger} = createFixture();
  const child = logger.createChild({requestId: 'req-7'});
  child.log('debug', 'first');
  logger.setLevel('debug');
  child.log('debug', 'second');
  logger.setLevel('error');
  child.log('info', 'third');
  assert.equal(lines.length, 1);
  assert.match(lines[0], /second/);
});
