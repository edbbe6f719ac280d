/** The goodput bound: a brute-force search over roles and assignments of requests never exceeds it. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {EngineRole} from '../../src/backends';
import {computeGoodputBound, parseTrace, type Trace} from '../../src/replay';
import {createVirtualClock} from '../../src/runtime';
import {createEngineModel} from '../../src/standins';

const ROLES: readonly EngineRole[] = ['mixed', 'prefill', 'decode'];
const ENGINES = 2;

interface SmallRequest {
  readonly at_ms: number;
  readonly prompt_tokens: number;
  readonly output_tokens: number;
  readonly deadline_ms: number;
  readonly prefix?: string;
}

function createSmallTrace(requests: readonly SmallRequest[]): Trace {
  const engines = Array.from({length: ENGINES}, (_, index) => ({
    id: `e${index}`,
    failure_domain: 'f',
  }));
  const lines = requests.map(request =>
    JSON.stringify({
      client_account: 'a',
      ...request,
      prefix_tokens:
        request.prefix === undefined ? 0 : request.prompt_tokens - 1,
    }),
  );
  const header = JSON.stringify({trace: 1, deployment: 'd', engines});
  return parseTrace([header, ...lines].join('\n')).unwrap();
}

/** Counts the answers in time when the requests go to the given engines, which have the given roles. */
async function countInTime(
  trace: Trace,
  roles: readonly EngineRole[],
  engineOf: readonly number[],
): Promise<number> {
  const clock = createVirtualClock();
  let inTime = 0;
  const engines = roles.map((role, index) =>
    createEngineModel({id: `e${index}`, address: '', clock, role}),
  );
  trace.requests.forEach((request, index) => {
    clock.schedule(request.at_ms, () => {
      engines[engineOf[index]].start(
        {
          requestId: `${index}`,
          model: 'small',
          promptTokens: request.prompt_tokens,
          maxTokens: request.output_tokens,
          priority: 0,
          phase: 'full',
          firstTokenIndex: 0,
          prefixHashes: request.prefix === undefined ? [] : [request.prefix],
          prefixTokens: request.prefix_tokens,
        },
        {
          onTokens: () => undefined,
          onEnd: () => {
            const dueMs = request.at_ms + request.deadline_ms;
            if (clock.getMonotonicMs() <= dueMs) inTime++;
          },
          onFailure: () => undefined,
        },
      );
    });
  });
  await clock.advance(60_000);
  return inTime;
}

test('no assignment exceeds the bound on small traces', async () => {
  const request = fc.record({
    at_ms: fc.integer({min: 0, max: 300}),
    prompt_tokens: fc.integer({min: 2, max: 12_000}),
    output_tokens: fc.integer({min: 1, max: 40}),
    deadline_ms: fc.integer({min: 50, max: 1_500}),
    prefix: fc.constantFrom(undefined, 'p'),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(request, {minLength: 1, maxLength: 5}),
      async requests => {
        const trace = createSmallTrace(requests);
        const bound = computeGoodputBound(trace);
        const most = Math.round(bound.goodput * bound.requests);
        for (const first of ROLES) {
          for (const second of ROLES) {
            for (let code = 0; code < ENGINES ** requests.length; code++) {
              const engineOf = requests.map((_, index) => (code >> index) & 1);
              const inTime = await countInTime(
                trace,
                [first, second],
                engineOf,
              );
              assert.ok(inTime <= most, `${inTime} of ${most}`);
            }
          }
        }
      },
    ),
    {seed: 21, numRuns: 25},
  );
});

test('the bound counts requests that cannot meet their deadline', () => {
  const crowded = Array.from({length: 10}, () => ({
    at_ms: 0,
    prompt_tokens: 16_000,
    output_tokens: 1,
    deadline_ms: 2_000,
  }));
  // Two engines prefill 16,000 tokens a second each: 4 of 10 fit in 2 seconds.
  assert.equal(computeGoodputBound(createSmallTrace(crowded)).missed, 6);
  const impossible = {
    at_ms: 0,
    prompt_tokens: 16_000,
    output_tokens: 1,
    deadline_ms: 900,
  };
  assert.equal(computeGoodputBound(createSmallTrace([impossible])).missed, 1);
});
