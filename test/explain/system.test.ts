/** Asks a running gateway for explanations, over HTTP and with the command. */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import type {Explanation} from '../../src/explain';
import {
  buildConfig,
  isNodeReady,
  loadSnapshot,
  startSystem,
  type TestSystem,
  waitUntil,
} from '../platform/system';
import {runCommand} from '../support/cli_run';

const KEY = 'key-of-ada-0123456789';
/** Lines that the node writes at any time. */
const PLANNING_LINES = new Set(['engine split planned']);
const PROMPT = {
  host: 'desk.example',
  path: '/ask/',
  tokens: {prompt: 1_000, output: 10},
  parts: [
    {id: 'aa', tokens: 800},
    {id: 'bb', tokens: 200},
  ],
};

let system: TestSystem;
let node: string;

before(async () => {
  system = await startSystem({hasConfig: false});
  const tenants = [{name: 'ada', apiKeys: [KEY], priority: 0}];
  system.store.put('keyed.op', 'config', buildConfig(1, {tenants}));
  await system.addServer({id: 'app-1', service: 'app', zone: 'a'});
  for (const stage of ['prefill', 'decode'] as const) {
    await system.addServer({
      id: `${stage}-1`,
      service: 'llm',
      zone: 'a',
      stage,
    });
  }
  node = `127.0.0.1:${system.nodes[0].controlPort}`;
  await waitUntil('the node knows the servers', async () => {
    const {entries} = await loadSnapshot(system.nodes[0]);
    return entries.length === 3 && (await isNodeReady(system.nodes[0]));
  });
});

after(() => system.close());

function sendBody(body: string, method = 'POST'): Promise<Response> {
  return fetch(`http://${node}/explain`, {
    method,
    ...(method === 'POST' ? {body} : {}),
  });
}

async function loadExplanation(body: object): Promise<Explanation> {
  const response = await sendBody(JSON.stringify(body));
  assert.equal(response.status, 200);
  return (await response.json()) as Explanation;
}

test('the engine that the explanation names gets the prompt', async () => {
  const explanation = await loadExplanation({...PROMPT, account: 'ada'});
  assert.equal(explanation.node, 'front-1');
  assert.equal(explanation.configVersion, 1);
  assert.deepEqual(explanation.account, {kind: 'admitted', name: 'ada'});
  assert.equal(explanation.rank, 0);
  const [target] = explanation.targets;
  const [outcome] = target.outcomes;
  assert.equal(outcome.kind, 'send');
  assert.equal(target.outcomes.length, 1);
  await system.send({
    path: PROMPT.path,
    tokens: '1000,10',
    parts: 'aa:800,bb:200',
    headers: {Authorization: `Bearer ${KEY}`},
  });
  const line = system.nodes[0].lines.find(({message}) =>
    /^(prompt )?sent to (prefill|decode) engine$/.test(String(message)),
  );
  assert.equal(line?.['serverId'], outcome.serverId);
});

test('a request without an account, and one to an unknown route, are explained as refused', async () => {
  const {refusal} = await loadExplanation(PROMPT);
  assert.equal(refusal?.kind, 'refuse');
  assert.equal(refusal.status, 401);
  assert.equal(refusal.reason, 'key-missing');
  const unknown = await loadExplanation({...PROMPT, path: '/none/'});
  assert.deepEqual(unknown.refusal, {
    kind: 'refuse',
    status: 404,
    reason: 'no route',
  });
});

test('bad input is refused with the name of its field, and keys are neither taken nor repeated', async () => {
  const cases: Array<[body: string, status: number, error: RegExp]> = [
    ['{', 400, /^the body is not JSON$/],
    ['[]', 400, /^the body: /],
    [JSON.stringify({...PROMPT, host: 7}), 400, /^host: /],
    [JSON.stringify({...PROMPT, path: 'ask'}), 400, /^path: /],
    [JSON.stringify({...PROMPT, deadlineMs: -1}), 400, /^deadlineMs: /],
    [
      JSON.stringify({...PROMPT, tokens: {prompt: 1}}),
      400,
      /^tokens\.output: /,
    ],
    [
      JSON.stringify({...PROMPT, parts: [{id: 'a', tokens: 0}]}),
      400,
      /^parts\.0\.tokens: /,
    ],
    [JSON.stringify({...PROMPT, tokens: undefined}), 400, /^parts: /],
    [JSON.stringify({...PROMPT, apiKey: KEY}), 400, /^apiKey: unknown field$/],
    [`"${'x'.repeat(100_000)}"`, 413, /too long/],
  ];
  for (const [body, status, expected] of cases) {
    const response = await sendBody(body);
    const {error} = (await response.json()) as {error: string};
    assert.equal(response.status, status, error);
    assert.match(error, expected);
    assert.ok(!error.includes(KEY));
  }
  const {status} = await sendBody('', 'GET');
  assert.equal(status, 405);
  // A key in the place of the name is not found, and not repeated.
  const text = JSON.stringify(await loadExplanation({...PROMPT, account: KEY}));
  assert.match(text, /key-unknown/);
  assert.ok(!text.includes(KEY));
});

test('explaining changes neither the metrics nor the log', async () => {
  const url = `http://${node}/metrics`;
  const loadCounts = async () => {
    const text = await fetch(url).then(response => response.text());
    return text.replace(/^anvilstack_gateway_state_age_ms .*$/m, '');
  };
  const before = await loadCounts();
  const {lines} = system.nodes[0];
  const lineCount = lines.length;
  for (let index = 0; index < 20; index++) {
    await loadExplanation({...PROMPT, account: 'ada'});
    await loadExplanation({
      host: 'desk.example',
      path: '/look/',
      account: 'ada',
    });
  }
  assert.equal(await loadCounts(), before);
  // The node plans its engines meanwhile, which has nothing to do with requests.
  const added = lines
    .slice(lineCount)
    .map(({message}) => message)
    .filter(message => !PLANNING_LINES.has(String(message)));
  assert.deepEqual(added, []);
});

test('the command prints a table, or JSON, and names a bad option', async () => {
  const args = [
    ...['explain', '--node', node, '--host', 'desk.example'],
    ...['--path', '/ask/', '--account', 'ada', '--tokens', '1000,10'],
    ...['--parts', 'aa:800,bb:200', '--deadline-ms', '900'],
  ];
  const table = await runCommand(args);
  assert.equal(table.code, 0, table.stderr);
  assert.match(table.stdout, /^as seen by front-1, state \d+ ms old, conf/);
  assert.match(table.stdout, /account ada, rank 0, time limit 900 ms/);
  assert.match(table.stdout, /^service llm \(100% of the route\)$/m);
  assert.match(table.stdout, /^sent to (prefill|decode)-1$/m);
  assert.match(table.stdout, /^SERVER +STAGE +DOMAIN +WAIT /m);
  assert.match(table.stdout, /^(prefill|decode)-1 .* chosen$/m);
  const json = await runCommand([...args, '--json']);
  assert.equal((JSON.parse(json.stdout) as Explanation).node, 'front-1');
  const bad = await runCommand([...args, '--tokens', 'many']);
  assert.equal(bad.code, 2);
  assert.match(bad.stderr, /--tokens/);
  const refused = await runCommand([
    ...['explain', '--node', node, '--host', 'desk.example'],
    ...['--path', 'ask'],
  ]);
  assert.equal(refused.code, 1);
  assert.match(refused.stderr, /path: /);
  const absent = await runCommand([...args, '--node', '127.0.0.1:1']);
  assert.equal(absent.code, 1);
});
