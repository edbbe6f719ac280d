/** Streams whose server fails long after their first event. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  buildConfig,
  isNodeReady,
  loadSnapshot,
  startSystem,
  waitUntil,
} from './system';

/** How long callers are assumed to wait for a first event, in milliseconds; the server fails after this time. */
const FIRST_EVENT_TIMEOUT_MS = 2_000;
const EVENT_COUNT = 70;
const EVENT_INTERVAL_MS = 50;

test('a resumable stream continues on another server however long it has run', async () => {
  const system = await startSystem({hasConfig: false});
  const {routes} = JSON.parse(buildConfig(1)) as {routes: object[]};
  const longerRoutes = routes.map(route => ({...route, timeoutMs: 9_000}));
  system.store.put(
    'keyed.op',
    'config',
    buildConfig(1, {routes: longerRoutes}),
  );
  const addEngine = (id: string, stage: 'prefill' | 'decode') =>
    system.addServer({
      id,
      service: 'llm',
      zone: 'a',
      stage,
      events: EVENT_COUNT,
      eventIntervalMs: EVENT_INTERVAL_MS,
    });
  await addEngine('reader-1', 'prefill');
  const decodeEngines = [
    await addEngine('writer-1', 'decode'),
    await addEngine('writer-2', 'decode'),
  ];
  await waitUntil('the node knows all servers', async () => {
    const {entries} = await loadSnapshot(system.nodes[0]);
    return entries.length === 3 && isNodeReady(system.nodes[0]);
  });
  const answer = system.send({
    path: '/resume/x',
    tokens: '1000,70',
    parts: 'aa:800,bb:200',
    deadlineMs: 9_000,
  });
  await sleep(FIRST_EVENT_TIMEOUT_MS + 400);
  await decodeEngines.find(engine => engine.runs.length > 0)?.crash();
  const {status, isComplete: isWhole, body} = await answer;
  assert.equal(status, 200);
  assert.equal(isWhole, true);
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(match =>
    Number(match[1]),
  );
  assert.deepEqual(
    ids,
    Array.from({length: EVENT_COUNT}, (_, index) => index + 1),
  );
  await system.close();
});
