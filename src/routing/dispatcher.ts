/** Sends each model request to an engine, and on to another while that is safe. */
import type {
  BackendFailure,
  BackendServer,
  EngineCall,
  EngineEnd,
  EngineReport,
  TokenBatch,
} from '../backends';
import {createFailure, FailureKind, Verdict} from '../verdict';
import {isSelected} from './selector';
import type {
  AnswerSink,
  Dispatcher,
  DispatcherHost,
  ModelRequest,
  RequestHandle,
} from './types';

/** Most engines that one request is sent to. */
const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 1_000;

interface EngineEntry {
  readonly server: BackendServer;
  report: EngineReport | undefined;
  inFlight: number;
}

interface OpenRequest {
  readonly request: ModelRequest;
  readonly sink: AnswerSink;
  readonly tried: Set<string>;
  nextTokenIndex: number;
  deliveredText: string;
  engine: EngineEntry | undefined;
  call: EngineCall | undefined;
  isClosed: boolean;
}

/** Creates a dispatcher without engines. */
export function createDispatcher(host: DispatcherHost): Dispatcher {
  const engines = new Map<string, EngineEntry>();
  const open = new Set<OpenRequest>();
  let isDraining = false;
  let finishDrain: (() => void) | undefined;
  return {
    submit,
    updateServers,
    updateReport,
    getOpenCount: () => open.size,
    drain,
  };

  function submit(request: ModelRequest, sink: AnswerSink): RequestHandle {
    const entry: OpenRequest = {
      request,
      sink,
      tried: new Set(),
      nextTokenIndex: 0,
      deliveredText: '',
      engine: undefined,
      call: undefined,
      isClosed: false,
    };
    open.add(entry);
    if (isDraining) failRequest(entry, FailureKind.Unavailable, 'node drains');
    else startAttempt(entry);
    return {
      cancel: () => cancelRequest(entry),
      setPaused: isPaused => entry.call?.setPaused(isPaused),
      tryGetEngine: () => entry.engine?.server.id,
    };
  }

  function startAttempt(entry: OpenRequest): void {
    const engine = chooseEngine(entry);
    if (engine === undefined) {
      failRequest(entry, FailureKind.Unavailable, 'no engine is available');
      return;
    }
    const {request} = entry;
    entry.tried.add(engine.server.id);
    entry.engine = engine;
    engine.inFlight++;
    host.emitEvent({
      kind: 'request-sent',
      requestId: request.requestId,
      clientAccount: request.clientAccount,
      engine: engine.server.id,
      cause: `fewest requests (${engine.inFlight})`,
    });
    entry.call = host.getEngineClient(engine.server.id).start(
      {
        requestId: request.requestId,
        model: request.model,
        prompt: request.prompt,
        promptTokens: request.promptTokens,
        maxTokens: request.maxTokens,
        priority: request.priority,
        phase: 'full',
        firstTokenIndex: entry.nextTokenIndex,
        deliveredText: entry.deliveredText,
        prefixHashes: request.prefixHashes,
        prefixTokens: request.prefixTokens,
      },
      {
        onTokens: batch => handleTokens(entry, batch),
        onEnd: end => settleRequest(entry, end),
        onFailure: failure => retryRequest(entry, failure),
      },
    );
  }

  function chooseEngine(entry: OpenRequest): EngineEntry | undefined {
    let best: EngineEntry | undefined;
    for (const engine of engines.values()) {
      if (!isEligible(engine, entry)) continue;
      if (best === undefined || engine.inFlight < best.inFlight) best = engine;
    }
    return best;
  }

  function isEligible(engine: EngineEntry, entry: OpenRequest): boolean {
    if (engine.server.isLeaving) return false;
    if (entry.tried.has(engine.server.id)) return false;
    if (!isSelected(engine.server, entry.request.engines)) return false;
    if (engine.report === undefined) return false;
    if (engine.report.state !== 'ready') return false;
    return engine.report.models.includes(entry.request.model);
  }

  function handleTokens(entry: OpenRequest, batch: TokenBatch): void {
    if (entry.isClosed || batch.firstIndex !== entry.nextTokenIndex) return;
    entry.nextTokenIndex += batch.count;
    entry.deliveredText += batch.text;
    entry.sink.onTokens(batch);
  }

  function settleRequest(entry: OpenRequest, end: EngineEnd): void {
    if (entry.isClosed) return;
    const engine = entry.engine?.server.id ?? '';
    closeRequest(entry);
    entry.sink.onEnd({...end, engine});
  }

  function retryRequest(entry: OpenRequest, failure: BackendFailure): void {
    if (entry.isClosed) return;
    host.emitEvent({
      kind: 'attempt-failed',
      requestId: entry.request.requestId,
      engine: entry.engine?.server.id,
      cause: `${failure.kind}: ${failure.message}`,
    });
    releaseEngine(entry);
    const isSafe =
      entry.request.idempotent || failure.verdict === Verdict.NotRun;
    if (isSafe && entry.tried.size < MAX_ATTEMPTS) {
      startAttempt(entry);
      return;
    }
    closeRequest(entry);
    entry.sink.onFailure(
      createFailure(FailureKind.BackendFailed, failure.message, {
        verdict: failure.verdict,
      }),
    );
  }

  function cancelRequest(entry: OpenRequest): void {
    if (entry.isClosed) return;
    entry.call?.cancel();
    closeRequest(entry);
  }

  function failRequest(
    entry: OpenRequest,
    kind: FailureKind,
    message: string,
  ): void {
    closeRequest(entry);
    const verdict =
      entry.nextTokenIndex > 0 ? Verdict.MayHaveRun : Verdict.NotRun;
    entry.sink.onFailure(
      createFailure(kind, message, {verdict, retryAfterMs: RETRY_AFTER_MS}),
    );
  }

  function closeRequest(entry: OpenRequest): void {
    if (entry.isClosed) return;
    entry.isClosed = true;
    releaseEngine(entry);
    open.delete(entry);
    if (open.size === 0) finishDrain?.();
  }

  function releaseEngine(entry: OpenRequest): void {
    if (entry.engine !== undefined) entry.engine.inFlight--;
    entry.engine = undefined;
    entry.call = undefined;
  }

  function updateServers(servers: readonly BackendServer[]): void {
    const known = new Map(engines);
    engines.clear();
    for (const server of servers) {
      if (server.kind !== 'model_engine') continue;
      const old = known.get(server.id);
      engines.set(server.id, {
        server,
        report: old?.report,
        inFlight: old?.inFlight ?? 0,
      });
    }
  }

  function updateReport(report: EngineReport): void {
    const engine = engines.get(report.engine);
    if (engine !== undefined) engine.report = report;
  }

  function drain(): Promise<void> {
    isDraining = true;
    if (open.size === 0) return Promise.resolve();
    return new Promise(resolve => {
      finishDrain = resolve;
    });
  }
}
