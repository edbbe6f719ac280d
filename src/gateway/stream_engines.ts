/** Lists and chooses the engines for one model request. */
import {computeTransferMs} from './engine_costs';
import type {FlowContext} from './flow_context';
import {
  type DecodePlacementInput,
  getStageFactor,
  type PlacementInput,
  tryChooseDecode,
  tryChoosePrefill,
} from './placement';
import {tryGetRetryAfterMs} from './server_waits';
import {
  type BackendEntry,
  type EngineLimits,
  EngineStage,
  type ModelRequest,
} from './types';

/** The engines for one model request. */
export interface StreamEngines {
  /** Lists the decode engines that can be used apart from their limits. */
  listDecodeEngines(): BackendEntry[];
  /** Chooses an engine for the prefill; `hasEngines` is false when there is none to choose from. */
  choosePrefill(): {
    placement: ReturnType<typeof tryChoosePrefill>;
    hasEngines: boolean;
  };
  /** Creates the inputs to the choice of an engine for the prefill. */
  createInput(): PlacementInput;
  /** Creates the inputs to the choice of a decode engine. */
  createDecodeInput(sourceDomain: string | undefined): DecodePlacementInput;
  /** Chooses a decode engine near the KV cache; undefined when there is none. */
  tryChooseDecode(sourceDomain: string | undefined): BackendEntry | undefined;
  /** How long a stream that comes now waits for a slot of the engine, in milliseconds. */
  getSlotWaitMs(server: BackendEntry): number;
  /** Predicts the time in which the engine prefills the prompt if it has nothing cached, in milliseconds. */
  predictUncachedMs(server: BackendEntry): number;
  /** Excludes an engine that failed this request. */
  remove(serverId: string): void;
  /** Returns the time after which the caller may retry when pauses or limits hold back all engines, or all of a stage, in milliseconds. */
  tryGetRetryAfterMs(stage?: EngineStage): number | undefined;
}

/** What the choice of engines depends on. */
export type StreamEnginesContext = Pick<
  FlowContext,
  | 'nodeName'
  | 'path'
  | 'state'
  | 'clock'
  | 'pauses'
  | 'speeds'
  | 'prefixes'
  | 'affinity'
  | 'isHomeCacheWarm'
  | 'streams'
  | 'isChangingStage'
  | 'getRandom'
> & {
  readonly health: Pick<FlowContext['health'], 'listHealthy'>;
  readonly limits: Pick<FlowContext['limits'], 'canSend' | 'getWaitMs'>;
  readonly capacities: Pick<FlowContext['capacities'], 'getRelativeFactor'>;
  readonly prefillQueues: FlowContext['prefillQueues'];
};

/** The request for which engines are chosen. */
export interface EngineRequest {
  readonly service: string;
  readonly exchange: {readonly body?: {readonly length: number}};
}

/** Overhead of a second call when prefill and decode run on different engines, in milliseconds: a round trip and this node's processing. */
const HANDOFF_OVERHEAD_MS = 6;

/** Creates the engines for a request. */
export function createStreamEngines(
  context: StreamEnginesContext,
  engine: EngineLimits,
  model: ModelRequest,
  task: EngineRequest,
): StreamEngines {
  const {clock} = context;
  const {exchange} = task;
  const excluded = new Set<string>();
  return {
    listDecodeEngines,
    createInput,
    createDecodeInput,
    choosePrefill: () => {
      const input = createInput();
      return {
        placement: tryChoosePrefill(input),
        hasEngines: input.engines.length > 0,
      };
    },
    tryChooseDecode: sourceDomain =>
      tryChooseDecode(createDecodeInput(sourceDomain)),
    getSlotWaitMs,
    predictUncachedMs: server =>
      context.speeds.predictPrefillMs(task.service, model.promptTokens, 0) *
      context.capacities.getRelativeFactor(server, 0) *
      getStageFactor(server),
    remove: serverId => {
      excluded.add(serverId);
    },
    tryGetRetryAfterMs: stage =>
      tryGetRetryAfterMs(
        context,
        context.state
          .listUsable(task.service)
          .filter(server => stage === undefined || server.stage === stage),
      ),
  };

  function createDecodeInput(
    sourceDomain: string | undefined,
  ): DecodePlacementInput {
    return {
      ...createInput(),
      nodeName: context.nodeName,
      engine,
      promptTokens: model.promptTokens,
      sourceDomain,
    };
  }

  function createInput(): PlacementInput {
    const nowMs = clock.getMonotonicMs();
    return {
      request: model,
      engines: listAvailable().filter(context.limits.canSend),
      prefillQueues: context.prefillQueues,
      prefixes: context.prefixes,
      affinity: context.affinity,
      path: context.path,
      isHomeCacheWarm: context.isHomeCacheWarm,
      predictPrefillMs: (promptTokens, cachedTokens) =>
        context.speeds.predictPrefillMs(
          task.service,
          promptTokens,
          cachedTokens,
        ),
      getTimeFactor: context.capacities.getRelativeFactor,
      getRandom: context.getRandom,
      countStreams: serverId => context.streams.count(serverId, nowMs),
      getSlotWaitMs,
      handoffMs:
        computeTransferMs(model.promptTokens, engine, false) +
        HANDOFF_OVERHEAD_MS,
      bodyBytes: exchange.body?.length ?? 0,
      nowMs,
    };
  }

  function listDecodeEngines(): BackendEntry[] {
    return listAvailable().filter(
      server => server.stage === EngineStage.Decode,
    );
  }

  /** Lists the engines that can be used apart from their limits. */
  function listAvailable(): BackendEntry[] {
    return context.health
      .listHealthy(context.state.listUsable(task.service))
      .filter(
        server =>
          !excluded.has(server.id) &&
          !context.isChangingStage(server.id) &&
          !context.pauses.isPaused(server),
      );
  }

  function getSlotWaitMs(server: BackendEntry): number {
    const nowMs = clock.getMonotonicMs();
    return context.streams.getWaitMs(server.id, server.maxRunning, nowMs);
  }
}
