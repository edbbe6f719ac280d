/**
 * Cost of a routing decision by number of engines and client accounts, and memory of an open
 * request.
 */
import type {
  EngineCall,
  EngineClient,
  EngineReport,
  EngineSink,
} from '../src/backends';
import {
  createAccountLimiter,
  createDispatcher,
  type Dispatcher,
  type RequestHandle,
} from '../src/routing';
import {createSystemClock} from '../src/runtime';
import {
  createEngineServer,
  createRandom,
  createRequest,
} from '../test/support/routing_fleet';

const ENGINE_COUNTS = [13, 100, 1_000, 2_900];
const ACCOUNT_COUNTS = [1, 1_000, 39_000];
const MODELS = 32;
const MODEL_NAMES = Array.from(
  {length: MODELS},
  (_, index) => `model-${index}`,
);
const DECISIONS = 20_000;
const ROUNDS = 5;
const OPEN_REQUESTS = 10_000;
const LIMITS = {requestsPerS: 1e6, burst: 1e6, maxConcurrent: 1e6};

interface Setup {
  readonly dispatcher: Dispatcher;
  readonly sinks: EngineSink[];
  updateReports(): void;
}

const clock = createSystemClock();

for (const engines of ENGINE_COUNTS) runDecisions(engines, 1_000);
for (const accounts of ACCOUNT_COUNTS) runDecisions(1_000, accounts);
runReports(2_900);
runMemory();

function createSetup(engines: number): Setup {
  const sinks: EngineSink[] = [];
  const call: EngineCall = {
    cancel: () => undefined,
    setPaused: () => undefined,
  };
  const client: EngineClient = {
    start: (_request, sink) => {
      sinks.push(sink);
      return call;
    },
    resume: () => call,
    getReport: () => Promise.reject(new Error('not used')),
    sendCommand: () => Promise.reject(new Error('not used')),
    listCacheEvents: () => Promise.reject(new Error('not used')),
    close: () => undefined,
  };
  const dispatcher = createDispatcher(
    {
      clock,
      getEngineClient: () => client,
      getRandom: createRandom(1),
      emitEvent: () => undefined,
      getNodeCount: () => 14,
    },
    {limiter: createAccountLimiter()},
  );
  const servers = Array.from({length: engines}, (_, index) =>
    createEngineServer(`engine-${index}`),
  );
  dispatcher.updateServers(servers);
  let sequence = 0;
  updateReports();
  return {dispatcher, sinks, updateReports};

  function updateReports(): void {
    sequence++;
    for (const server of servers) {
      dispatcher.updateReport(createReport(server.id, sequence));
    }
  }
}

function createReport(engine: string, sequence: number): EngineReport {
  return {
    engine,
    sequence,
    incarnation: 'one',
    role: 'mixed',
    state: 'ready',
    models: MODEL_NAMES,
    adapters: [],
    version: '1',
    running: 4,
    waiting: 0,
    prefillTokens: 1_000,
    decodeTokens: 400,
    freePieces: 1e6,
    totalPieces: 1e6,
    prefillTokensPerS: 1e6,
    decodeStepMs: 12,
    decodeStepMsPerRequest: 0.01,
    maxRunning: 1e6,
    fencingNumber: 0,
  };
}

/** Prints the time to submit a request and end its answer, as the median of the rounds. */
function runDecisions(engines: number, accounts: number): void {
  const {dispatcher, sinks} = createSetup(engines);
  const times: number[] = [];
  for (let round = 0; round <= ROUNDS; round++) {
    const startMs = performance.now();
    for (let index = 0; index < DECISIONS; index++) {
      submitOne(dispatcher, index, accounts);
      settleLast(sinks);
    }
    // The first round is a warm-up and is not counted.
    if (round > 0) times.push(performance.now() - startMs);
  }
  times.sort((left, right) => left - right);
  const medianUs = (times[ROUNDS >> 1] * 1_000) / DECISIONS;
  console.log(
    `${engines} engines, ${accounts} client accounts: ${medianUs.toFixed(2)} us a request`,
  );
}

function submitOne(
  dispatcher: Dispatcher,
  index: number,
  accounts: number,
): RequestHandle {
  const request = createRequest(`req-${index}`, clock.getMonotonicMs(), {
    clientAccount: `account-${index % accounts}`,
    model: `model-${index % MODELS}`,
    limits: LIMITS,
  });
  return dispatcher.submit(request, {
    onTokens: () => undefined,
    onEnd: () => undefined,
    onFailure: failure => {
      throw new Error(failure.message);
    },
  });
}

function settleLast(sinks: EngineSink[]): void {
  const sink = sinks.pop();
  sink?.onTokens({
    firstIndex: 0,
    count: 20,
    text: '',
    firstAtMs: 0,
    lastAtMs: 0,
  });
  sink?.onEnd({
    finishReason: 'stop',
    promptTokens: 400,
    cachedTokens: 0,
    generatedTokens: 20,
  });
}

function runReports(engines: number): void {
  const {updateReports} = createSetup(engines);
  const startMs = performance.now();
  const rounds = 20;
  for (let round = 0; round < rounds; round++) updateReports();
  const each = ((performance.now() - startMs) * 1_000) / (rounds * engines);
  console.log(`a report of ${engines} engines: ${each.toFixed(2)} us`);
}

function runMemory(): void {
  const {dispatcher} = createSetup(2_900);
  const before = getHeapBytes();
  const handles = Array.from({length: OPEN_REQUESTS}, (_, index) =>
    submitOne(dispatcher, index, 1_000),
  );
  const each = (getHeapBytes() - before) / OPEN_REQUESTS;
  console.log(
    `${dispatcher.getOpenCount()} open requests: ${Math.round(each)} bytes of heap each`,
  );
  for (const handle of handles) handle.cancel();
}

function getHeapBytes(): number {
  if (typeof globalThis.gc === 'function') globalThis.gc();
  return process.memoryUsage().heapUsed;
}
