/** The engine model: its invariants under random load and faults, and its timing. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {
  BackendFailure,
  EngineEnd,
  EngineRequest,
  TokenBatch,
} from '../../src/backends';
import {createVirtualClock} from '../../src/runtime';
import {createEngineModel, type EngineModelOptions} from '../../src/standins';

interface ReceivedEvents {
  readonly batches: TokenBatch[];
  end?: EngineEnd;
  failure?: BackendFailure;
  endings: number;
}

function createReceivedEvents(): ReceivedEvents {
  return {batches: [], endings: 0};
}

function createSink(received: ReceivedEvents) {
  return {
    onTokens: (batch: TokenBatch) => void received.batches.push(batch),
    onEnd: (end: EngineEnd) => {
      received.end = end;
      received.endings++;
    },
    onFailure: (failure: BackendFailure) => {
      received.failure = failure;
      received.endings++;
    },
  };
}

function createRequest(
  requestId: string,
  parts: Partial<EngineRequest> = {},
): EngineRequest {
  return {
    requestId,
    model: 'small',
    promptTokens: 1_000,
    maxTokens: 20,
    priority: 0,
    phase: 'full',
    firstTokenIndex: 0,
    prefixHashes: [],
    prefixTokens: 0,
    ...parts,
  };
}

function createEngine(parts: Partial<EngineModelOptions> = {}) {
  const clock = createVirtualClock();
  const engine = createEngineModel({id: 'e', address: '', clock, ...parts});
  return {clock, engine};
}

function countTokens(received: ReceivedEvents): number {
  return received.batches.reduce((sum, batch) => sum + batch.count, 0);
}

test('a single request is prefilled at the stated rate and decoded step by step', async () => {
  const {clock, engine} = createEngine();
  const received = createReceivedEvents();
  engine.start(createRequest('a', {promptTokens: 1_600}), createSink(received));
  await clock.advance(1_000);
  assert.equal(Math.round(received.batches[0].firstAtMs), 100);
  assert.equal(received.batches.length, 20);
  const last = received.batches[19].lastAtMs;
  assert.ok(Math.abs(last - (100 + 19 * 12.8)) < 1e-6, `${last}`);
});

test('runs of many steps give the same times as single steps', async () => {
  const times: number[][] = [];
  for (const tokensPerEvent of [1, 64]) {
    const {clock, engine} = createEngine({tokensPerEvent});
    const received = [0, 1, 2].map(createReceivedEvents);
    received.forEach((item, index) => {
      clock.schedule(index * 90, () => {
        engine.start(
          createRequest(`r${index}`, {maxTokens: 30 + index}),
          createSink(item),
        );
      });
    });
    await clock.advance(5_000);
    times.push(
      received.map(item =>
        Math.round((item.batches.at(-1)?.lastAtMs ?? -1) * 1_000),
      ),
    );
    assert.deepEqual(received.map(countTokens), [30, 31, 32]);
  }
  assert.deepEqual(times[0], times[1]);
});

test('a cached prefix is not prefilled again, and a role change clears it', async () => {
  const {clock, engine} = createEngine({roleChangeMs: 1_000});
  const prefix = {prefixHashes: ['p1', 'p2'], prefixTokens: 900};
  const received = [0, 1, 2].map(createReceivedEvents);
  engine.start(createRequest('a', prefix), createSink(received[0]));
  await clock.advance(1_000);
  engine.start(createRequest('b', prefix), createSink(received[1]));
  await clock.advance(1_000);
  engine.sendCommand({
    id: 'c',
    fencingNumber: 1,
    order: {kind: 'set-role', role: 'prefill'},
  });
  await clock.advance(1_001);
  assert.equal(engine.getReport().role, 'prefill');
  engine.start(createRequest('c', prefix), createSink(received[2]));
  await clock.advance(1_000);
  assert.deepEqual(
    received.map(item => item.end?.cachedTokens),
    [0, 900, 0],
  );
  assert.deepEqual(
    engine.listCacheEvents(0).map(event => event.kind),
    ['stored', 'cleared', 'stored'],
  );
});

test('KV cache is handed from a prefill engine to a decode engine once', async () => {
  const clock = createVirtualClock();
  const prefill = createEngineModel({
    id: 'p',
    address: '',
    clock,
    role: 'prefill',
  });
  const decode = createEngineModel({
    id: 'd',
    address: '',
    clock,
    role: 'decode',
    importKv: handle => prefill.exportKv(handle.id),
  });
  const first = createReceivedEvents();
  prefill.start(createRequest('a', {phase: 'prefill'}), createSink(first));
  await clock.advance(100);
  assert.equal(first.end?.finishReason, 'prefilled');
  assert.ok(prefill.getReport().freePieces < prefill.getReport().totalPieces);
  const second = createReceivedEvents();
  decode.start(
    createRequest('a', {
      phase: 'decode',
      firstTokenIndex: 1,
      kv: first.end?.kv,
    }),
    createSink(second),
  );
  await clock.advance(1_000);
  assert.equal(second.batches[0].firstIndex, 1);
  assert.equal(countTokens(second), 19);
  // 5 ms and 1,000 tokens at 100,000 a second, then the first decode step.
  assert.ok(Math.abs(second.batches[0].firstAtMs - (100 + 15 + 12.8)) < 1e-6);
  assert.equal(prefill.getReport().freePieces, 192);
  const refused = createReceivedEvents();
  decode.start(createRequest('b', {phase: 'prefill'}), createSink(refused));
  await clock.advance(1);
  assert.equal(refused.failure?.verdict, 'not-run');
});

test('a role change waits for the work in progress and breaks off no answer', async () => {
  const {clock, engine} = createEngine({roleChangeMs: 2_000});
  const received = createReceivedEvents();
  engine.start(createRequest('a', {maxTokens: 100}), createSink(received));
  engine.sendCommand({
    id: 'c',
    fencingNumber: 1,
    order: {kind: 'set-role', role: 'decode'},
  });
  assert.equal(engine.getReport().state, 'draining');
  await clock.advance(1_400);
  assert.equal(countTokens(received), 100);
  assert.equal(engine.getReport().state, 'changing_role');
  await clock.advance(2_000);
  assert.equal(engine.getReport().state, 'ready');
  assert.equal(engine.getReport().role, 'decode');
});

test('urgent requests enter the batch first, and reports lag', async () => {
  const {clock, engine} = createEngine({maxRunning: 1, reportLagMs: 300});
  const order: string[] = [];
  for (const [id, priority] of [
    ['a', 0],
    ['b', 0],
    ['c', 9],
  ] as const) {
    engine.start(createRequest(id, {priority}), {
      onTokens: () => undefined,
      onEnd: () => void order.push(id),
      onFailure: () => assert.fail(),
    });
  }
  engine.getReport();
  await clock.advance(400);
  assert.equal(engine.getReport().waiting, 2);
  await clock.advance(2_000);
  assert.deepEqual(order, ['a', 'c', 'b']);
});

const operationArbitrary = fc.oneof(
  fc.record({
    kind: fc.constant('start' as const),
    promptTokens: fc.integer({min: 1, max: 9_000}),
    maxTokens: fc.integer({min: 1, max: 3_000}),
    priority: fc.integer({min: 0, max: 2}),
    prefix: fc.integer({min: 0, max: 3}),
  }),
  fc.record({kind: fc.constant('cancel' as const), target: fc.nat(30)}),
  fc.record({kind: fc.constant('crash' as const)}),
  fc.record({
    kind: fc.constant('role' as const),
    role: fc.constantFrom(
      'prefill' as const,
      'decode' as const,
      'mixed' as const,
    ),
  }),
);

test('an engine never uses more pieces than it has, and every request ends exactly once', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.tuple(fc.nat(400), operationArbitrary), {maxLength: 40}),
      async operations => {
        const {clock, engine} = createEngine({
          totalPieces: 8,
          maxRunning: 6,
          tokensPerEvent: 16,
          roleChangeMs: 300,
        });
        const received: ReceivedEvents[] = [];
        const cancelled = new Set<number>();
        for (const [waitMs, operation] of operations) {
          await clock.advance(waitMs);
          const report = engine.getReport();
          assert.ok(report.freePieces >= 0, `${report.freePieces}`);
          assert.ok(report.running <= 6);
          switch (operation.kind) {
            case 'start': {
              const item = createReceivedEvents();
              const {promptTokens, maxTokens, priority, prefix} = operation;
              engine.start(
                createRequest(`r${received.length}`, {
                  promptTokens,
                  maxTokens,
                  priority,
                  prefixHashes: prefix === 0 ? [] : [`x${prefix}`],
                  prefixTokens: prefix === 0 ? 0 : Math.min(promptTokens, 500),
                }),
                createSink(item),
              );
              received.push(item);
              break;
            }
            case 'cancel':
              if ((received[operation.target]?.endings ?? 1) === 0) {
                cancelled.add(operation.target);
              }
              engine.cancel(`r${operation.target}`);
              break;
            case 'crash':
              engine.crash(100);
              break;
            case 'role':
              engine.sendCommand({
                id: 'c',
                fencingNumber: 1,
                order: {kind: 'set-role', role: operation.role},
              });
          }
        }
        await clock.advance(3_600_000);
        received.forEach((item, index) => {
          assert.equal(item.endings, cancelled.has(index) ? 0 : 1, `r${index}`);
          let next = 0;
          for (const batch of item.batches) {
            assert.equal(batch.firstIndex, next);
            next += batch.count;
          }
          if (item.end !== undefined) {
            assert.equal(next, item.end.generatedTokens);
          }
        });
        assert.equal(engine.getReport().freePieces, 8);
        assert.equal(clock.getPendingTimers(), 0);
      },
    ),
    {seed: 5, numRuns: 120},
  );
});
