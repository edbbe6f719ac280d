/**
 * Random interleavings of answers, failures, cancellations and late, repeated or reordered
 * events.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {EngineClient, EngineRequest, EngineSink} from '../../src/backends';
import {createRandom, createRoutingFleet} from '../support/routing_fleet';

/** An answer that an engine has begun. Its sink may be called at any time, even after its end. */
interface FakeAnswer {
  readonly request: EngineRequest;
  readonly sink: EngineSink;
  readonly engine: string;
  next: number;
  isOver: boolean;
}

const TOKENS = 6;

test('each request is closed once, with its complete answer in order or with a failure', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(
        fc.record({
          action: fc.constantFrom(
            'submit',
            'tokens',
            'tokens',
            'repeat',
            'skip',
            'end',
            'early-end',
            'break',
            'refuse',
            'late',
            'cancel',
            'pause',
            'leave',
            'wait',
          ),
          pick: fc.nat({max: 1_000}),
        }),
        {minLength: 20, maxLength: 150},
      ),
      fc.nat(),
      runSteps,
    ),
    {seed: 11, numRuns: 150},
  );
});

async function runSteps(
  steps: ReadonlyArray<{readonly action: string; readonly pick: number}>,
  seed: number,
): Promise<void> {
  const answers: FakeAnswer[] = [];
  const handles: Array<ReturnType<typeof fleet.submit>> = [];
  const cancelled = new Set<number>();
  const fleet = createRoutingFleet({
    engines: 3,
    seed,
    wrapClient: (client, engine) => createFakeClient(client, engine),
  });
  const getRandom = createRandom(seed);
  for (const {action, pick} of steps) {
    runStep(action, pick);
    if (getRandom() < 0.3) await fleet.clock.advance(50);
    checkCounts();
  }
  // Requests that are still open end at their deadlines.
  await fleet.clock.advance(20_000);
  checkCounts();
  for (const [index, outcome] of fleet.outcomes.entries()) {
    assert.equal(outcome.closeCount, cancelled.has(index) ? 0 : 1);
    if (outcome.end !== undefined) {
      assert.equal(outcome.tokens, TOKENS);
      assert.equal(outcome.text, getText(0, TOKENS));
    }
  }
  assert.equal(fleet.dispatchers[0].getOpenCount(), 0);
  assert.equal(fleet.dispatchers[0].getWaitingCount(), 0);
  fleet.stop();

  function createFakeClient(
    client: EngineClient,
    engine: string,
  ): EngineClient {
    return {
      ...client,
      start: (request, sink) => open(request, sink, request.firstTokenIndex),
      resume: (requestId, from, sink) =>
        open(findRequest(requestId), sink, from),
    };

    function open(request: EngineRequest, sink: EngineSink, from: number) {
      answers.push({request, sink, engine, next: from, isOver: false});
      return {cancel: () => undefined, setPaused: () => undefined};
    }
  }

  function findRequest(requestId: string): EngineRequest {
    const found = answers.find(item => item.request.requestId === requestId);
    assert.ok(found !== undefined);
    return found.request;
  }

  function runStep(action: string, pick: number): void {
    const answer = answers[pick % Math.max(1, answers.length)];
    switch (action) {
      case 'submit':
        handles.push(
          fleet.submit(0, {
            maxTokens: TOKENS,
            promptTokens: 10,
            idempotent: pick % 3 > 0,
            urgent: pick % 2 === 0,
            prompt: 'tape',
          }),
        );
        return;
      case 'cancel':
        cancelRequest(pick);
        return;
      case 'pause':
        handles[pick % Math.max(1, handles.length)]?.setPaused(pick % 2 === 0);
        return;
      case 'leave': {
        const index = pick % 3;
        const server = fleet.servers[index];
        fleet.servers[index] = {...server, isLeaving: !server.isLeaving};
        fleet.updateServers();
        return;
      }
    }
    if (answer !== undefined) runAnswerStep(action, answer, pick);
  }

  function cancelRequest(pick: number): void {
    const index = pick % Math.max(1, handles.length);
    if (handles[index] === undefined) return;
    if (fleet.outcomes[index].closeCount === 0) cancelled.add(index);
    handles[index].cancel();
  }

  /** Calls the sink of an answer; late and repeated tokens may belong to an answer that is over. */
  function runAnswerStep(
    action: string,
    answer: FakeAnswer,
    pick: number,
  ): void {
    const {sink} = answer;
    const nowMs = fleet.clock.getMonotonicMs();
    switch (action) {
      case 'tokens':
        if (!answer.isOver) sendNext(answer, 1 + (pick % 2));
        return;
      case 'repeat':
      case 'late':
        sendTokens(answer, pick % TOKENS, 1);
        return;
      case 'skip':
        if (!answer.isOver) sendTokens(answer, answer.next + 1, 1);
        return;
      case 'end':
      case 'early-end':
        if (answer.isOver) return;
        if (action === 'end') sendNext(answer, TOKENS);
        answer.isOver = true;
        sink.onEnd({
          finishReason: 'stop',
          promptTokens: 10,
          cachedTokens: 0,
          generatedTokens: TOKENS,
        });
        return;
      case 'break':
      case 'refuse':
        if (answer.isOver) return;
        answer.isOver = true;
        sink.onFailure({
          kind: action === 'break' ? 'broken' : 'refused',
          verdict: action === 'break' ? 'may-have-run' : 'not-run',
          message: `${action} at ${nowMs}`,
        });
        return;
    }
  }

  function sendNext(answer: FakeAnswer, count: number): void {
    const left = Math.min(count, TOKENS - answer.next);
    if (left <= 0) return;
    answer.next += left;
    sendTokens(answer, answer.next - left, left);
  }

  function sendTokens(answer: FakeAnswer, index: number, count: number): void {
    if (index + count > TOKENS) return;
    answer.sink.onTokens({
      firstIndex: index,
      count,
      text: getText(index, count),
      firstAtMs: 0,
      lastAtMs: 0,
    });
  }

  function checkCounts(): void {
    const {dispatchers, outcomes} = fleet;
    const open = outcomes.filter(
      (outcome, index) => outcome.closeCount === 0 && !cancelled.has(index),
    );
    assert.equal(dispatchers[0].getOpenCount(), open.length);
    for (const work of dispatchers[0].listLocalWork()) {
      assert.ok(work.requests >= 0, `${work.requests} requests`);
      assert.ok(work.prefillTokens >= 0, `${work.prefillTokens} to prefill`);
      assert.ok(work.decodeTokens >= 0, `${work.decodeTokens} to decode`);
    }
    const inFlight = dispatchers[0]
      .listLocalWork()
      .reduce((sum, work) => sum + work.requests, 0);
    assert.equal(inFlight + dispatchers[0].getWaitingCount(), open.length);
  }
}

function getText(index: number, count: number): string {
  return Array.from({length: count}, (_, step) => `${index + step};`).join('');
}
