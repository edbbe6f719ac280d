/** Malformed and unauthenticated requests get a 4xx response and never reach the pipeline. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {Ok} from 'ts-results';
import {createCallerApp, type RequestPipeline} from '../../src/entry';
import {createVirtualClock} from '../../src/runtime';
import {type ConfigState, configStream} from '../../src/state';
import {createTestTemplate} from '../support/template';

const FUZZ_OPTIONS = {seed: 20261204, numRuns: 300};
const KEY = 'key-of-studio';

function createConfig(): ConfigState {
  const state = configStream.createState();
  configStream.applyEntry(
    state,
    {
      kind: 'template-publish',
      operator: 'anna',
      template: createTestTemplate(),
    },
    {offset: 0, index: 0, writer: 'w', sequence: 1, appendedAtMs: 0},
  );
  return state;
}

function createApp(options: {maxBodyBytes?: number; isReady?: boolean} = {}) {
  const started: string[] = [];
  const pipeline: RequestPipeline = {
    runModel: (input, sink) => {
      started.push(input.model);
      sink.onTokens({
        firstIndex: 0,
        count: 1,
        text: 'ok',
        firstAtMs: 0,
        lastAtMs: 0,
      });
      sink.onEnd({
        finishReason: 'stop',
        promptTokens: input.promptTokens,
        cachedTokens: 0,
        generatedTokens: 1,
        engine: 'e1',
      });
      return {
        cancel: () => undefined,
        setPaused: () => undefined,
        tryGetEngine: () => undefined,
      };
    },
    runService: input => {
      started.push(input.service);
      return Promise.resolve(
        Ok({status: 200, contentType: 'text/plain', body: '', verdict: 'ran'}),
      );
    },
    preview: {
      predict: () => assert.fail('a request is not predicted'),
      listServerViews: () => [],
    },
    getOpenCount: () => 0,
    drain: () => Promise.resolve(),
  };
  const app = createCallerApp({
    clock: createVirtualClock(),
    pipeline,
    isReady: () => options.isReady ?? true,
    getConfig: createConfig,
    maxBodyBytes: options.maxBodyBytes,
  });
  return {app, started};
}

async function checkError(response: Response): Promise<void> {
  const body = (await response.json()) as {error: Record<string, unknown>};
  assert.equal(typeof body.error['message'], 'string');
  assert.equal(body.error['verdict'], 'not-run');
  assert.match(String(body.error['request_id']), /^req-/);
}

test('any body that is not a completion request is answered with 400 and not run', async () => {
  const {app, started} = createApp();
  const body = fc.oneof(
    fc.string(),
    fc.json(),
    fc
      .record(
        {
          model: fc.oneof(fc.constant(''), fc.integer(), fc.constant(null)),
          messages: fc.jsonValue(),
          max_tokens: fc.oneof(fc.integer({max: 0}), fc.string()),
        },
        {requiredKeys: ['model']},
      )
      .map(value => JSON.stringify(value)),
  );
  await fc.assert(
    fc.asyncProperty(body, async text => {
      const response = await app.request('/v1/chat/completions', {
        method: 'POST',
        headers: {authorization: `Bearer ${KEY}`},
        body: text,
      });
      assert.equal(response.status, 400);
      await checkError(response);
    }),
    FUZZ_OPTIONS,
  );
  assert.deepEqual(started, []);
});

test('a request without the right API key is answered with 401', async () => {
  const {app, started} = createApp();
  const header = fc
    .string({unit: fc.constantFrom(...'Bear key-of-studioX~!'), maxLength: 40})
    .filter(text => text.trim() !== `Bearer ${KEY}`);
  await fc.assert(
    fc.asyncProperty(header, async authorization => {
      const response = await app.request('/services/order-desk/bookings', {
        method: 'POST',
        headers: {authorization},
        body: '{}',
      });
      assert.equal(response.status, 401);
      await checkError(response);
    }),
    FUZZ_OPTIONS,
  );
  assert.deepEqual(started, []);
});

test('malformed request headers are refused with a message that names them', async () => {
  const {app, started} = createApp();
  const cases: ReadonlyArray<readonly [string, string]> = [
    ['idempotency-key', 'x'.repeat(256)],
    ['idempotency-key', 'two words'],
    ['anvilstack-deadline-ms', 'soon'],
    ['anvilstack-deadline-ms', '0'],
    ['anvilstack-deadline-ms', '-5'],
    ['anvilstack-deadline-ms', '1e99'],
    ['anvilstack-priority', '100'],
    ['anvilstack-priority', 'NaN'],
  ];
  for (const [name, value] of cases) {
    const response = await app.request('/services/order-desk/bookings', {
      method: 'POST',
      headers: {authorization: `Bearer ${KEY}`, [name]: value},
      body: '{}',
    });
    assert.equal(response.status, 400, `${name}: ${value}`);
    const {error} = (await response.json()) as {error: {message: string}};
    assert.match(error.message.toLowerCase(), new RegExp(name));
  }
  assert.deepEqual(started, []);
});

test('a body over the limit is refused, with or without a content-length header', async () => {
  const {app, started} = createApp({maxBodyBytes: 1_000});
  const chunk = new TextEncoder().encode('x'.repeat(400));
  const endless = new ReadableStream<Uint8Array>({
    pull: controller => controller.enqueue(chunk),
  });
  const declared = await app.request('/v1/completions', {
    method: 'POST',
    headers: {authorization: `Bearer ${KEY}`, 'content-length': '1001'},
    body: 'x',
  });
  const streamed = await app.request('/v1/completions', {
    method: 'POST',
    headers: {authorization: `Bearer ${KEY}`},
    body: endless,
    duplex: 'half',
  } as RequestInit);
  assert.deepEqual([declared.status, streamed.status], [413, 413]);
  assert.deepEqual(started, []);
});

test('a node that is not ready refuses with a retry delay', async () => {
  const {app, started} = createApp({isReady: false});
  const response = await app.request('/v1/completions', {
    method: 'POST',
    headers: {authorization: `Bearer ${KEY}`},
    body: '{}',
  });
  assert.equal(response.status, 503);
  assert.equal(response.headers.get('anvilstack-verdict'), 'not-run');
  assert.ok(Number(response.headers.get('retry-after-ms')) > 0);
  assert.deepEqual(started, []);
});

test('any well-formed completion request is answered', async () => {
  const {app} = createApp();
  await fc.assert(
    fc.asyncProperty(fc.string(), fc.boolean(), async (prompt, stream) => {
      const response = await app.request('/v1/completions', {
        method: 'POST',
        headers: {authorization: `Bearer ${KEY}`},
        body: JSON.stringify({model: 'small', prompt, stream}),
      });
      assert.equal(response.status, 200);
      assert.match(await response.text(), /"text":"ok"/);
    }),
    FUZZ_OPTIONS,
  );
});
