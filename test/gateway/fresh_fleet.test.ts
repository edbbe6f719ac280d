/** A model of a fleet that has just restarted: no node knows what the others have sent, and each is short of processor time. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {computePrefillMs} from '../../src/gateway/engine_costs';
import {createEngineAffinity} from '../../src/gateway/engine_affinity';
import {tryChoosePrefill} from '../../src/gateway/placement';
import {createPrefillQueues} from '../../src/gateway/prefill_queues';
import {createPrefixDirectory} from '../../src/gateway/prefix_directory';
import {
  Admission,
  chooseAdmission,
  getFirstEventBudgetMs,
} from '../../src/gateway/stream_admission';
import {EngineStage, RequestKind, type Route} from '../../src/gateway/types';
import {createWaitingPrompts} from '../../src/gateway/waiting_prompts';
import {createVirtualClock} from '../../src/runtime';
import type {Clock, VirtualClock} from '../../src/runtime/types';
import {createEntry} from './support';

const NODE_COUNT = 12;
const PROMPTS_PER_NODE = 24;
/** Time in which a node reads its prompts at the start and does nothing else, in milliseconds. */
const HELD_UP_MS = 420;
/** Actual time of a prefill, in milliseconds: the engines are faster than the nominal speeds, by which a fresh node predicts 260, and have cached most of the prompt. */
const PREFILL_MS = 15;
const MODEL = {
  promptTokens: 12_000,
  maxOutputTokens: 10,
  parts: [{id: 'own', tokens: 12_000}],
};
const ROUTE: Route = {
  name: 'ask',
  host: 'desk.example',
  pathPrefix: '/ask/',
  kind: RequestKind.Stream,
  timeoutMs: 5_000,
  objectiveMs: 300,
  pauseObjectiveMs: 150,
  rank: 0,
  maxServers: 1,
  isResumable: false,
  services: [],
};

test('twelve fresh nodes refuse no prompt while the engines have room for all of them', async () => {
  for (const seed of [1, 2, 3]) {
    const fleet = await runFleet(seed);
    assert.deepEqual(fleet.refusedAfterMs, [], `seed ${seed}`);
    assert.equal(fleet.servedCount, NODE_COUNT * PROMPTS_PER_NODE);
    // The engines need 0.72 s for all prompts.
    assert.ok(fleet.lastEndMs < 2_000, `last end at ${fleet.lastEndMs}`);
  }
});

interface FleetOutcome {
  readonly refusedAfterMs: number[];
  servedCount: number;
  lastEndMs: number;
}

/** Runs the first seconds of the fleet with engines that prefill in order of arrival. */
async function runFleet(seed: number): Promise<FleetOutcome> {
  const clock = createVirtualClock();
  const generator = xoroshiro128plus(seed);
  const getRandom = () => uniformFloat64(generator);
  const engines = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6'].map(id =>
    createEntry({id, stage: EngineStage.Prefill}),
  );
  const freeAtMs = new Map(engines.map(({id}) => [id, 0]));
  const outcome: FleetOutcome = {
    refusedAfterMs: [],
    servedCount: 0,
    lastEndMs: 0,
  };
  const nodes = Array.from({length: NODE_COUNT}, () => createPrefillQueues());
  for (const [index, queues] of nodes.entries()) startNode(index, queues);
  await clock.advance(6_000);
  return outcome;

  function startNode(
    index: number,
    queues: ReturnType<typeof createPrefillQueues>,
  ): void {
    const waiting = createWaitingPrompts({
      clock: createHeldUpClock(clock),
      getRandom,
      countPeers: () => NODE_COUNT - 1,
      countEngines: () => engines.length,
      isFresh: () => clock.getMonotonicMs() < 3_000,
    });
    const prefixes = createPrefixDirectory(() => 450_000);
    const affinity = createEngineAffinity();
    for (let prompt = 0; prompt < PROMPTS_PER_NODE; prompt++) {
      const atMs = (HELD_UP_MS * prompt) / PROMPTS_PER_NODE;
      clock.schedule(atMs, () => startPrompt(`${index}-${prompt}`));
    }

    function startPrompt(id: string): void {
      const arrivedMs = clock.getMonotonicMs();
      if (trySend(id, arrivedMs)) return;
      const budgetMs = getFirstEventBudgetMs(getTimes(arrivedMs));
      if (waiting.predictWaitMs() > budgetMs) {
        outcome.refusedAfterMs.push(0);
        return;
      }
      waiting.add({
        rank: 0,
        account: '',
        isOverShare: false,
        workMs: 0,
        expiresAtMs: arrivedMs + budgetMs,
        tryStart: () => trySend(id, arrivedMs),
        onExpired: () => outcome.refusedAfterMs.push(budgetMs),
      });
    }

    function trySend(id: string, arrivedMs: number): boolean {
      const nowMs = clock.getMonotonicMs();
      const placement = tryChoosePrefill({
        request: MODEL,
        engines,
        prefillQueues: queues,
        prefixes,
        affinity,
        path: {localDomain: 'a', hasConnection: () => true},
        isHomeCacheWarm: true,
        predictPrefillMs: computePrefillMs,
        getTimeFactor: () => 1,
        getRandom,
        countStreams: () => 0,
        getSlotWaitMs: () => 0,
        handoffMs: 20,
        bodyBytes: 0,
        nowMs,
      });
      assert.ok(placement !== undefined);
      const {server, waitMs, prefillMs} = placement;
      const admission = chooseAdmission({
        ...getTimes(arrivedMs),
        waitMs,
        workMs: prefillMs,
      });
      if (admission !== Admission.Send) return false;
      const job = {id, serverId: server.id, costMs: prefillMs};
      queues.add(job, nowMs);
      notifyOthers(other => other.add(job, clock.getMonotonicMs()));
      const endMs = Math.max(nowMs, freeAtMs.get(server.id) ?? 0) + PREFILL_MS;
      freeAtMs.set(server.id, endMs);
      createHeldUpClock(clock).schedule(endMs - nowMs, () => {
        queues.remove(id, clock.getMonotonicMs());
        notifyOthers(other => other.remove(id, clock.getMonotonicMs()));
        outcome.servedCount++;
        outcome.lastEndMs = endMs;
      });
      return true;
    }

    function notifyOthers(
      apply: (other: ReturnType<typeof createPrefillQueues>) => void,
    ): void {
      createHeldUpClock(clock).schedule(2, () => {
        for (const other of nodes) if (other !== queues) apply(other);
      });
    }
  }

  function getTimes(arrivedMs: number) {
    const elapsedMs = clock.getMonotonicMs() - arrivedMs;
    return {
      route: ROUTE,
      elapsedMs,
      remainingMs: ROUTE.timeoutMs - elapsedMs,
    };
  }
}

/** Returns a clock whose timers run no earlier than the end of the time in which the processes are held up. */
function createHeldUpClock(clock: VirtualClock): Clock {
  return {
    ...clock,
    schedule: (delayMs, callback) =>
      clock.schedule(
        Math.max(delayMs, HELD_UP_MS - clock.getMonotonicMs()),
        callback,
      ),
  };
}
