/** Traces: errors name the invalid line, and formatting and parsing are inverse. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  createTrace,
  formatTrace,
  listScenarios,
  parseTrace,
} from '../../src/replay';

const HEADER =
  '{"trace":1,"deployment":"d","engines":[{"id":"e","failure_domain":"f"}]}';

test('optional fields may be missing', () => {
  const trace = parseTrace(
    `${HEADER}\n{"at_ms":5,"client_account":"a","output_tokens":3}\n\n`,
  ).unwrap();
  assert.equal(trace.header.engines[0].role, 'mixed');
  assert.equal(trace.requests[0].deadline_ms, 30_000);
  assert.equal(trace.requests[0].idempotent, true);
});

test('invalid lines are reported with their line numbers', () => {
  const text = [
    HEADER,
    '{"at_ms":5,"client_account":"a","output_tokens":3}',
    '{"at_ms":-1,"client_account":"a","output_tokens":3}',
    'not json',
    '{"at_ms":5,"client_account":"a","kind":"service"}',
    '{"at_ms":5,"client_account":"a","output_tokens":3,"prefix_tokens":9}',
  ].join('\n');
  const errors = parseTrace(text);
  assert.ok(errors.err);
  assert.deepEqual(
    errors.val.map(error => [error.line, error.message.split(':')[0]]),
    [
      [3, 'at_ms'],
      [4, 'not a JSON object'],
      [5, 'service'],
      [6, 'prefix_tokens'],
    ],
  );
  const noHeader = parseTrace('{"trace":2}\n');
  assert.ok(noHeader.err);
  assert.equal(noHeader.val[0].line, 1);
});

test('no input makes the parser throw, and a parsed trace survives formatting and parsing', () => {
  const line = fc.oneof(
    fc.string(),
    fc.json(),
    fc
      .record(
        {
          at_ms: fc.oneof(fc.nat(), fc.constant(-1), fc.constant(null)),
          client_account: fc.constantFrom('a', 'B', '', 'x-1'),
          kind: fc.constantFrom('model', 'service', 'other'),
          service: fc.constantFrom('desk', ''),
          prompt_tokens: fc.oneof(fc.nat(9_999), fc.double()),
          output_tokens: fc.nat(99),
          key: fc.string(),
          prefix_tokens: fc.nat(9_999),
        },
        {requiredKeys: []},
      )
      .map(value => JSON.stringify(value)),
  );
  fc.assert(
    fc.property(fc.array(line, {maxLength: 8}), lines => {
      const parsed = parseTrace([HEADER, ...lines].join('\n'));
      if (parsed.err) {
        for (const error of parsed.val) assert.ok(error.line > 1);
        return;
      }
      const again = parseTrace(formatTrace(parsed.val)).unwrap();
      assert.deepEqual(again, parsed.val);
    }),
    {seed: 7, numRuns: 500},
  );
});

test('the trace of every scenario is reproducible from its seed, and survives parsing and formatting', () => {
  for (const {spec} of listScenarios()) {
    const trace = createTrace(spec);
    const text = formatTrace(trace);
    assert.equal(text, formatTrace(createTrace(spec)));
    assert.equal(formatTrace(parseTrace(text).unwrap()), text);
    assert.equal(trace.header.generated?.seed, spec.seed);
  }
});
