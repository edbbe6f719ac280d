/**
 * Learned speeds of servers: time to choose an engine and a plain server, time to record an
 * answer, and memory of a server, at up to the target size of 2,900 servers.
 * Run: npm run -s transpile && node --expose-gc build/js/bench/server_capacity.bench.js
 */
import {createServerCapacities, createServiceTimes} from '../src/capacity';
import {createLogger} from '../src/diagnostics/log';
import {createEngineAffinity} from '../src/gateway/engine_affinity';
import {createEngineSpeedEstimator} from '../src/gateway/engine_speed_estimator';
import {type PlacementInput, tryChoosePrefill} from '../src/gateway/placement';
import {createPrefillQueues} from '../src/gateway/prefill_queues';
import {createPrefixDirectory} from '../src/gateway/prefix_directory';
import {tryChooseServer} from '../src/gateway/service_choice';
import {type BackendEntry, EngineStage} from '../src/gateway/types';
import {createVirtualClock} from '../src/runtime';

const COUNTS = [10, 100, 2_900];
const ROUNDS = 9;
/** Servers looked at in one round, so that each count takes about the same time. */
const SERVERS_PER_ROUND = 290_000;
const PROMPT_TOKENS = 17_000;
const PATH = {localDomain: 'a', hasConnection: () => true};

const runs = await Promise.all(COUNTS.map(createRun));
// The counts take turns, so that load from other programs affects all of them alike.
for (let round = 0; round < ROUNDS; round++) for (const run of runs) run();
for (const run of runs) run.report();
for (const count of COUNTS) await reportMemory(count);

function listServers(count: number): BackendEntry[] {
  return Array.from({length: count}, (_, index) => ({
    id: `server-${index}`,
    service: 'llm',
    host: '127.0.0.1',
    port: 1,
    failureDomain: 'a',
    maxRunning: 128,
    isLeaving: false,
    stage: EngineStage.Prefill,
    startedAtMs: 1,
  }));
}

/** Creates capacities in which the servers have answers of every load, a third of the servers fast. */
async function createTrained(servers: readonly BackendEntry[]) {
  const clock = createVirtualClock();
  const capacities = createServerCapacities({
    clock,
    logger: createLogger({node: 'n', write: () => undefined}),
    getServiceFactor: () => 1,
  });
  for (let step = 0; step < 70; step++) {
    for (const [index, server] of servers.entries()) {
      const ratio = index % 3 === 0 ? 0.6 : 1.4;
      capacities.recordSample(server, {ratio, load: (step % 7) / 6});
    }
    await clock.advance(100);
  }
  return {clock, capacities};
}

async function createRun(count: number) {
  const servers = listServers(count);
  const {clock, capacities} = await createTrained(servers);
  const times = createServiceTimes({clock, countPeers: () => 80});
  const speeds = createEngineSpeedEstimator();
  const equal = createInput(servers, () => 1);
  const learned = createInput(servers, capacities.getRelativeFactor);
  const chosenMs = {
    equal: [] as number[],
    learned: [] as number[],
    plain: [] as number[],
    record: [] as number[],
  };
  const repeats = Math.ceil(SERVERS_PER_ROUND / count);
  return Object.assign(
    () => {
      chosenMs.equal.push(computeRunUs(repeats, () => tryChoosePrefill(equal)));
      chosenMs.learned.push(
        computeRunUs(repeats, () => tryChoosePrefill(learned)),
      );
      chosenMs.plain.push(computeRunUs(repeats, choosePlain));
      chosenMs.record.push(computeRunUs(10_000, record));
    },
    {
      report: () =>
        console.log(
          `${count} servers: prefill engine, equal ${format(chosenMs.equal)} us, ` +
            `learned ${format(chosenMs.learned)} us; plain server ${format(chosenMs.plain)} us; ` +
            `answer recorded ${format(chosenMs.record)} us`,
        ),
    },
  );

  function createInput(
    engines: readonly BackendEntry[],
    getTimeFactor: PlacementInput['getTimeFactor'],
  ): PlacementInput {
    return {
      request: {promptTokens: PROMPT_TOKENS, maxOutputTokens: 1, parts: []},
      engines,
      prefillQueues: createPrefillQueues(),
      prefixes: createPrefixDirectory(() => 450_000),
      affinity: createEngineAffinity(),
      path: PATH,
      isHomeCacheWarm: false,
      predictPrefillMs: (tokens, cached) =>
        speeds.predictPrefillMs('llm', tokens, cached),
      getTimeFactor,
      getRandom: Math.random,
      countStreams: () => 0,
      getSlotWaitMs: () => 0,
      handoffMs: 20,
      bodyBytes: 0,
      nowMs: 0,
    };
  }

  function choosePlain() {
    return tryChooseServer(
      servers,
      server => ({
        openCount: times.countOpen(server.id),
        answerMs:
          times.getAnswerMs('llm', 'route') *
          capacities.getRelativeFactor(
            server,
            (times.estimateFleetOpen(server.id) + 1) / server.maxRunning,
          ),
      }),
      PATH,
      Math.random,
    );
  }

  function record(): boolean {
    const server = servers[Math.floor(Math.random() * count)];
    capacities.recordSample(server, {ratio: 1.4, load: Math.random()});
    return true;
  }
}

function computeRunUs(repeats: number, call: () => unknown): number {
  const startedAtMs = performance.now();
  for (let index = 0; index < repeats; index++) {
    if (call() === undefined) throw new Error('nothing was chosen');
  }
  return ((performance.now() - startedAtMs) * 1_000) / repeats;
}

function format(values: readonly number[]): string {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[sorted.length >> 1].toFixed(2);
}

async function reportMemory(count: number): Promise<void> {
  const servers = listServers(count);
  const startBytes = getBytes();
  const trained = await createTrained(servers);
  const bytes = (getBytes() - startBytes) / count;
  const {isKnown} = trained.capacities.getEstimate(servers[0]);
  console.log(
    `${count} servers: ${Math.round(bytes)} bytes a server (${isKnown})`,
  );
}

function getBytes(): number {
  for (let count = 0; count < 4; count++) globalThis.gc?.();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}
