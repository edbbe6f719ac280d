/** Random fleets: one gateway's state built from its real parts, and requests that the real router decides on. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createServerCapacities, createServiceTimes} from '../../src/capacity';
import {createLogger} from '../../src/diagnostics/log';
import type {ExplainOptions, ExplainRequest} from '../../src/explain';
import {recordAssumedEnd} from '../../src/gateway/assumed_end';
import type {BackendCall, OpenCall} from '../../src/gateway/backend_call';
import {createCallerAdmission} from '../../src/gateway/caller_admission';
import {createCrashGuard} from '../../src/gateway/crash_guard';
import {createDrain} from '../../src/gateway/drain';
import {createEngineAffinity} from '../../src/gateway/engine_affinity';
import {createEngineSpeedEstimator} from '../../src/gateway/engine_speed_estimator';
import type {Exchange} from '../../src/gateway/exchange';
import {
  createExchangeRouter,
  type ExchangeRouter,
} from '../../src/gateway/exchange_router';
import {createFleetState} from '../../src/gateway/fleet_state';
import type {FlowContext} from '../../src/gateway/flow_context';
import {
  createGatewayMetrics,
  type GatewayMetrics,
} from '../../src/gateway/gateway_metrics';
import {createPeerReach} from '../../src/gateway/peer_reach';
import {createPrefillQueues} from '../../src/gateway/prefill_queues';
import {createPrefixDirectory} from '../../src/gateway/prefix_directory';
import {tryCreatePromptId} from '../../src/gateway/prompt_identity';
import {createHealthTracker} from '../../src/gateway/server_health';
import {createServerLimits} from '../../src/gateway/server_limits';
import {createServerPauses} from '../../src/gateway/server_pauses';
import {createStreamCounts} from '../../src/gateway/stream_counts';
import {
  type BackendEntry,
  DEFAULT_CALLER_LIMITS,
  EngineStage,
  type FleetStore,
  type GatewayConfig,
  type ModelRequest,
  type NodeRecord,
  RequestKind,
  type Route,
} from '../../src/gateway/types';
import {createWaitingPrompts} from '../../src/gateway/waiting_prompts';
import {createBackendProtocol} from '../../src/platform';
import type {Clock} from '../../src/runtime';
import {createAccountShares} from '../../src/shares';
import {createEntry, ENGINE_LIMITS} from '../gateway/support';

/** What the gateway did with a request. */
export interface Decision {
  readonly kind: 'send' | 'wait' | 'trial' | 'refuse';
  readonly serverId?: string;
  readonly status?: number;
  readonly reason?: string;
  readonly retryAfterMs?: number;
}

/** One fleet. */
export interface RandomFleet {
  readonly options: ExplainOptions;
  readonly metrics: GatewayMetrics;
  /** Log lines and messages to other nodes, as text. */
  readonly records: string[];
  createRequest(): ExplainRequest;
  /** Sends a request through the router of callers' requests. */
  decide(request: ExplainRequest): Decision;
  advance(ms: number): void;
  /** Returns what can be observed of the state. */
  renderState(): string;
  countTimers(): number;
}

/** Random numbers of one seed. */
export interface Chance {
  next(): number;
  /** Returns an integer from 0 to `count` - 1. */
  index(count: number): number;
  has(probability: number): boolean;
  choose<T>(items: readonly T[]): T;
}

const DOMAINS = ['a', 'b', 'c'];
const PART_IDS = ['intro', 'rules', 'book', 'chat', 'own'];
const ACCOUNTS = ['ada', 'ben', 'cyd'];

const SEED_FACTOR = 0x9e3779b1;
const SKIPPED_NUMBERS = 16;

/** Creates the random numbers of a seed. */
export function createChance(seed: number): Chance {
  const generator = xoroshiro128plus(Math.imul(seed + 1, SEED_FACTOR));
  const next = () => uniformFloat64(generator);
  // The first numbers of similar seeds are similar.
  for (let index = 0; index < SKIPPED_NUMBERS; index++) next();
  const index = (count: number) => Math.floor(next() * count);
  return {
    next,
    index,
    has: probability => next() < probability,
    choose: items => items[index(items.length)],
  };
}

/** Builds the fleet of a seed; its decisions depend on the second seed as well. */
export function createRandomFleet(
  seed: number,
  decisionSeed = seed + 1_000_000,
): RandomFleet {
  const chance = createChance(seed);
  const decisionChance = createChance(decisionSeed);
  const getRandom = decisionChance.next;
  const records: string[] = [];
  const timers = createTimers();
  const {clock} = timers;
  const metrics = createGatewayMetrics();
  const logger = createLogger({
    node: 'front-1',
    write: line => records.push(line),
  });
  const notify = (message: unknown) => records.push(JSON.stringify(message));
  const peerCount = chance.index(4) * chance.index(8);
  const state = createFleetState();
  state.applyConfig(createConfig(chance));
  const entries = listEntries(chance);
  state.replaceEntries(
    entries.map(entry => ({id: entry.id, entry, offset: 1})),
    0,
  );
  const speeds = createEngineSpeedEstimator();
  const capacities = createServerCapacities({
    clock,
    logger,
    getServiceFactor: service =>
      service.startsWith('llm') ? speeds.getEngineFactor(service) : 1,
    onChanged: metrics.recordCapacityChange,
  });
  const prefillQueues = createPrefillQueues(job =>
    recordAssumedEnd({state, speeds, capacities}, job),
  );
  const peers = Array.from({length: peerCount}, (_, index): NodeRecord => ({
    name: `front-${index + 2}`,
    host: '127.0.0.1',
    peerPort: 1,
    controlPort: 1,
    failureDomain: 'a',
  }));
  const reach = createPeerReach({
    nodeName: 'front-1',
    clock,
    getRandom,
    peers: {
      list: () => peers,
      count: () => peerCount,
      tryFind: name => peers.find(peer => peer.name === name),
      send: (node, message) => notify({to: node.name, message}),
    },
  });
  const limits = createServerLimits({
    nodeName: 'front-1',
    clock,
    logger,
    metrics,
    getReach: reach.getFraction,
    predictReach: reach.predictFraction,
    notify,
  });
  const health = createHealthTracker({
    clock,
    logger,
    getRandom,
    onEjected: () => undefined,
  });
  const pauses = createServerPauses(clock);
  const serviceTimes = createServiceTimes({clock, countPeers: () => peerCount});
  const streams = createStreamCounts();
  const prefixes = createPrefixDirectory(() => 100_000);
  const shares = createAccountShares({
    nodeName: 'front-1',
    clock,
    logger,
    hasAccounts: () => state.tryGetAccounts() !== undefined,
    tryCountPlannersBefore: () => undefined,
    listReports: () => [],
    notify,
  });
  const waitingPrompts = createWaitingPrompts({
    clock,
    getRandom,
    countPeers: () => peerCount,
    countEngines: state.countEngines,
  });
  let trialCount = 0;
  const guard = createCrashGuard({
    nodeName: 'front-1',
    clock,
    logger,
    metrics,
    store: {} as FleetStore,
    getRandom,
    isFirstStart: true,
    isReader: () => false,
    checkProcess: () => Promise.resolve(true),
    notify,
  });
  const changing = new Set(
    entries.filter(() => chance.has(0.05)).map(({id}) => id),
  );
  const connected = new Set(
    entries.filter(() => chance.has(0.5)).map(({id}) => id),
  );
  const calls: BackendCall[] = [];
  const context: FlowContext = {
    nodeName: 'front-1',
    path: {localDomain: 'a', hasConnection: id => connected.has(id)},
    state,
    connections: {
      call: (call: BackendCall) => {
        calls.push(call);
        limits.recordSend(call.server);
        return OPEN_CALL;
      },
    } as unknown as FlowContext['connections'],
    protocol: createBackendProtocol(),
    clock,
    metrics,
    health,
    liveness: {
      check: () => new Promise(() => undefined),
      hasCompletedSince: () => false,
      recordCompletion: () => undefined,
      remove: () => undefined,
    },
    pauses,
    limits,
    crashGuard: {
      ...guard,
      claimTrial: () => {
        trialCount++;
        return new Promise(() => undefined);
      },
    },
    speeds,
    capacities,
    serviceTimes,
    prefillQueues,
    prefixes,
    affinity: createEngineAffinity(),
    isHomeCacheWarm: chance.has(0.3),
    streams,
    waitingPrompts,
    demand: {record: () => undefined} as unknown as FlowContext['demand'],
    shares,
    isChangingStage: id => changing.has(id),
    getRandom,
    getRetryBudget: () => ({
      recordRequest: () => undefined,
      tryTake: () => true,
    }),
    countPeers: () => peerCount,
    recordRun: () => undefined,
    notifyPeers: notify,
  };
  const stateAgeMs = chance.has(0.05) ? 5_000 : 100;
  const admission = createCallerAdmission({
    state,
    bounds: {configApplyMs: 2_000, revokeMs: 6_000},
    getStateAgeMs: () => stateAgeMs,
  });
  const drain = createDrain({clock, durationMs: 7_500});
  const router = createExchangeRouter({context, admission, drain, logger});
  addHistory(chance, context, entries, timers.advance);
  if (chance.has(0.03)) {
    drain.start();
    timers.advance(6_000);
  }
  return {
    options: {context, admission, drain},
    metrics,
    records,
    createRequest: () => createRequest(chance),
    decide: request => observeDecision(router, request),
    advance: timers.advance,
    renderState: () =>
      JSON.stringify([
        capacities.listFactors(100),
        speeds.listEstimates(),
        shares.tryCreateReport(),
        limits.listMessages(),
        waitingPrompts.count(),
        guard.listEntries(),
        metrics.render(),
        records,
        timers.count(),
      ]),
    countTimers: timers.count,
  };

  function observeDecision(
    via: ExchangeRouter,
    request: ExplainRequest,
  ): Decision {
    const callCount = calls.length;
    const waitingCount = waitingPrompts.count();
    const trialsBefore = trialCount;
    const answers: Decision[] = [];
    via.handle(
      createExchange(request, clock.getMonotonicMs(), answer =>
        answers.push(answer),
      ),
    );
    if (answers.length > 0) return answers[0];
    if (calls.length > callCount) {
      return {kind: 'send', serverId: calls[callCount].server.id};
    }
    if (trialCount > trialsBefore) return {kind: 'trial'};
    if (waitingPrompts.count() > waitingCount) return {kind: 'wait'};
    throw new Error('the gateway did nothing');
  }
}

const OPEN_CALL = {
  cancel: () => undefined,
  setPaused: () => undefined,
  isSent: () => true,
  getEvidence: () => undefined,
} as unknown as OpenCall;

/** Creates a clock whose timers run, without promises, only in `advance`. */
function createTimers() {
  let nowMs = 10_000;
  let timers: Array<{dueMs: number; callback: () => void}> = [];
  const clock: Clock = {
    getMonotonicMs: () => nowMs,
    getWallMs: () => 1_700_000_000_000 + nowMs,
    schedule: (delayMs, callback) => {
      const timer = {dueMs: nowMs + delayMs, callback};
      timers.push(timer);
      return {
        cancel: () => {
          timers = timers.filter(item => item !== timer);
        },
      };
    },
    sleep: () => new Promise(() => undefined),
  };
  return {clock, advance, count: () => timers.length};

  function advance(ms: number): void {
    const untilMs = nowMs + ms;
    for (;;) {
      const due = timers
        .filter(({dueMs}) => dueMs <= untilMs)
        .sort((left, right) => left.dueMs - right.dueMs)
        .at(0);
      if (due === undefined) break;
      nowMs = Math.max(nowMs, due.dueMs);
      timers = timers.filter(item => item !== due);
      due.callback();
    }
    nowMs = untilMs;
  }
}

function createConfig(chance: Chance): GatewayConfig {
  const createRoute = (
    name: string,
    kind: RequestKind,
    services: readonly string[],
  ): Route => ({
    name,
    host: 'desk.example',
    pathPrefix: `/${name}/`,
    kind,
    timeoutMs: 1_000 + chance.index(9_000),
    objectiveMs: 50 + chance.index(500),
    pauseObjectiveMs: 100,
    rank: chance.index(3),
    maxServers: 1 + chance.index(2),
    isResumable: chance.has(0.3),
    isPublic: chance.has(0.3),
    services: services
      .slice(0, 1 + chance.index(services.length))
      .map(service => ({service, weight: chance.index(4)})),
  });
  const engine = {
    ...ENGINE_LIMITS,
    maxRunning: 8,
    linkMbps: chance.choose([1_000, 100_000]),
  };
  const service = {healthPath: '/healthz', maxConnections: 100};
  return {
    version: 1,
    routes: [
      createRoute('look', RequestKind.Idempotent, ['app', 'app-b']),
      createRoute('order', RequestKind.NonIdempotent, ['app']),
      createRoute('ask', RequestKind.Stream, ['llm', 'llm-b']),
      createRoute('talk', RequestKind.Stream, ['llm']),
    ],
    services: [
      {...service, name: 'app'},
      {...service, name: 'app-b'},
      {...service, name: 'llm', engine},
      {...service, name: 'llm-b', engine},
    ],
    limits: DEFAULT_CALLER_LIMITS,
    ...(chance.has(0.5)
      ? {
          accounts: ACCOUNTS.map((name, index) => ({
            name,
            keyDigests: [`digest-of-${name}`],
            ...(index === 0 ? {} : {rank: index - 1}),
          })),
        }
      : {}),
  };
}

function listEntries(chance: Chance): BackendEntry[] {
  const build = (service: string, max: number, isEngine: boolean) =>
    Array.from({length: chance.index(max + 1)}, (_, index) =>
      createEntry({
        id: `${service}-${index}`,
        service,
        failureDomain: chance.choose(DOMAINS),
        maxRunning: 1 + chance.index(8),
        isLeaving: chance.has(0.05),
        ...(isEngine
          ? {
              stage: chance.has(0.5) ? EngineStage.Prefill : EngineStage.Decode,
            }
          : {}),
      }),
    );
  return [
    ...build('app', 6, false),
    ...build('app-b', 3, false),
    ...build('llm', 12, true),
    ...build('llm-b', 4, true),
  ];
}

/** Records random events of the past, and lets time pass between them. */
function addHistory(
  chance: Chance,
  context: FlowContext,
  entries: readonly BackendEntry[],
  advance: (ms: number) => void,
): void {
  const now = () => context.clock.getMonotonicMs();
  const troubles = chance.has(0.5) ? 0.1 : 0;
  const load = chance.choose([0, 2, 6]);
  const waiting = chance.choose([0.02, 0.3]);
  const limitedFraction = chance.choose([0, 0, 0.2, 1]);
  const limitPerS = chance.choose([1, 20]);
  for (const entry of entries) {
    if (!chance.has(limitedFraction)) continue;
    context.limits.recordSend(entry)(limitPerS);
  }
  if (chance.has(0.1)) addQuarantine(chance, context);
  if (chance.has(0.5)) addShares(chance, context);
  const jobs = load * entries.length;
  for (let index = 0; index < jobs; index++) addEvent(index);
  // Some of the jobs have ended by assumption, which the next look at their queue records.
  advance(chance.choose([1, 30, 300, 1_500]));

  function addEvent(index: number): void {
    const entry = chance.choose(entries);
    advance(chance.index(10));
    if (chance.has(0.2)) context.limits.recordSend(entry);
    if (chance.has(troubles)) {
      context.health.recordFailure(entry.id, 'connect', true);
    }
    if (chance.has(troubles / 2)) {
      context.pauses.record(entry, chance.index(1_000));
    }
    if (chance.has(0.3)) {
      const ratio = 0.3 + 3 * chance.next();
      context.capacities.recordSample(entry, {ratio, load: chance.next()});
    }
    if (chance.has(0.05)) {
      context.capacities.addFactors([[entry.id, 1, 0.5 + chance.next()]]);
    }
    if (chance.has(0.1)) {
      const message = {kind: 'limit', from: 'front-2', serverId: entry.id};
      context.limits.handle({
        ...message,
        kind: 'limit',
        startedAtMs: 1,
        recentCount: chance.index(4),
      });
    }
    if (entry.stage === undefined) {
      context.serviceTimes.recordStart(entry.id);
      if (chance.has(0.6)) context.serviceTimes.recordEnd(entry.id);
      return;
    }
    addEngineEvent(entry, index);
  }

  function addEngineEvent(entry: BackendEntry, index: number): void {
    const costMs = chance.index(400);
    const job = {id: `job-${index}`, serverId: entry.id, costMs};
    const assumed = {endsInMs: chance.index(600), factor: 0.5 + chance.next()};
    context.prefillQueues.add(
      chance.has(0.5) ? {...job, ...assumed} : job,
      now(),
    );
    if (chance.has(0.05)) context.prefillQueues.recordFull(entry.id, now());
    if (chance.has(0.1)) {
      context.prefillQueues.recordBacklog(entry.id, 300, now());
    }
    context.prefixes.recordPrefill(entry.id, listParts(chance));
    if (entry.stage === EngineStage.Decode) {
      context.streams.add(entry.id, `s-${index}`, now() + chance.index(2_000));
    }
    if (chance.has(waiting)) {
      context.waitingPrompts.add({
        rank: chance.index(3),
        account: chance.choose(ACCOUNTS),
        isOverShare: chance.has(0.2),
        workMs: chance.index(300),
        expiresAtMs: now() + 3_000,
        tryStart: () => false,
        onExpired: () => undefined,
      });
    }
  }
}

function addQuarantine(chance: Chance, {crashGuard}: FlowContext): void {
  const partIds = ['intro', tryCreatePromptId({...MODEL}) ?? ''];
  crashGuard.mergeEntries([
    {
      partId: chance.choose(partIds),
      version: 5,
      isActive: true,
      trialCount: 1,
      nextTrialInMs: chance.choose([0, 60_000]),
      isStored: true,
    },
  ]);
}

function addShares(chance: Chance, {shares}: FlowContext): void {
  for (const account of ACCOUNTS) {
    for (const rank of [0, 1, 2]) {
      shares.recordArrival({account, rank, workMs: chance.index(3_000)});
    }
  }
  shares.recordStart(chance.index(2_000));
  shares.recordShortage();
  if (chance.has(0.7)) {
    shares.handlePlan('front-2', {
      shares: ACCOUNTS.flatMap(account =>
        [0, 1, 2].map(rank => ({account, rank, fraction: chance.next() / 2})),
      ),
      arrivedMs: 2_000,
      startedMs: 1_000,
    });
  }
  // Earlier prompts determine which prompts the shares cover.
  for (let index = 0; index < 60; index++) {
    const account = chance.choose(ACCOUNTS);
    const rank = chance.index(3);
    shares.tryGetExceeded({account, rank, workMs: 1 + chance.index(60)});
  }
}

const MODEL: ModelRequest = {
  promptTokens: 1_200,
  maxOutputTokens: 100,
  parts: [
    {id: 'intro', tokens: 1_000},
    {id: 'own', tokens: 200},
  ],
};

function listParts(chance: Chance) {
  const count = chance.index(PART_IDS.length + 1);
  return PART_IDS.slice(0, count).map(id => ({id, tokens: 400}));
}

function createRequest(chance: Chance): ExplainRequest {
  const parts = listParts(chance);
  const promptTokens = chance.choose([20, 2_000, 40_000]);
  const model = chance.has(0.2) ? MODEL : {...MODEL, promptTokens, parts};
  const path = chance.choose(['/look/a', '/order/', '/ask/?q=1', '/talk/x']);
  return {
    host: chance.choose(['desk.example', 'Desk.example:80', 'desk.example']),
    path: chance.has(0.03) ? '/none' : path,
    method: 'POST',
    bodyBytes: chance.choose([0, 500, 50_000]),
    ...(chance.has(0.9) ? {model} : {}),
    ...(chance.has(0.8)
      ? {account: chance.choose([...ACCOUNTS, ...ACCOUNTS, 'nobody'])}
      : {}),
    ...(chance.has(0.5) ? {deadlineMs: 1 + chance.index(5_000)} : {}),
  };
}

let exchangeCount = 0;

function createExchange(
  request: ExplainRequest,
  receivedAtMs: number,
  onAnswer: (decision: Decision) => void,
): Exchange {
  const {account, model, deadlineMs, bodyBytes} = request;
  const ignore = () => undefined;
  return {
    method: request.method,
    target: request.path,
    host: request.host,
    rawHeaders: [],
    request: {
      requestId: `request-${exchangeCount++}`,
      ...(deadlineMs === undefined ? {} : {deadlineMs}),
      ...(model === undefined ? {} : {model}),
      ...(account === undefined ? {} : {keyDigest: `digest-of-${account}`}),
    },
    ...(bodyBytes === 0 ? {} : {body: Buffer.alloc(bodyBytes)}),
    holdBody: () => ignore,
    setReadLimit: ignore,
    receivedAtMs,
    isOver: () => false,
    hasAnswerBegun: () => false,
    onDisconnect: ignore,
    isHalfClosed: () => false,
    onHalfClose: ignore,
    sendHead: ignore,
    write: () => true,
    onDrain: ignore,
    end: ignore,
    abort: ignore,
    answer: (status, headers, text) => {
      const reason = text.replace(/ \([a-z-]+\)$/, '');
      const retryAt = headers.findIndex(name => /retry-after/i.test(name)) + 1;
      onAnswer({
        kind: 'refuse',
        status,
        reason,
        ...(retryAt === 0
          ? {}
          : {retryAfterMs: Number(headers[retryAt]) * 1_000}),
      });
    },
  };
}
