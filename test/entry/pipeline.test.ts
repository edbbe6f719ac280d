/** The pipeline refuses requests before anything is claimed or sent. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Ok} from 'ts-results';
import type {ClaimsLedger} from '../../src/claims';
import {createRequestPipeline, type ServiceInput} from '../../src/entry';
import {
  createAccountLimiter,
  type Dispatcher,
  type ServiceDispatcher,
} from '../../src/routing';
import {createVirtualClock} from '../../src/runtime';
import type {Template} from '../../src/state';
import {createTestTemplate} from '../support/template';

function createHarness(limits: Record<string, number>) {
  const clock = createVirtualClock();
  let claimed = 0;
  let called = 0;
  const claims = {
    claim: () => {
      claimed++;
      const ticket = {key: 'k', attempt: String(claimed)};
      return Promise.resolve({kind: 'granted', ticket});
    },
    settle: () => undefined,
    release: () => undefined,
  } as unknown as ClaimsLedger;
  const services = {
    call: async () => {
      called++;
      await clock.sleep(100);
      return Ok({status: 200, contentType: 'text/plain', body: 'done'});
    },
  } as unknown as ServiceDispatcher;
  const template = createTestTemplate({limits});
  const pipeline = createRequestPipeline({
    clock,
    dispatcher: {} as Dispatcher,
    services,
    claims,
    limiter: createAccountLimiter(),
  });
  return {
    clock,
    pipeline,
    send: (number: number) =>
      pipeline.runService(createBooking(template, number)),
    getCounts: () => [claimed, called],
  };
}

function createBooking(template: Template, number: number): ServiceInput {
  return {
    kind: 'service',
    template,
    options: {requestId: `r${number}`, idempotencyKey: `k${number}`},
    service: 'order-desk',
    method: 'POST',
    path: '/bookings',
    headers: {},
    body: '',
  };
}

test('a booking over the limit is refused before a claim is appended to the log', async () => {
  const harness = createHarness({requests_per_s: 1, burst: 2});
  const answers = Promise.all([1, 2, 3, 4].map(harness.send));
  await harness.clock.advance(200);
  const failures = (await answers).filter(answer => answer.err);
  assert.deepEqual(harness.getCounts(), [2, 2]);
  assert.equal(failures.length, 2);
  for (const failure of failures) {
    assert.ok(failure.err);
    assert.equal(failure.val.kind, 'limit-exceeded');
    assert.equal(failure.val.verdict, 'not-run');
    assert.ok((failure.val.retryAfterMs ?? 0) > 0);
  }
});

test('a request that has ended no longer counts against max_concurrent', async () => {
  const harness = createHarness({max_concurrent: 1});
  const first = harness.send(1);
  const second = await harness.send(2);
  assert.ok(second.err);
  await harness.clock.advance(200);
  assert.ok((await first).ok);
  const third = harness.send(3);
  await harness.clock.advance(200);
  assert.ok((await third).ok);
});

test('a draining node refuses new requests and waits for open ones', async () => {
  const harness = createHarness({});
  const open = harness.send(1);
  const drained = harness.pipeline.drain();
  const refused = await harness.send(2);
  assert.ok(refused.err);
  assert.equal(refused.val.kind, 'unavailable');
  assert.equal(refused.val.verdict, 'not-run');
  await harness.clock.advance(200);
  assert.ok((await open).ok);
  await drained;
  assert.equal(harness.pipeline.getOpenCount(), 0);
});
