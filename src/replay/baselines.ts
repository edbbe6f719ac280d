/** Baselines for comparison: plain dispatchers that only take turns or look at the load. */
import type {BackendServer, EngineCall, EngineReport} from '../backends';
import type {
  AnswerSink,
  Dispatcher,
  DispatcherHost,
  ModelRequest,
  RequestHandle,
} from '../routing';
import {createFailure, FailureKind, Verdict} from '../verdict';

/** Chooses one of the engines that are up. */
export type ChooseEngine = (
  engines: ReadonlyArray<{
    readonly id: string;
    readonly report: EngineReport;
    readonly inFlight: number;
  }>,
) => string;

const RETRY_AFTER_MS = 1_000;

/** Takes the engines in turn. */
export function createRoundRobin(): ChooseEngine {
  let turn = 0;
  return engines => engines[turn++ % engines.length].id;
}

/** Takes the engine with the fewest requests by its last report and the node's own. */
export function createLeastLoaded(): ChooseEngine {
  return engines => {
    let best = engines[0];
    for (const engine of engines) {
      if (getLoad(engine) < getLoad(best)) best = engine;
    }
    return best.id;
  };
}

function getLoad(engine: {
  readonly report: EngineReport;
  readonly inFlight: number;
}): number {
  return engine.report.running + engine.report.waiting + engine.inFlight;
}

/** Creates a dispatcher that sends each request whole to the engine chosen, once. */
export function createBaselineDispatcher(
  host: DispatcherHost,
  chooseEngine: ChooseEngine,
): Dispatcher {
  const reports = new Map<string, EngineReport>();
  const inFlight = new Map<string, number>();
  let servers: readonly BackendServer[] = [];
  let openCount = 0;
  return {
    submit,
    updateServers: next => {
      servers = next;
    },
    updateReport: report => void reports.set(report.engine, report),
    getOpenCount: () => openCount,
    drain: () => Promise.resolve(),
  } as Dispatcher;

  function submit(request: ModelRequest, sink: AnswerSink): RequestHandle {
    const engines = listEngines();
    if (engines.length === 0) {
      sink.onFailure(
        createFailure(FailureKind.Unavailable, 'no engine is up', {
          retryAfterMs: RETRY_AFTER_MS,
        }),
      );
      return createHandle(undefined);
    }
    const engine = chooseEngine(engines);
    addInFlight(engine, 1);
    const call = host.getEngineClient(engine).start(
      {
        requestId: request.requestId,
        model: request.model,
        promptTokens: request.promptTokens,
        maxTokens: request.maxTokens,
        priority: request.priority,
        phase: 'full',
        firstTokenIndex: 0,
        prefixHashes: request.prefixHashes,
        prefixTokens: request.prefixTokens,
      },
      {
        onTokens: sink.onTokens,
        onEnd: end => {
          addInFlight(engine, -1);
          sink.onEnd({...end, engine});
        },
        onFailure: failure => {
          addInFlight(engine, -1);
          const isNotRun = failure.verdict === Verdict.NotRun;
          sink.onFailure(
            createFailure(FailureKind.BackendFailed, failure.message, {
              verdict: failure.verdict,
              retryAfterMs: isNotRun ? RETRY_AFTER_MS : undefined,
            }),
          );
        },
      },
    );
    return createHandle(call);
  }

  function listEngines() {
    const listed: Array<{
      id: string;
      report: EngineReport;
      inFlight: number;
    }> = [];
    for (const server of servers) {
      const report = reports.get(server.id);
      if (server.isLeaving || report?.state !== 'ready') continue;
      listed.push({
        id: server.id,
        report,
        inFlight: inFlight.get(server.id) ?? 0,
      });
    }
    return listed;
  }

  function addInFlight(engine: string, change: number): void {
    openCount += change;
    inFlight.set(engine, (inFlight.get(engine) ?? 0) + change);
  }
}

function createHandle(call: EngineCall | undefined): RequestHandle {
  return {
    cancel: () => call?.cancel(),
    setPaused: () => undefined,
    tryGetEngine: () => undefined,
  };
}
