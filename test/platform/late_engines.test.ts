/** Engines that answer later than a node predicts: only their reports, or the lack of them, count against them. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ServerStandin, ServerStandinOptions} from './server_standin';
import {
  type RunningNode,
  startSystem,
  type TestSystem,
  waitUntil,
} from './system';

const PROMPT_HEADERS = {tokens: '1000,10', parts: 'aa:800,bb:200'};

/** Starts two nodes with a prefill engine and two decode engines. */
async function startEngines(
  prefill: Partial<ServerStandinOptions> = {},
): Promise<{system: TestSystem; decodes: ServerStandin[]}> {
  const system = await startSystem({nodes: 2});
  const engine = {service: 'llm', zone: 'a'};
  await system.addServer({...engine, id: 'p1', stage: 'prefill', ...prefill});
  const decodes = [
    await system.addServer({...engine, id: 'd1', stage: 'decode'}),
    await system.addServer({...engine, id: 'd2', stage: 'decode'}),
  ];
  for (const index of [0, 1]) {
    await waitUntil('the node serves', async () => {
      const answer = await system.send(
        {path: '/ask/x', ...PROMPT_HEADERS},
        index,
      );
      return answer.status === 200;
    });
  }
  return {system, decodes};
}

function listLines({lines}: RunningNode, message: string, serverId: string) {
  return lines.filter(
    line => line['message'] === message && line['serverId'] === serverId,
  );
}

test('a prefill engine with a queue that a node does not know of is neither left nor reported to the others', async () => {
  // 900 ms instead of the predicted 20: as long as a queue of other nodes' prompts.
  const {system} = await startEngines({workMs: 900});
  const answer = await system.send({
    path: '/ask/x',
    tokens: '20000,10',
    parts: 'cc:20000',
  });
  assert.equal(answer.status, 200);
  const asked = listLines(
    system.nodes[0],
    'late engine asked for its report',
    'p1',
  );
  assert.ok(asked.length >= 1);
  assert.ok(asked.every(line => line['outcome'] === 'alive'));
  for (const node of system.nodes) {
    assert.deepEqual(listLines(node, 'backend server ejected', 'p1'), []);
  }
  await system.close();
});

test('a node leaves an engine that reports but completes nothing, and does not tell the others', async () => {
  const {system, decodes} = await startEngines();
  decodes[0].setFault('mute');
  const answers = await Promise.all(
    Array.from({length: 12}, () =>
      system.send({path: '/resume/x', ...PROMPT_HEADERS}),
    ),
  );
  assert.deepEqual([...new Set(answers.map(answer => answer.status))], [200]);
  const [node, second] = system.nodes;
  const ejected = listLines(node, 'backend server ejected', 'd1');
  assert.deepEqual(
    ejected.map(line => line['reason']),
    ['late'],
  );
  const asked = listLines(node, 'late engine asked for its report', 'd1');
  // Twelve calls are late for up to a second, with a question in half a second.
  assert.ok(asked.length >= 1 && asked.length <= 4, `${asked.length}`);
  const told = 'another node suspects a backend server';
  assert.deepEqual(listLines(second, told, 'd1'), []);
  await system.close();
});
