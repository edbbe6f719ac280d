/** Plain services: health, retries and limits. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Err, Ok} from 'ts-results';
import type {BackendFailure, BackendServer} from '../../src/backends';
import {
  createAccountLimiter,
  createServiceDispatcher,
  type ServiceCall,
} from '../../src/routing';
import {createVirtualClock, type VirtualClock} from '../../src/runtime';
import {createEngineServer, createRandom} from '../support/routing_fleet';

const REFUSED: BackendFailure = {
  kind: 'unavailable',
  verdict: 'not-run',
  message: 'no connection',
};
const BROKEN: BackendFailure = {
  kind: 'broken',
  verdict: 'may-have-run',
  message: 'the connection broke',
};
const ANSWER = {status: 200, contentType: 'text/plain', body: 'booked'};

function createServers(count: number): BackendServer[] {
  return Array.from({length: count}, (_, index) => ({
    ...createEngineServer(`desk-${index}`),
    kind: 'service',
    service: 'desk',
  }));
}

function createCall(given: Partial<ServiceCall> = {}): ServiceCall {
  return {
    requestId: 'req-1',
    service: 'desk',
    method: 'POST',
    path: '/',
    headers: {},
    body: '',
    idempotent: true,
    deadlineAtMs: 1_000_000,
    servers: {},
    ...given,
  };
}

interface Setup {
  readonly clock: VirtualClock;
  readonly calls: string[];
  readonly services: ReturnType<typeof createServiceDispatcher>;
}

function createSetup(
  count: number,
  tryFail: (server: string, call: number) => BackendFailure | undefined,
  options: {delayMs?: number; limiter?: boolean} = {},
): Setup {
  const clock = createVirtualClock();
  const calls: string[] = [];
  const services = createServiceDispatcher({
    clock,
    getRandom: createRandom(3),
    limiter: options.limiter ? createAccountLimiter() : undefined,
    client: {
      call: async server => {
        calls.push(server.id);
        const failure = tryFail(server.id, calls.length);
        if (options.delayMs !== undefined) await clock.sleep(options.delayMs);
        return failure === undefined ? Ok(ANSWER) : Err(failure);
      },
    },
  });
  services.updateServers(createServers(count));
  return {clock, calls, services};
}

test('a non-idempotent call that may have run is never sent again, even after an earlier refusal', async () => {
  const {calls, services} = createSetup(3, (_, call) =>
    call === 1 ? REFUSED : BROKEN,
  );
  const answer = await services.call(createCall({idempotent: false}));
  assert.ok(answer.err);
  assert.equal(answer.val.verdict, 'may-have-run');
  assert.equal(calls.length, 2);
});

test('an idempotent call that may have run keeps that verdict when its retry is refused', async () => {
  const {services} = createSetup(3, (_, call) =>
    call === 1 ? BROKEN : REFUSED,
  );
  const answer = await services.call(createCall());
  assert.ok(answer.err);
  assert.equal(answer.val.verdict, 'may-have-run');
});

test('an unreachable server gets few calls, and retries stay within the budget', async () => {
  const {calls, clock, services} = createSetup(4, server =>
    server === 'desk-0' ? REFUSED : undefined,
  );
  let failed = 0;
  for (let index = 0; index < 1_000; index++) {
    const answer = await services.call(createCall());
    if (answer.err) failed++;
    await clock.advance(10);
  }
  assert.ok(calls.length <= 1_000 * 1.05, `${calls.length} calls`);
  assert.ok(failed <= 5, `${failed} failed`);
});

test('calls go to the less busy of two random servers, and a leaving server gets none', async () => {
  const {calls, clock, services} = createSetup(4, () => undefined, {
    delayMs: 100,
  });
  const open = Array.from({length: 40}, () => services.call(createCall()));
  const counts = [0, 1, 2, 3].map(
    index => calls.filter(id => id === `desk-${index}`).length,
  );
  assert.ok(Math.max(...counts) <= 12, counts.join(' '));
  const servers = createServers(4);
  servers[0] = {...servers[0], isLeaving: true};
  services.updateServers(servers);
  const before = calls.length;
  open.push(...Array.from({length: 20}, () => services.call(createCall())));
  assert.ok(!calls.slice(before).includes('desk-0'));
  await clock.advance(500);
  const answers = await Promise.all(open);
  assert.ok(answers.every(answer => answer.ok));
  assert.equal(services.getOpenCount(), 0);
});

test('the limits of a client account apply to plain services too', async () => {
  const {services} = createSetup(1, () => undefined, {limiter: true});
  const limits = {requestsPerS: 1, burst: 2, maxConcurrent: 5};
  const call = createCall({clientAccount: 'studio', limits});
  assert.ok((await services.call(call)).ok);
  assert.ok((await services.call(call)).ok);
  const refused = await services.call(call);
  assert.ok(refused.err);
  assert.equal(refused.val.kind, 'limit-exceeded');
  assert.equal(refused.val.verdict, 'not-run');
  assert.ok((refused.val.retryAfterMs ?? 0) > 0);
});
