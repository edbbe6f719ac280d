/**
 * Chooses engines for model requests: first the prefill engine that is
 * predicted to finish the prompt earliest, then a decode engine close to it.
 */
import {tryChooseNearBest} from '../capacity';
import {collectBy} from '../runtime/collect_by';
import {computeTransferMs, DECODE_PREFILL_FACTOR} from './engine_costs';
import type {EngineAffinity} from './engine_affinity';
import {computePathMs, type PathView} from './path_costs';
import type {PrefillQueues} from './prefill_queues';
import type {PrefixDirectory} from './prefix_directory';
import {
  type BackendEntry,
  type EngineLimits,
  EngineStage,
  type ModelRequest,
  type PromptPart,
} from './types';

/** The engine chosen to prefill a prompt, with the predictions behind the choice. */
export interface PrefillPlacement {
  readonly server: BackendEntry;
  /** Predicted wait before the prefill starts, in milliseconds. */
  readonly waitMs: number;
  /** Predicted time to prefill the tokens that are not cached, in milliseconds. */
  readonly prefillMs: number;
  /** Leading tokens of the prompt that the engine is expected to have cached. */
  readonly cachedTokens: number;
  /** The engine's predicted time relative to that of its service. */
  readonly timeFactor: number;
  /** Prompts in the engine's queue, as a fraction of its slots. */
  readonly load: number;
}

/** Inputs to the choice of a prefill engine. */
export interface PlacementInput {
  readonly request: ModelRequest;
  readonly engines: readonly BackendEntry[];
  readonly prefillQueues: PrefillQueues;
  readonly prefixes: PrefixDirectory;
  readonly affinity: EngineAffinity;
  readonly path: PathView;
  /**
   * True when a part that the prefix directory does not list is assumed to be
   * cached at its home engine: the nodes have restarted and lost the directory,
   * but the engines have kept their caches.
   */
  readonly isHomeCacheWarm: boolean;
  /** Predicted prefill time of a prompt with `cachedTokens` cached, on an engine of average speed, in milliseconds. */
  readonly predictPrefillMs: (
    promptTokens: number,
    cachedTokens: number,
  ) => number;
  /** Predicted time of an engine at a load, relative to that of its service; the load is a fraction of its slots. */
  readonly getTimeFactor: (server: BackendEntry, load: number) => number;
  readonly getRandom: () => number;
  /** Estimated number of streams that a decode engine runs. */
  readonly countStreams: (serverId: string) => number;
  /** How long a stream that comes now waits for a slot of the engine, in milliseconds. */
  readonly getSlotWaitMs: (server: BackendEntry) => number;
  /** Time from the end of the prefill on one engine to the start of decoding on another, in milliseconds. */
  readonly handoffMs: number;
  /** Size of the request's body, which is sent to every engine that takes part, in bytes. */
  readonly bodyBytes: number;
  readonly nowMs: number;
}

/** A placement that can be chosen. */
export interface ScoredPlacement {
  readonly placement: PrefillPlacement;
  /** True for the home engine of the prompt's last shared part. */
  readonly isHome: boolean;
  /** Predicted end of the prefill plus its cost to other requests, in milliseconds; lower is better. */
  readonly score: number;
  /** Part of the score that the network path causes, in milliseconds. */
  readonly pathMs: number;
}

/** A decode engine that can be chosen. */
export interface ScoredDecode {
  readonly server: BackendEntry;
  /** Predicted costs, in milliseconds; lower is better. */
  readonly score: number;
}

/** Inputs to the choice of a decode engine. */
export interface DecodePlacementInput {
  readonly nodeName: string;
  readonly affinity: EngineAffinity;
  readonly engines: readonly BackendEntry[];
  readonly engine: EngineLimits;
  readonly promptTokens: number;
  /** Failure domain of the engine that holds the KV cache. */
  readonly sourceDomain: string | undefined;
  readonly path: PathView;
  /** Size of the request's body, which is sent to the engine, in bytes. */
  readonly bodyBytes: number;
  /** Estimated number of streams that an engine runs. */
  readonly countStreams: (serverId: string) => number;
  /** How long a stream that comes now waits for a slot of the engine, in milliseconds. */
  readonly getSlotWaitMs: (server: BackendEntry) => number;
}

/**
 * Weight of the time to prefill shared parts that another engine has cached:
 * the duplicate work delays every later request, and the duplicate copy takes
 * up KV memory.
 */
const RECOMPUTE_WEIGHT = 1;
/** Fraction of the prefill time by which the score of a prompt's home engine may exceed that of another engine. */
const HOME_BONUS_FRACTION = 0.5;
/** Amount that each running stream adds to a decode engine's score, in milliseconds: KV transfers to one engine are queued. */
const STREAM_COST_MS = 2;
/** Cost of a prefill on a decode engine for each stream that it interrupts, as a fraction of the prefill time. */
const STREAM_DELAY_WEIGHT = 0.3;
/** Longest prefill on a decode engine while prefill engines are available, relative to the handoff time that it saves. */
const MAX_DIRECT_RATIO = 1;
/** Number of decode engines per failure domain that one node uses: enough to balance streams, few enough that connections are reused. */
const DECODE_ENGINES_PER_DOMAIN = 4;

/**
 * Returns the best engine to prefill a prompt, or undefined when there is none.
 * A decode engine that prefills the prompt itself needs no KV transfer, but
 * delays its running streams. It is therefore used only for small prompts, or
 * when no prefill engine is available.
 */
export function tryChoosePrefill(
  input: PlacementInput,
): PrefillPlacement | undefined {
  const prefill = listScored(input, EngineStage.Prefill);
  const direct = listScored(input, EngineStage.Decode);
  return chooseStage(
    tryChooseNearBest(prefill, input.getRandom),
    tryChooseNearBest(direct, input.getRandom),
    input.handoffMs,
  )?.placement;
}

/** Chooses between the best placement at a prefill engine and the best one at a decode engine. */
export function chooseStage(
  prefill: ScoredPlacement | undefined,
  direct: ScoredPlacement | undefined,
  handoffMs: number,
): ScoredPlacement | undefined {
  if (prefill === undefined || direct === undefined) return prefill ?? direct;
  const isSmall = direct.placement.prefillMs <= MAX_DIRECT_RATIO * handoffMs;
  if (!isSmall) return prefill;
  return direct.score < prefill.score + handoffMs ? direct : prefill;
}

/** Lists the placements at the engines of a stage that this node considers and whose queues are not full, with their scores. */
export function listScored(
  input: PlacementInput,
  stage: EngineStage,
): readonly ScoredPlacement[] {
  const usable = input.engines.filter(
    server =>
      server.stage === stage &&
      !input.prefillQueues.isFull(server.id, input.nowMs),
  );
  const engines = input.affinity.selectConsidered(usable);
  const shared = listSharedParts(input.request);
  const homeId = tryFindHome(input, shared, engines);
  return engines.map((server): ScoredPlacement => {
    const isHome = server.id === homeId;
    const placement = predictPlacement(input, shared, server, isHome);
    const pathMs = computePathMs(server, input.path, input.bodyBytes);
    const score =
      computeScore(input, shared, placement) +
      pathMs -
      (isHome ? HOME_BONUS_FRACTION * placement.prefillMs : 0);
    return {placement, isHome, score, pathMs};
  });
}

/** Finds the home engine of the last shared part, unless the prefix directory lists an engine that has it cached. */
function tryFindHome(
  input: PlacementInput,
  shared: readonly PromptPart[],
  engines: readonly BackendEntry[],
): string | undefined {
  const last = shared.at(-1);
  if (last === undefined || input.prefixes.isCached(last.id)) return undefined;
  return input.affinity.tryFindHome(last.id, engines);
}

function predictPlacement(
  input: PlacementInput,
  shared: readonly PromptPart[],
  server: BackendEntry,
  isHome: boolean,
): PrefillPlacement {
  const {request, prefillQueues, prefixes, nowMs} = input;
  const cachedTokens =
    isHome && input.isHomeCacheWarm
      ? shared.reduce((sum, part) => sum + part.tokens, 0)
      : prefixes.getCachedTokens(server.id, shared);
  const isDirect = server.stage === EngineStage.Decode;
  const load = prefillQueues.countJobs(server.id) / server.maxRunning;
  const timeFactor = input.getTimeFactor(server, load);
  const waitMs = prefillQueues.getWaitMs(server.id, nowMs);
  return {
    server,
    waitMs: isDirect ? Math.max(waitMs, input.getSlotWaitMs(server)) : waitMs,
    prefillMs:
      input.predictPrefillMs(request.promptTokens, cachedTokens) *
      timeFactor *
      getStageFactor(server),
    cachedTokens,
    timeFactor,
    load,
  };
}

/** Returns the ratio of the prefill time in an engine's stage to that of a prefill engine. */
export function getStageFactor(server: BackendEntry): number {
  return server.stage === EngineStage.Decode ? DECODE_PREFILL_FACTOR : 1;
}

/** Returns the score without the network path and the bonus of the home engine. */
function computeScore(
  input: PlacementInput,
  shared: readonly PromptPart[],
  placement: PrefillPlacement,
): number {
  const cachedElsewhereTokens = shared
    .filter(part =>
      input.prefixes.isCachedElsewhere(placement.server.id, part.id),
    )
    .reduce((sum, part) => sum + part.tokens, 0);
  const recomputedTokens = Math.max(
    0,
    cachedElsewhereTokens - placement.cachedTokens,
  );
  const repeatMs =
    input.predictPrefillMs(recomputedTokens, 0) * RECOMPUTE_WEIGHT;
  const delayMs =
    placement.server.stage === EngineStage.Decode
      ? placement.prefillMs *
        STREAM_DELAY_WEIGHT *
        input.countStreams(placement.server.id)
      : 0;
  return placement.waitMs + placement.prefillMs + repeatMs + delayMs;
}

/** Lists the parts of a prompt that other requests may share: all but the last. */
export function listSharedParts(
  request: Pick<ModelRequest, 'parts'>,
): readonly PromptPart[] {
  return request.parts.slice(0, -1);
}

/** Returns the best decode engine for a prefilled prompt, or undefined when there is none. */
export function tryChooseDecode(
  input: DecodePlacementInput,
): BackendEntry | undefined {
  let best: ScoredDecode | undefined;
  for (const candidate of listScoredDecode(input)) {
    if (candidate.score >= (best?.score ?? Number.POSITIVE_INFINITY)) continue;
    best = candidate;
  }
  return best?.server;
}

/** Lists the decode engines that this node uses, with their scores. */
export function listScoredDecode(
  input: DecodePlacementInput,
): readonly ScoredDecode[] {
  return listDecodeEngines(input).map(server => {
    const isCrossDomain =
      input.sourceDomain !== undefined &&
      server.failureDomain !== input.sourceDomain;
    const transferMs = computeTransferMs(
      input.promptTokens,
      input.engine,
      isCrossDomain,
    );
    const pathMs = computePathMs(server, input.path, input.bodyBytes);
    const streams = input.countStreams(server.id);
    const score =
      transferMs +
      pathMs +
      input.getSlotWaitMs(server) +
      streams * (STREAM_COST_MS + transferMs / 2);
    return {server, score};
  });
}

/** Lists the decode engines that this node uses: a limited number in each failure domain. */
function listDecodeEngines(input: DecodePlacementInput): BackendEntry[] {
  const decode = input.engines.filter(
    engine => engine.stage === EngineStage.Decode,
  );
  const domains = collectBy(decode, engine => engine.failureDomain);
  return [...domains.values()].flatMap(members =>
    input.affinity.listPreferred(
      input.nodeName,
      members,
      DECODE_ENGINES_PER_DOMAIN,
    ),
  );
}
