/** A test fleet of dispatchers and simulated engines on a virtual clock, with lagging reports. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {BackendServer, EngineClient} from '../../src/backends';
import {
  type AnswerEnd,
  createDispatcher,
  type Dispatcher,
  type DispatcherOptions,
  type ModelRequest,
  type RequestHandle,
  type RoutingEvent,
} from '../../src/routing';
import {createVirtualClock, type VirtualClock} from '../../src/runtime';
import {
  createEngineModel,
  type EngineModel,
  type EngineModelOptions,
} from '../../src/standins';
import type {RequestFailure} from '../../src/verdict';

/** Outcome of a request so far. */
export interface Outcome {
  readonly request: ModelRequest;
  readonly submittedAtMs: number;
  tokens: number;
  text: string;
  /** When the first tokens arrived, on the virtual clock; -1 before. */
  firstTokenAtMs: number;
  /** When the answer ended or failed, on the virtual clock; -1 before. */
  closedAtMs: number;
  /** Calls of `onEnd` and `onFailure`; more than 1 is a fault. */
  closeCount: number;
  end?: AnswerEnd;
  failure?: RequestFailure;
}

/** Options of a fleet. */
export interface RoutingFleetOptions {
  readonly nodes?: number;
  readonly engines?: number;
  readonly seed?: number;
  /** Replaces the random numbers of the dispatchers. */
  readonly getRandom?: () => number;
  readonly reportLagMs?: number;
  readonly reportIntervalMs?: number;
  readonly engine?: Partial<EngineModelOptions>;
  /** Returns the options of one engine by its index; they override `engine`. */
  readonly getEngineOptions?: (index: number) => Partial<EngineModelOptions>;
  readonly createOptions?: () => DispatcherOptions;
  /** Wraps the client of an engine, for fault injection. */
  readonly wrapClient?: (client: EngineClient, engine: string) => EngineClient;
}

/** A fleet under test. */
export interface RoutingFleet {
  readonly clock: VirtualClock;
  readonly dispatchers: readonly Dispatcher[];
  readonly engines: readonly EngineModel[];
  readonly servers: BackendServer[];
  readonly events: RoutingEvent[];
  readonly outcomes: Outcome[];
  /** Returns the number of requests sent to engines by all nodes. */
  getStartCount(): number;
  getRandom(): number;
  /** Submits a request at a node; properties not given get defaults. */
  submit(node: number, request: Partial<ModelRequest>): RequestHandle;
  /** Crashes an engine; it sends no reports while it is down. */
  crash(index: number, downMs: number): void;
  /** Passes the current `servers` to every node. */
  updateServers(): void;
  /** Stops the reports of the engines. */
  stop(): void;
}

/** Returns a seeded generator of random numbers in [0, 1). */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Creates a backend server of kind `model_engine`. */
export function createEngineServer(id: string): BackendServer {
  return {
    id,
    kind: 'model_engine',
    address: `http://127.0.0.1/${id}`,
    failureDomain: 'a',
    region: 'r',
    building: 'old',
    checksFencing: true,
    isLeaving: false,
  };
}

/** Creates a client that calls an engine model directly. */
export function createModelClient(model: EngineModel): EngineClient {
  return {
    start: (request, sink) => model.start(request, sink),
    resume: (requestId, from, sink) => model.resume(requestId, from, sink),
    getReport: () => Promise.reject(new Error('not used')),
    sendCommand: () => Promise.reject(new Error('not used')),
    listCacheEvents: () => Promise.reject(new Error('not used')),
    close: () => undefined,
  };
}

/** Creates a request; properties not given get defaults. */
export function createRequest(
  id: string,
  nowMs: number,
  given: Partial<ModelRequest> = {},
): ModelRequest {
  return {
    requestId: id,
    clientAccount: 'studio',
    model: 'small',
    promptTokens: 400,
    maxTokens: 20,
    deadlineAtMs: nowMs + 10_000,
    urgent: false,
    priority: 0,
    idempotent: true,
    prefixHashes: [],
    prefixTokens: 0,
    engines: ALL_ENGINES,
    weight: 1,
    ...given,
  };
}

const ALL_ENGINES = {};

/** Creates a fleet whose nodes have received a first report of every engine. */
export function createRoutingFleet(
  options: RoutingFleetOptions = {},
): RoutingFleet {
  const clock = createVirtualClock();
  const getRandom = options.getRandom ?? createRandom(options.seed ?? 1);
  const lagMs = options.reportLagMs ?? 500;
  const intervalMs = options.reportIntervalMs ?? 500;
  const events: RoutingEvent[] = [];
  const outcomes: Outcome[] = [];
  const engines: EngineModel[] = [];
  const clients = new Map<string, EngineClient>();
  let starts = 0;
  let isRunning = true;
  for (let index = 0; index < (options.engines ?? 4); index++) {
    addEngine(index);
  }
  const servers = engines.map(engine => createEngineServer(engine.id));
  const dispatchers = Array.from({length: options.nodes ?? 1}, () =>
    createDispatcher(
      {
        clock,
        getEngineClient,
        getRandom,
        getNodeCount: () => options.nodes ?? 1,
        emitEvent: event => void events.push(event),
      },
      {reportLagMs: lagMs, ...options.createOptions?.()},
    ),
  );
  updateServers();
  for (const engine of engines) {
    const report = engine.getReport();
    for (const dispatcher of dispatchers) dispatcher.updateReport(report);
  }
  scheduleReports();
  return {
    clock,
    dispatchers,
    engines,
    servers,
    events,
    outcomes,
    getStartCount: () => starts,
    getRandom,
    submit,
    crash,
    updateServers,
    stop: () => {
      isRunning = false;
    },
  };

  function addEngine(index: number): void {
    const id = `engine-${index}`;
    const model = createEngineModel({
      id,
      address: `http://127.0.0.1/${id}`,
      clock,
      ...options.engine,
      ...options.getEngineOptions?.(index),
    });
    engines.push(model);
    const client = createModelClient(model);
    clients.set(id, options.wrapClient?.(client, id) ?? client);
  }

  function getEngineClient(engine: string): EngineClient {
    const client = clients.get(engine);
    if (client === undefined) throw new Error(`no engine ${engine}`);
    return {
      ...client,
      start: (request, sink) => {
        starts++;
        return client.start(request, sink);
      },
    };
  }

  function updateServers(): void {
    for (const dispatcher of dispatchers) dispatcher.updateServers(servers);
  }

  /** Delivers a report of every engine that is up to every node, after each interval. */
  function scheduleReports(): void {
    clock.schedule(intervalMs, () => {
      if (!isRunning) return;
      for (const engine of engines) {
        if (!engine.isUp()) continue;
        const report = engine.getReport();
        clock.schedule(lagMs, () => {
          for (const dispatcher of dispatchers) dispatcher.updateReport(report);
        });
      }
      scheduleReports();
    });
  }

  function submit(node: number, given: Partial<ModelRequest>): RequestHandle {
    const nowMs = clock.getMonotonicMs();
    const request = createRequest(`req-${outcomes.length}`, nowMs, given);
    const outcome: Outcome = {
      request,
      submittedAtMs: nowMs,
      tokens: 0,
      text: '',
      firstTokenAtMs: -1,
      closedAtMs: -1,
      closeCount: 0,
    };
    outcomes.push(outcome);
    return dispatchers[node].submit(request, {
      onTokens: batch => {
        if (batch.firstIndex !== outcome.tokens) {
          throw new Error(
            `${request.requestId}: token ${batch.firstIndex} after ${outcome.tokens}`,
          );
        }
        if (outcome.tokens === 0) {
          outcome.firstTokenAtMs = clock.getMonotonicMs();
        }
        outcome.tokens += batch.count;
        outcome.text += batch.text;
      },
      onEnd: end => {
        outcome.end = end;
        close(outcome);
      },
      onFailure: failure => {
        outcome.failure = failure;
        close(outcome);
      },
    });
  }

  function close(outcome: Outcome): void {
    outcome.closeCount++;
    outcome.closedAtMs = clock.getMonotonicMs();
  }

  function crash(index: number, downMs: number): void {
    engines[index].crash(downMs);
  }
}
