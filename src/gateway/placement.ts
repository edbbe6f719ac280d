/**
 * Chooses engines for model requests: the prefill engine with the earliest
 * predicted end of reading, then a decode engine close to it.
 */
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

/** An engine chosen to read a prompt. */
export interface PrefillPlacement {
  readonly server: BackendEntry;
  /** Predicted wait before it begins to read, in milliseconds. */
  readonly waitMs: number;
  /** Predicted time to read what it does not keep, in milliseconds. */
  readonly prefillMs: number;
  /** Leading tokens that it is believed to keep. */
  readonly cachedTokens: number;
}

/** What the choice looks at. */
export interface PlacementInput {
  readonly request: ModelRequest;
  readonly engines: readonly BackendEntry[];
  readonly prefillQueues: PrefillQueues;
  readonly prefixes: PrefixDirectory;
  readonly affinity: EngineAffinity;
  readonly path: PathView;
  /** True when parts that no node knows of may be kept at their homes: the nodes have restarted, the engines not. */
  readonly isHomeCacheWarm: boolean;
  /** Predicted time to read a prompt of which some tokens are kept, at an engine of usual speed, in milliseconds. */
  readonly predictPrefillMs: (
    promptTokens: number,
    cachedTokens: number,
  ) => number;
  /** Observed over predicted time of a server's work; 1 when unknown. */
  readonly getSlowdown: (serverId: string) => number;
  /** Streams that each generating engine is believed to run. */
  readonly countStreams: (serverId: string) => number;
  /** How long a stream that comes now waits for a slot of the engine, in milliseconds. */
  readonly getSlotWaitMs: (server: BackendEntry) => number;
  /** Time from the end of reading at a prefill engine to the begin of generating at another, in milliseconds. */
  readonly handoffMs: number;
  /** Size of the request's body, which each engine is sent. */
  readonly bodyBytes: number;
  readonly nowMs: number;
}

interface ScoredPlacement {
  readonly placement: PrefillPlacement;
  /** Predicted end of reading and what it costs others, in milliseconds. */
  readonly score: number;
}

/** What the choice of a decode engine looks at. */
export interface DecodePlacementInput {
  readonly nodeName: string;
  readonly affinity: EngineAffinity;
  readonly engines: readonly BackendEntry[];
  readonly engine: EngineLimits;
  readonly promptTokens: number;
  /** Failure domain of the engine that holds the KV cache. */
  readonly sourceDomain: string | undefined;
  readonly path: PathView;
  /** Size of the request's body, which the engine is sent. */
  readonly bodyBytes: number;
  /** Streams that each engine is believed to run. */
  readonly countStreams: (serverId: string) => number;
  /** How long a stream that comes now waits for a slot of the engine, in milliseconds. */
  readonly getSlotWaitMs: (server: BackendEntry) => number;
}

/**
 * Weight of reading shared parts again that another engine keeps: it takes
 * time from every later request, and a place in the KV memory.
 */
const RECOMPUTE_WEIGHT = 1;
/** Part of the time to read a prompt by which its home may be worse than another engine. */
const HOME_BONUS_FRACTION = 0.5;
/** What one running stream adds to the choice of a decode engine, in milliseconds: transfers queue behind each other. */
const STREAM_COST_MS = 2;
/** What one stream beside a read at a generating engine counts, as a part of the read's time, by which the stream pauses. */
const STREAM_DELAY_WEIGHT = 0.3;
/** Longest read at a generating engine while others read, as a part of the time that it saves. */
const MAX_DIRECT_RATIO = 1;
/** Decode engines of each failure domain that a node uses: enough to balance streams, few enough to keep connections in use. */
const DECODE_ENGINES_PER_DOMAIN = 4;

/**
 * Returns the best place to read a prompt, or undefined when there is none.
 * A generating engine that reads by itself needs no transfer, but delays its
 * streams, so it serves for small prompts, and where nothing else reads.
 */
export function tryChoosePrefill(
  input: PlacementInput,
): PrefillPlacement | undefined {
  const prefill = tryChooseForStage(input, EngineStage.Prefill);
  const direct = tryChooseForStage(input, EngineStage.Decode);
  if (prefill === undefined || direct === undefined) {
    return (prefill ?? direct)?.placement;
  }
  const isSmall =
    direct.placement.prefillMs <= MAX_DIRECT_RATIO * input.handoffMs;
  if (!isSmall) return prefill.placement;
  const splitScore = prefill.score + input.handoffMs;
  return direct.score < splitScore ? direct.placement : prefill.placement;
}

function tryChooseForStage(
  input: PlacementInput,
  stage: EngineStage,
): ScoredPlacement | undefined {
  let best: ScoredPlacement | undefined;
  const engines = input.engines.filter(
    server =>
      server.stage === stage &&
      !input.prefillQueues.isFull(server.id, input.nowMs),
  );
  const shared = listSharedParts(input.request);
  const homeId = tryFindHome(input, shared, engines);
  for (const server of engines) {
    const isHome = server.id === homeId;
    const placement = predictPlacement(input, shared, server, isHome);
    const score =
      computeScore(input, shared, placement) -
      (isHome ? HOME_BONUS_FRACTION * placement.prefillMs : 0);
    if (best !== undefined && score >= best.score) continue;
    best = {placement, score};
  }
  return best;
}

/** Finds the home of a prompt's shared parts, when no engine is known to keep them. */
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
  const stageFactor = isDirect ? DECODE_PREFILL_FACTOR : 1;
  const slowdown = input.getSlowdown(server.id) * stageFactor;
  const waitMs = prefillQueues.getWaitMs(server.id, nowMs);
  return {
    server,
    waitMs: isDirect ? Math.max(waitMs, input.getSlotWaitMs(server)) : waitMs,
    prefillMs:
      input.predictPrefillMs(request.promptTokens, cachedTokens) * slowdown,
    cachedTokens,
  };
}

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
  const pathMs = computePathMs(placement.server, input.path, input.bodyBytes);
  const delayMs =
    placement.server.stage === EngineStage.Decode
      ? placement.prefillMs *
        STREAM_DELAY_WEIGHT *
        input.countStreams(placement.server.id)
      : 0;
  return placement.waitMs + placement.prefillMs + repeatMs + pathMs + delayMs;
}

/** Lists the parts of a prompt that other requests may share. */
export function listSharedParts(request: ModelRequest): readonly PromptPart[] {
  return request.parts.slice(0, -1);
}

/** Returns the best decode engine for a prefilled prompt, or undefined when there is none. */
export function tryChooseDecode(
  input: DecodePlacementInput,
): BackendEntry | undefined {
  let best: BackendEntry | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const server of listDecodeEngines(input)) {
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
    if (score >= bestScore) continue;
    best = server;
    bestScore = score;
  }
  return best;
}

/** Lists the decode engines that this node uses. */
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
