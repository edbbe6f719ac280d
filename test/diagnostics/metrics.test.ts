/** Tests of metrics: the text format, the limit of series, and the accuracy of quantiles. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createMetrics, createNodeMetrics} from '../../src/diagnostics';

/** A line of the Prometheus text format: a comment, or a name with labels and a number. */
const LINE_PATTERN =
  /^(?:# (?:HELP|TYPE) [a-z_]+ .+|[a-z_]+(?:\{(?:[a-z_]+="(?:[^"\\\n]|\\["\\n])*",?)+\})? [\d.e+-]+)$/;

function getValue(text: string, name: string): number {
  const line = text.split('\n').find(item => item.startsWith(`${name} `));
  return Number(line?.slice(name.length + 1));
}

test('any label values give well-formed lines, and at most maxSeries series and the overflow series', () => {
  fc.assert(
    fc.property(fc.array(fc.string(), {maxLength: 30}), values => {
      const metrics = createMetrics();
      const counter = metrics.addCounter({
        name: 'things_total',
        help: 'Things',
        maxSeries: 4,
      });
      for (const value of values) counter.add(1, {value});
      const lines = metrics.render().trimEnd().split('\n');
      for (const line of lines) assert.match(line, LINE_PATTERN);
      assert.ok(lines.length <= 2 + 5);
      const total = lines
        .slice(2)
        .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
      assert.equal(total, values.length);
    }),
    {seed: 6, numRuns: 200},
  );
});

test('quantiles are within 1% of the recorded values', () => {
  const metrics = createMetrics();
  const distribution = metrics.addDistribution({name: 'wait_ms', help: 'Wait'});
  for (let value = 1; value <= 1_000; value++) distribution.record(value);
  const text = metrics.render();
  const p95 = getValue(text, 'wait_ms{quantile="0.95"}');
  assert.ok(Math.abs(p95 - 950) <= 9.5, String(p95));
  assert.equal(getValue(text, 'wait_ms_count'), 1_000);
  assert.equal(getValue(text, 'wait_ms_sum'), 500_500);
});

test('node metrics count deadlines, tokens and outcomes of requests', () => {
  const node = createNodeMetrics({
    getQueueLength: () => 7,
    listAppends: () => [{stream: 'config', count: 3}],
  });
  const sample = {
    kind: 'model',
    urgent: true,
    className: 'tape-summary',
    durationMs: 900,
    firstTokenMs: 200,
    promptTokens: 100,
    generatedTokens: 20,
  } as const;
  node.recordRequest({...sample, isInDeadline: true});
  node.recordRequest({
    ...sample,
    isInDeadline: false,
    failure: {kind: 'overloaded', verdict: 'not-run'},
  });
  node.runControlStep('planning', () => undefined);
  const text = node.render();
  const labels = 'kind="model",class="tape-summary"';
  assert.equal(
    getValue(text, `anvilstack_deadlines_total{${labels},result="met"}`),
    1,
  );
  assert.equal(
    getValue(
      text,
      'anvilstack_requests_total{kind="model",outcome="overloaded",verdict="not-run"}',
    ),
    1,
  );
  assert.equal(
    getValue(text, 'anvilstack_tokens_total{direction="output"}'),
    40,
  );
  assert.equal(getValue(text, 'anvilstack_queue_requests'), 7);
  assert.equal(
    getValue(text, 'anvilstack_log_appends_total{stream="config"}'),
    3,
  );
  assert.match(text, /anvilstack_control_cpu_seconds_total\{component=/);
});
