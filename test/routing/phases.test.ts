/** Prefill on one engine and decode on another. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {EngineRequest, EngineRole, KvHandle} from '../../src/backends';
import {Verdict} from '../../src/verdict';
import {createRoutingFleet, type RoutingFleet} from '../support/routing_fleet';

interface SplitFleet {
  readonly fleet: RoutingFleet;
  /** Requests sent to engines, in order. */
  readonly sent: Array<{
    readonly engine: string;
    readonly request: EngineRequest;
  }>;
}

function createSplitFleet(
  roles: readonly EngineRole[],
  importKv?: (handle: KvHandle) => boolean,
): SplitFleet {
  const sent: SplitFleet['sent'] = [];
  const fleet = createRoutingFleet({
    engines: roles.length,
    getEngineOptions: index => ({
      role: roles[index],
      importKv: importKv ?? (handle => exportFrom(handle)),
    }),
    wrapClient: (client, engine) => ({
      ...client,
      start: (request, sink) => {
        sent.push({engine, request});
        return client.start(request, sink);
      },
    }),
  });
  return {fleet, sent};

  function exportFrom(handle: KvHandle): boolean {
    const engine = fleet.engines.find(item => item.id === handle.engine);
    return engine?.exportKv(handle.id) ?? false;
  }
}

test('a long prompt is prefilled on one engine and decoded on another', async () => {
  const {fleet, sent} = createSplitFleet(['prefill', 'decode', 'decode']);
  fleet.submit(0, {promptTokens: 6_000, maxTokens: 60, prompt: 'tape'});
  await fleet.clock.advance(10_000);
  const [outcome] = fleet.outcomes;
  assert.equal(outcome.tokens, 60);
  assert.equal(outcome.closeCount, 1);
  assert.deepEqual(
    sent.map(item => item.request.phase),
    ['prefill', 'decode'],
  );
  assert.equal(sent[1].request.firstTokenIndex, 1);
  assert.equal(sent[1].request.kv?.engine, 'engine-0');
  assert.notEqual(outcome.end?.engine, 'engine-0');
  fleet.stop();
});

test('an idle mixed engine is preferred to a split with a KV transfer', async () => {
  const {fleet, sent} = createSplitFleet(['mixed', 'prefill', 'decode']);
  fleet.submit(0, {promptTokens: 6_000, maxTokens: 60});
  await fleet.clock.advance(10_000);
  assert.deepEqual(
    sent.map(item => item.request.phase),
    ['full'],
  );
  fleet.stop();
});

test('an idempotent request whose decode engine crashes continues elsewhere as one answer', async () => {
  const {fleet, sent} = createSplitFleet(['prefill', 'decode', 'decode']);
  const text = Array.from({length: 200}, (_, index) => `w${index}`).join(' ');
  fleet.submit(0, {promptTokens: 2_000, maxTokens: 200, prompt: 'tape'});
  await fleet.clock.advance(1_500);
  const decode = sent[sent.length - 1];
  assert.equal(decode.request.phase, 'decode');
  fleet.crash(Number(decode.engine.slice('engine-'.length)), 60_000);
  await fleet.clock.advance(20_000);
  const [outcome] = fleet.outcomes;
  assert.equal(outcome.text, text);
  assert.equal(outcome.closeCount, 1);
  fleet.stop();
});

test('after a decode engine refuses, another one imports the KV cache', async () => {
  const {fleet, sent} = createSplitFleet(['prefill', 'decode', 'decode']);
  fleet.submit(0, {promptTokens: 2_000, maxTokens: 20, idempotent: false});
  // One decode engine refuses requests, but the node does not know yet that it is leaving.
  fleet.engines[1].setLeaving(true);
  await fleet.clock.advance(10_000);
  const [outcome] = fleet.outcomes;
  assert.equal(outcome.tokens, 20);
  const prefills = sent.filter(item => item.request.phase === 'prefill');
  assert.equal(prefills.length, 1);
  fleet.stop();
});

test('a non-idempotent request is not run again when no decode engine is left', async () => {
  const {fleet, sent} = createSplitFleet(['prefill', 'decode']);
  fleet.submit(0, {promptTokens: 2_000, maxTokens: 20, idempotent: false});
  fleet.engines[1].setLeaving(true);
  await fleet.clock.advance(12_000);
  const [outcome] = fleet.outcomes;
  assert.equal(outcome.failure?.verdict, Verdict.MayHaveRun);
  const prefills = sent.filter(item => item.request.phase !== 'decode');
  assert.equal(prefills.length, 1);
  fleet.stop();
});

test('an answer is completed even if its KV cache cannot be imported', async () => {
  const {fleet} = createSplitFleet(['prefill', 'decode'], () => false);
  fleet.submit(0, {promptTokens: 2_000, maxTokens: 20});
  await fleet.clock.advance(10_000);
  assert.equal(fleet.outcomes[0].tokens, 20);
  fleet.stop();
});
