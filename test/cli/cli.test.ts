/** Runs commands against running nodes: checks exit codes, tables, JSON output and error messages. */
import assert from 'node:assert/strict';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, test} from 'node:test';
import {type Cluster, startCluster} from '../../src/demo';
import {createSystemClock} from '../../src/runtime';
import {runCommand} from '../support/cli_run';

const DIRECTORY = mkdtempSync(join(tmpdir(), 'anvilstack-cli-'));
const TEMPLATE = join(DIRECTORY, 'choir.toml');

const STAGE = `[[move.stages]]
name = "warm"
kind = "warm"
starts_at = "2027-03-06T10:00:00+01:00"
to = {buildings = ["new"]}
from = {buildings = ["old"]}
`;

let cluster: Cluster;
let env: Record<string, string>;

before(async () => {
  cluster = await startCluster({
    clock: createSystemClock(),
    deployment: 'test',
    region: 'sk-west',
    failureDomains: ['sk-west-1'],
    nodeCount: 3,
    models: ['small'],
    engines: [{id: 'engine-1', failureDomain: 'sk-west-1'}],
    service: 'order-desk',
  });
  env = {
    ANVILSTACK_NODE: cluster.nodes.map(node => node.operatorAddress).join(','),
    ANVILSTACK_TOKEN: cluster.operatorToken,
  };
  writeTemplate('first');
});

after(() => cluster.close());

function writeTemplate(description: string): void {
  writeFileSync(
    TEMPLATE,
    `client_account = "choir"
description = "${description}"
api_key_sha256 = ["${'0'.repeat(64)}"]
operators = ["demo"]
models = ["small"]
`,
  );
}

test('a template can be published and amended, and an amendment of an old version is refused', async () => {
  const published = await runCommand(
    ['template', 'publish', TEMPLATE, '--wait', '--json'],
    env,
  );
  assert.equal(published.code, 0, published.stderr);
  const {version, in_force_on: nodes} = JSON.parse(published.stdout) as {
    version: number;
    in_force_on: number;
  };
  assert.equal(nodes, 3);
  const again = await runCommand(['template', 'publish', TEMPLATE], env);
  assert.equal(again.code, 1);
  assert.match(again.stderr, /error AS2004: client account 'choir': .*demo/);
  writeTemplate('second');
  const base = String(version);
  const amend = ['template', 'amend', TEMPLATE, '--wait', '--base'];
  assert.equal((await runCommand([...amend, base], env)).code, 0);
  const lost = await runCommand([...amend, base], env);
  assert.equal(lost.code, 1);
  assert.match(lost.stderr, /AS2004/);
  const shown = await runCommand(['template', 'show', 'choir'], env);
  assert.match(shown.stdout, /^# version \d+ by demo\n[^]*"second"/);
  const listed = await runCommand(['template', 'list'], env);
  assert.match(listed.stdout, /^CLIENT ACCOUNT +VERSION[^]*\nchoir /);
  const history = await runCommand(
    ['template', 'history', 'choir', '--json'],
    env,
  );
  assert.equal((JSON.parse(history.stdout) as unknown[]).length, 2);
});

test('faults in a template file are reported with their positions before a node is called', async () => {
  const file = join(DIRECTORY, 'bad.toml');
  writeFileSync(file, 'client_account = "choir"\nmodles = ["small"]\n');
  const run = await runCommand(['template', 'publish', file], {
    ...env,
    ANVILSTACK_NODE: 'http://127.0.0.1:9',
  });
  assert.equal(run.code, 2);
  assert.match(
    run.stderr,
    /bad\.toml:2:1 - error AS1101: unknown key 'modles'; did you mean 'models'/,
  );
});

test('contradictions within a template are reported with their positions', async () => {
  const file = join(DIRECTORY, 'contradiction.toml');
  const text = readFileSync(TEMPLATE, 'utf8');
  writeFileSync(file, `${text}[move]\nroll_back_to = "lost"\n${STAGE}`);
  const run = await runCommand(['template', 'publish', file], env);
  assert.equal(run.code, 2);
  assert.match(run.stderr, /contradiction\.toml:7:1 - error AS1203: .*'lost'/);
});

test('template amend --wait names the nodes where the version is not in force', async () => {
  writeTemplate('third');
  const shown = await runCommand(['template', 'show', 'choir', '--json'], env);
  const {version} = JSON.parse(shown.stdout) as {version: number};
  const run = await runCommand(
    [
      ...['template', 'amend', TEMPLATE, '--base', String(version)],
      ...['--wait', '--wait-seconds', '0'],
    ],
    {...env, ANVILSTACK_NODE: `${env['ANVILSTACK_NODE']},http://127.0.0.1:9`},
  );
  assert.equal(run.code, 1);
  assert.match(run.stderr, /AS2006.*http:\/\/127\.0\.0\.1:9 \(no answer\)/);
});

test('the timeline merges the events of all nodes and names those that did not answer', async () => {
  const run = await runCommand(['timeline', '--json'], {
    ...env,
    ANVILSTACK_NODE: `${env['ANVILSTACK_NODE']},http://127.0.0.1:9`,
  });
  assert.equal(run.code, 0, run.stderr);
  const timeline = JSON.parse(run.stdout) as {
    events: Array<{node: string}>;
    gaps: Array<{node: string}>;
  };
  assert.equal(new Set(timeline.events.map(event => event.node)).size, 3);
  assert.deepEqual(
    timeline.gaps.map(gap => gap.node),
    ['http://127.0.0.1:9'],
  );
  const file = join(DIRECTORY, 'timeline.html');
  assert.equal((await runCommand(['timeline', '--html', file], env)).code, 0);
  const page = readFileSync(file, 'utf8');
  assert.match(page, /new vis\.Timeline\(/);
  assert.doesNotMatch(page, /<(?:script|link)[^>]+(?:src|href)=/);
});

test('the fleet is shown as a table', async () => {
  const run = await runCommand(['fleet'], env);
  assert.equal(run.code, 0, run.stderr);
  assert.match(run.stdout, /engine-1 +model engine +\S+ +live/);
});

test('an unreachable node is reported as a message with a code, not as a stack trace', async () => {
  const run = await runCommand(['fleet'], {
    ANVILSTACK_NODE: 'http://127.0.0.1:9',
    ANVILSTACK_TOKEN: 'x',
  });
  assert.equal(run.code, 1);
  assert.equal(
    run.stderr,
    'error AS2001: no answer from http://127.0.0.1:9: ECONNREFUSED\n',
  );
});

test('usage and settings errors give exit code 2', async () => {
  const token = {ANVILSTACK_TOKEN: 'x'};
  const runs = [
    await runCommand(['fleet'], token),
    await runCommand(['fleet', '--node', 'nowhere'], token),
    await runCommand(['fleet', '--node', 'http://127.0.0.1:9']),
    await runCommand(['flete']),
    await runCommand([
      'serve',
      '--settings',
      'test/settings/five_mistakes.toml',
    ]),
    await runCommand(['standins', '--settings', 'missing.toml']),
    await runCommand(['settings', 'check', 'test/settings/five_mistakes.toml']),
  ];
  assert.deepEqual(
    runs.map(run => run.code),
    runs.map(() => 2),
  );
  assert.match(runs[0].stderr, /AS2010/);
  assert.match(runs[1].stderr, /AS2011/);
  assert.match(runs[2].stderr, /AS2007/);
  assert.match(runs[6].stderr, /5 fault\(s\)/);
});

test('a token that the node does not know is refused', async () => {
  const run = await runCommand(['fleet'], {...env, ANVILSTACK_TOKEN: 'other'});
  assert.equal(run.code, 1);
  assert.match(run.stderr, /AS2002/);
});

test('a template is retired only when --base is the version in force', async () => {
  const shown = await runCommand(['template', 'show', 'choir', '--json'], env);
  const {version} = JSON.parse(shown.stdout) as {version: number};
  const retire = ['template', 'retire', 'choir', '--base'];
  const stale = await runCommand([...retire, '999999'], env);
  assert.equal(stale.code, 1);
  assert.match(stale.stderr, /AS2004/);
  const wrong = await runCommand([...retire, 'newest'], env);
  assert.equal(wrong.code, 2);
  const retired = await runCommand([...retire, String(version)], env);
  assert.equal(retired.code, 0, retired.stderr);
  const listed = await runCommand(['template', 'list'], env);
  assert.doesNotMatch(listed.stdout, /choir/);
});
