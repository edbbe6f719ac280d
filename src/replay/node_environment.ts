/** The environment of a node in a replay: its process, its network links and its clients of backend servers. */
import {Err, Ok} from 'ts-results';
import type {
  BackendFailure,
  BackendServer,
  EngineCall,
  EngineClient,
  EngineRequest,
  EngineSink,
  ServiceClient,
} from '../backends';
import type {Clock, Timer} from '../runtime';
import type {EngineModel} from '../standins';
import {Verdict} from '../verdict';
import type {ReplayService} from './replay_service';

/** A node's process, which can be paused and killed. */
export interface NodeProcess {
  /** The node's clock: its timers fire late after a pause, and never once it is killed. */
  readonly clock: Clock;
  /** Runs `callback` in the process: at once, when a pause ends, or never once it is killed. */
  run(callback: () => void): void;
  kill(): void;
  setPaused(isPaused: boolean): void;
  isAlive(): boolean;
  isPaused(): boolean;
}

/** Creates a running process. */
export function createNodeProcess(baseClock: Clock): NodeProcess {
  let isAlive = true;
  let isPaused = false;
  let deferred: Array<() => void> = [];
  const clock: Clock = {
    getMonotonicMs: baseClock.getMonotonicMs,
    getWallMs: baseClock.getWallMs,
    schedule,
    sleep: delayMs => new Promise(resolve => schedule(delayMs, resolve)),
  };
  return {
    clock,
    run,
    kill: () => {
      isAlive = false;
      deferred = [];
    },
    setPaused,
    isAlive: () => isAlive,
    isPaused: () => isPaused,
  };

  function schedule(delayMs: number, callback: () => void): Timer {
    let isCancelled = false;
    const timer = baseClock.schedule(delayMs, () =>
      run(() => {
        if (!isCancelled) callback();
      }),
    );
    return {
      cancel: () => {
        isCancelled = true;
        timer.cancel();
      },
    };
  }

  function run(callback: () => void): void {
    if (!isAlive) return;
    if (isPaused) deferred.push(callback);
    else callback();
  }

  function setPaused(value: boolean): void {
    isPaused = value;
    if (isPaused) return;
    const released = deferred;
    deferred = [];
    for (const callback of released) callback();
  }
}

/** A network link from one process to another. */
export interface Link {
  isOpen(): boolean;
  /** Delivers in order: at once, or when the link is open again. */
  send(callback: () => void): void;
}

/** Links that partitions cut; messages sent meanwhile are delivered when the link is open again. */
export interface Network {
  getLink(from: string, to: string): Link;
  /** Starts or ends a partition between `members` and all other processes. */
  setPartition(members: ReadonlySet<string>, isCut: boolean): void;
}

/** Creates a network without partitions. */
export function createNetwork(): Network {
  const partitions = new Set<ReadonlySet<string>>();
  let deferred: Array<{readonly link: Link; readonly callback: () => void}> =
    [];
  const links = new Map<string, Link>();
  return {getLink, setPartition};

  function getLink(from: string, to: string): Link {
    const key = `${from}\n${to}`;
    const known = links.get(key);
    if (known !== undefined) return known;
    const link: Link = {isOpen, send};
    links.set(key, link);
    return link;

    function isOpen(): boolean {
      for (const members of partitions) {
        if (members.has(from) !== members.has(to)) return false;
      }
      return true;
    }

    function send(callback: () => void): void {
      if (isOpen()) callback();
      else deferred.push({link, callback});
    }
  }

  function setPartition(members: ReadonlySet<string>, isCut: boolean): void {
    if (isCut) partitions.add(members);
    else partitions.delete(members);
    const released = deferred;
    deferred = [];
    for (const {link, callback} of released) link.send(callback);
  }
}

/** Options of a client of one engine in a replay. */
export interface ReplayEngineClientOptions {
  readonly process: NodeProcess;
  readonly link: Link;
  readonly model: EngineModel;
  readonly oneWayMs: number;
  /** Returns the length of the answer in tokens, which the node does not know in advance. */
  readonly getOutputTokens: (request: EngineRequest) => number;
  readonly onTokens: (requestId: string, count: number) => void;
}

/** Time until a connection attempt fails, in milliseconds. */
const CONNECT_FAIL_MS = 100;

/** Creates an engine client that calls the engine model directly, without sockets. */
export function createReplayEngineClient(
  options: ReplayEngineClientOptions,
): EngineClient {
  const {process, link, model, oneWayMs} = options;
  return {
    start: (request, sink) => {
      const answered = {
        ...request,
        maxTokens: Math.min(
          request.maxTokens,
          options.getOutputTokens(request),
        ),
      };
      return callEngine(request.requestId, sink, inner =>
        model.start(answered, inner),
      );
    },
    resume: (requestId, firstTokenIndex, sink) =>
      callEngine(requestId, sink, inner =>
        model.resume(requestId, firstTokenIndex, inner),
      ),
    getReport: async () => {
      await process.clock.sleep(2 * oneWayMs);
      if (!link.isOpen() || !model.isUp()) return Err(createUnreachable());
      return Ok(model.getReport());
    },
    sendCommand: async command => {
      await process.clock.sleep(oneWayMs);
      if (!link.isOpen()) return Err(createUnreachable());
      const answer = model.sendCommand(command);
      await process.clock.sleep(oneWayMs);
      return answer;
    },
    listCacheEvents: async afterSequence => {
      await process.clock.sleep(2 * oneWayMs);
      if (!link.isOpen() || !model.isUp()) return Err(createUnreachable());
      return Ok(model.listCacheEvents(afterSequence));
    },
    close: () => undefined,
  };

  function callEngine(
    requestId: string,
    sink: EngineSink,
    start: (inner: EngineSink) => EngineCall,
  ): EngineCall {
    let isCancelled = false;
    if (!link.isOpen() || !model.isUp()) {
      process.clock.schedule(CONNECT_FAIL_MS, () => {
        if (!isCancelled) sink.onFailure(createUnreachable());
      });
      return {
        cancel: () => {
          isCancelled = true;
        },
        setPaused: () => undefined,
      };
    }
    start(createRemoteSink(requestId, sink, () => isCancelled));
    return {
      cancel: () => {
        isCancelled = true;
        link.send(() => model.cancel(requestId));
      },
      setPaused: () => undefined,
    };
  }

  function createRemoteSink(
    requestId: string,
    sink: EngineSink,
    isCancelled: () => boolean,
  ): EngineSink {
    const send = (callback: () => void): void =>
      link.send(() =>
        process.run(() => {
          if (!isCancelled()) callback();
        }),
      );
    return {
      onTokens: batch => {
        options.onTokens(requestId, batch.count);
        send(() => sink.onTokens(batch));
      },
      onEnd: end => send(() => sink.onEnd(end)),
      onFailure: failure => send(() => sink.onFailure(failure)),
    };
  }
}

/** Options of a client of the plain services in a replay. */
export interface ReplayServiceClientOptions {
  readonly process: NodeProcess;
  readonly getLink: (server: string) => Link;
  readonly getService: (server: string) => ReplayService | undefined;
  readonly oneWayMs: number;
}

/** Creates a client that calls plain services directly, without sockets. */
export function createReplayServiceClient(
  options: ReplayServiceClientOptions,
): ServiceClient {
  const {process, oneWayMs} = options;
  return {call};

  async function call(
    server: BackendServer,
    request: Parameters<ServiceClient['call']>[1],
  ): ReturnType<ServiceClient['call']> {
    const link = options.getLink(server.id);
    const service = options.getService(server.id);
    await process.clock.sleep(oneWayMs);
    if (service === undefined || !link.isOpen()) {
      await process.clock.sleep(CONNECT_FAIL_MS);
      return Err(createUnreachable());
    }
    const body = service.run(request.requestId, request.body);
    await process.clock.sleep(service.durationMs + oneWayMs);
    if (!link.isOpen() || request.timeoutMs < service.durationMs) {
      return Err({
        kind: 'timeout',
        verdict: Verdict.MayHaveRun,
        message: 'no answer in time',
      });
    }
    return Ok({status: 200, contentType: 'application/json', body});
  }
}

function createUnreachable(): BackendFailure {
  return {
    kind: 'unavailable',
    verdict: Verdict.NotRun,
    message: 'the backend server cannot be reached',
  };
}
