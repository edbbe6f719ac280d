/** `anvilstack replay`: deterministic outcomes, missed bounds, and errors in traces and arguments. */
import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';
import {runCommand} from '../support/cli_run';

const DIRECTORY = mkdtempSync(join(tmpdir(), 'anvilstack-replay-'));
const TRACE = join(DIRECTORY, 'short.jsonl');
const BOUNDS = join(DIRECTORY, 'short.outcome.json');
const HEADER = {
  trace: 1,
  deployment: 'test',
  engines: ['engine-1', 'engine-2'].map(id => ({
    id,
    failure_domain: 'sk-west-1',
    role: 'mixed',
    checks_fencing: true,
  })),
  nodes: 2,
  report_lag_ms: 200,
  role_change_ms: 4_000,
  faults: [],
};

function writeTrace(requests: readonly unknown[]): void {
  const lines = [HEADER, ...requests].map(line => JSON.stringify(line));
  writeFileSync(TRACE, `${lines.join('\n')}\n`);
}

function createRequests(count: number): unknown[] {
  return Array.from({length: count}, (_, index) => ({
    at_ms: index * 100,
    client_account: 'studio',
    kind: 'model',
    prompt_tokens: 200,
    output_tokens: 10,
    deadline_ms: 20_000,
    urgent: true,
    idempotent: true,
  }));
}

test('a replay with the same seed gives the same outcome, and --check compares it with the bounds', async () => {
  writeTrace(createRequests(20));
  writeFileSync(BOUNDS, '{"goodput":{"min":0.9},"run_twice":{"max":0}}');
  const args = ['replay', TRACE, '--seed', '5', '--json', '--check'];
  const first = await runCommand(args);
  assert.equal(first.code, 0, first.stderr);
  const outcome = JSON.parse(first.stdout) as Record<string, unknown>;
  assert.deepEqual(
    [outcome['requests'], outcome['seed'], outcome['policy']],
    [20, 5, 'anvilstack'],
  );
  assert.equal((await runCommand(args)).stdout, first.stdout);
  writeFileSync(BOUNDS, '{"requests":{"min":21}}');
  const missed = await runCommand(args);
  assert.equal(missed.code, 1);
  assert.equal(
    missed.stderr,
    'error AS2013: requests is 20, expected at least 21\n',
  );
});

test('an invalid trace line is reported with its line number, an unknown policy with the list of policies', async () => {
  writeTrace([...createRequests(2), {at_ms: 'soon'}]);
  const bad = await runCommand(['replay', TRACE]);
  assert.equal(bad.code, 2);
  assert.match(bad.stderr, /short\.jsonl:4:1 - error AS2012: trace: /);
  const policy = await runCommand(['replay', TRACE, '--policy', 'best']);
  assert.equal(policy.code, 2);
  assert.match(policy.stderr, /AS2011.*round-robin, least-loaded/);
});
