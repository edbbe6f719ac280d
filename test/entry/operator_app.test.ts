/** Operators' rights, events and recorded traces. */
import assert from 'node:assert/strict';
import {getKeyDigest} from '../../src/accounts';
import {test} from 'node:test';
import {Err} from 'ts-results';
import {createEventRing} from '../../src/diagnostics';
import {
  createOperatorApp,
  createTraceRecorder,
  OperatorRight,
  type RequestSummary,
} from '../../src/entry';
import {createVirtualClock} from '../../src/runtime';
import {
  configStream,
  createStreamFollower,
  createStreamWriter,
} from '../../src/state';
import {createLocalLog, createLogModel} from '../../src/standins';
import {createTestTemplate} from '../support/template';

const SUMMARY: RequestSummary = {
  requestId: 'req-1',
  clientAccount: 'studio',
  kind: 'model',
  target: 'small',
  className: 'default',
  urgent: false,
  idempotent: true,
  receivedAtMs: 12.4,
  deadlineMs: 900,
  durationMs: 50,
  promptTokens: 7,
  generatedTokens: 3,
  prefixHashes: ['a', 'b'],
  prefixTokens: 4,
  isInDeadline: true,
};

const PEER_EVENT = {
  at: {wallMs: 1, counter: 0},
  node: 'node-2',
  kind: 'request-sent',
  requestId: 'r1',
  cause: '',
};

function createApp() {
  const clock = createVirtualClock();
  const log = createLocalLog({model: createLogModel({clock}), clock});
  const config = createStreamFollower({definition: configStream, log, clock});
  config.start();
  const events = createEventRing({clock, node: 'node-1'});
  const recorder = createTraceRecorder({capacity: 2});
  const levels: string[] = [];
  const app = createOperatorApp({
    node: 'node-1',
    operators: [
      {
        name: 'anna',
        tokenSha256: getKeyDigest('t-anna'),
        rights: ['read', 'change'],
      },
      {name: 'bela', tokenSha256: getKeyDigest('t-bela'), rights: ['read']},
      {
        name: 'cora',
        tokenSha256: getKeyDigest('t-cora'),
        rights: [OperatorRight.Read, OperatorRight.Administer],
      },
    ],
    config,
    configWriter: createStreamWriter({
      follower: config,
      log,
      clock,
      writer: 'w1',
    }),
    events,
    recorder,
    collectPeerEvents: () =>
      Promise.resolve({events: [PEER_EVENT], missing: ['node-3']}),
    getFleet: () => ({}),
    listProgress: () => [],
    setLogLevel: level => void levels.push(level),
    explain: () => Err('path: none'),
  });
  return {app, clock, events, recorder, levels};
}

function sendAs(
  app: ReturnType<typeof createApp>['app'],
  token: string,
  path: string,
  body?: unknown,
): Promise<Response> {
  return Promise.resolve(
    app.request(path, {
      method: body === undefined ? 'GET' : 'POST',
      headers: {authorization: `Bearer ${token}`},
      body: body === undefined ? undefined : JSON.stringify(body),
    }),
  );
}

test('each operator has exactly the rights that the settings give', async () => {
  const {app, clock, levels} = createApp();
  await clock.advance(100);
  const change = {template: createTestTemplate()};
  const level = {level: 'debug'};
  const statuses: number[] = [];
  for (const token of ['t-anna', 't-bela', 't-cora', 'unknown']) {
    const answers = Promise.all([
      sendAs(app, token, '/operators/templates'),
      sendAs(app, token, '/operators/templates', change),
      sendAs(app, token, '/operators/log_level', level),
    ]);
    await clock.advance(5_000);
    statuses.push(...(await answers).map(answer => answer.status));
  }
  assert.deepEqual(statuses, [
    ...[200, 200, 403],
    ...[200, 403, 403],
    ...[200, 403, 200],
    ...[401, 401, 401],
  ]);
  assert.deepEqual(levels, ['debug']);
});

test('of two amendments of one version the second is refused and told who made the first', async () => {
  const {app, clock} = createApp();
  await clock.advance(100);
  const template = createTestTemplate();
  const published = sendAs(app, 't-anna', '/operators/templates', {template});
  await clock.advance(1_000);
  const {version} = (await (await published).json()) as {version: number};
  const amendments = Promise.all(
    [1_000, 2_000].map(deadline_ms =>
      sendAs(app, 't-anna', '/operators/templates', {
        template: {...template, deadline_ms},
        baseVersion: version,
      }),
    ),
  );
  await clock.advance(1_000);
  const answers = await amendments;
  assert.deepEqual(answers.map(answer => answer.status).sort(), [200, 409]);
  const refused = answers.find(answer => answer.status === 409);
  assert.match(JSON.stringify(await refused?.json()), /anna/);
});

test('events are filtered by the query parameters', async () => {
  const {app, events} = createApp();
  events.emit({kind: 'request-sent', requestId: 'r1', engine: 'e1', cause: ''});
  events.emit({kind: 'request-sent', requestId: 'r2', engine: 'e1', cause: ''});
  events.emit({kind: 'role-changed', engine: 'e2', cause: ''});
  const counts: number[] = [];
  for (const query of [
    '',
    '?request=r1',
    '?engine=e1',
    '?kind=x',
    '?limit=2',
  ]) {
    const answer = await sendAs(app, 't-bela', `/operators/events${query}`);
    const body = (await answer.json()) as {events: unknown[]};
    counts.push(body.events.length);
  }
  assert.deepEqual(counts, [3, 1, 2, 0, 2]);
});

test('events of the peers are merged, and nodes that did not answer are listed', async () => {
  const {app, events} = createApp();
  events.emit({kind: 'request-sent', requestId: 'r1', cause: ''});
  const path = '/operators/events?peers=1&request=r1';
  const answer = await sendAs(app, 't-bela', path);
  const body = (await answer.json()) as {
    events: Array<{node: string}>;
    missing: string[];
  };
  assert.deepEqual(
    body.events.map(event => event.node),
    ['node-1', 'node-2'],
  );
  assert.deepEqual(body.missing, ['node-3']);
});

test('a recorded trace keeps the newest requests and no prompt text', () => {
  const {recorder} = createApp();
  for (const receivedAtMs of [12.4, 30, 20]) {
    recorder.add({...SUMMARY, receivedAtMs});
  }
  assert.equal(recorder.getDroppedCount(), 1);
  assert.deepEqual(
    recorder.list().map(request => request.at_ms),
    [20, 30],
  );
  assert.deepEqual(recorder.list()[0], {
    at_ms: 20,
    client_account: 'studio',
    kind: 'model',
    service: undefined,
    prompt_tokens: 7,
    output_tokens: 3,
    deadline_ms: 900,
    urgent: false,
    idempotent: true,
    key: undefined,
    prefix: 'b',
    prefix_tokens: 4,
  });
});
