/**
 * Chooses engines for model requests: the prefill engine with the earliest
 * predicted end of reading, then a decode engine close to it.
 */
import {collectBy} from '../runtime/collect_by';
import {computeTransferMs, DECODE_READ_FACTOR} from './engine_costs';
import type {HomeEngines} from './home_engines';
import {computePathMs, type PathView} from './path_costs';
import type {PrefillBook} from './prefill_book';
import type {PrefixDirectory} from './prefix_directory';
import {
  type BackendEntry,
  type EngineLimits,
  EngineStage,
  type ModelRequest,
  type PromptPart,
} from './types';

/** An engine chosen to read a prompt. */
export interface PrefillPlace {
  readonly server: BackendEntry;
  /** Predicted wait before it begins to read, in milliseconds. */
  readonly waitMs: number;
  /** Predicted time to read what it does not keep, in milliseconds. */
  readonly readMs: number;
  /** Leading tokens that it is believed to keep. */
  readonly cachedTokens: number;
}

/** What the choice looks at. */
export interface PlacementInput {
  readonly request: ModelRequest;
  readonly engines: readonly BackendEntry[];
  readonly book: PrefillBook;
  readonly prefixes: PrefixDirectory;
  readonly homes: HomeEngines;
  readonly path: PathView;
  /** True when parts that no node knows of may be kept at their homes: the nodes have restarted, the engines not. */
  readonly isHomeWarm: boolean;
  /** Predicted time to read a prompt of which some tokens are kept, at an engine of usual speed, in milliseconds. */
  readonly predictReadMs: (
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
  readonly moveMs: number;
  /** Size of the request's body, which each engine is sent. */
  readonly bodyBytes: number;
  readonly nowMs: number;
}

interface ScoredPlace {
  readonly place: PrefillPlace;
  /** Predicted end of reading and what it costs others, in milliseconds. */
  readonly score: number;
}

/** What the choice of a decode engine looks at. */
export interface DecodeInput {
  readonly nodeName: string;
  readonly homes: HomeEngines;
  readonly engines: readonly BackendEntry[];
  readonly engine: EngineLimits;
  readonly tokens: number;
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
const REREAD_WEIGHT = 1;
/** Part of the time to read a prompt by which its home may be worse than another engine. */
const HOME_BONUS = 0.5;
/** What one running stream adds to the choice of a decode engine, in milliseconds: transfers queue behind each other. */
const STREAM_COST_MS = 2;
/** What one stream beside a read at a generating engine counts, as a part of the read's time, by which the stream pauses. */
const STREAM_DELAY_WEIGHT = 0.3;
/** Longest read at a generating engine while others read, as a part of the time that it saves. */
const MAX_DIRECT_PART = 1;
/** Decode engines of each failure domain that a node uses: enough to balance streams, few enough to keep connections in use. */
const DECODE_ENGINES_PER_DOMAIN = 4;

/**
 * Returns the best place to read a prompt, or undefined when there is none.
 * A generating engine that reads by itself needs no transfer, but delays its
 * streams, so it serves for small prompts, and where nothing else reads.
 */
export function tryChooseReader(
  input: PlacementInput,
): PrefillPlace | undefined {
  const prefill = tryChoosePlace(input, EngineStage.Prefill);
  const direct = tryChoosePlace(input, EngineStage.Decode);
  if (prefill === undefined || direct === undefined) {
    return (prefill ?? direct)?.place;
  }
  const isSmall = direct.place.readMs <= MAX_DIRECT_PART * input.moveMs;
  if (!isSmall) return prefill.place;
  const apartScore = prefill.score + input.moveMs;
  return direct.score < apartScore ? direct.place : prefill.place;
}

function tryChoosePlace(
  input: PlacementInput,
  stage: EngineStage,
): ScoredPlace | undefined {
  let best: ScoredPlace | undefined;
  const engines = input.engines.filter(
    server =>
      server.stage === stage && !input.book.isFull(server.id, input.nowMs),
  );
  const shared = listSharedParts(input.request);
  const homeId = tryFindHome(input, shared, engines);
  for (const server of engines) {
    const isHome = server.id === homeId;
    const place = predictPlace(input, shared, server, isHome);
    const score =
      computeScore(input, shared, place) -
      (isHome ? HOME_BONUS * place.readMs : 0);
    if (best !== undefined && score >= best.score) continue;
    best = {place, score};
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
  if (last === undefined || input.prefixes.isKept(last.id)) return undefined;
  return input.homes.tryFind(last.id, engines);
}

function predictPlace(
  input: PlacementInput,
  shared: readonly PromptPart[],
  server: BackendEntry,
  isHome: boolean,
): PrefillPlace {
  const {request, book, prefixes, nowMs} = input;
  const cachedTokens =
    isHome && input.isHomeWarm
      ? shared.reduce((sum, part) => sum + part.tokens, 0)
      : prefixes.getCachedTokens(server.id, shared);
  const isDirect = server.stage === EngineStage.Decode;
  const readFactor = isDirect ? DECODE_READ_FACTOR : 1;
  const slowdown = input.getSlowdown(server.id) * readFactor;
  const waitMs = book.getWaitMs(server.id, nowMs);
  return {
    server,
    waitMs: isDirect ? Math.max(waitMs, input.getSlotWaitMs(server)) : waitMs,
    readMs: input.predictReadMs(request.promptTokens, cachedTokens) * slowdown,
    cachedTokens,
  };
}

function computeScore(
  input: PlacementInput,
  shared: readonly PromptPart[],
  place: PrefillPlace,
): number {
  const againTokens = shared
    .filter(part => input.prefixes.isKeptElsewhere(place.server.id, part.id))
    .reduce((sum, part) => sum + part.tokens, 0);
  const lostTokens = Math.max(0, againTokens - place.cachedTokens);
  const againMs = input.predictReadMs(lostTokens, 0) * REREAD_WEIGHT;
  const pathMs = computePathMs(place.server, input.path, input.bodyBytes);
  const delayMs =
    place.server.stage === EngineStage.Decode
      ? place.readMs * STREAM_DELAY_WEIGHT * input.countStreams(place.server.id)
      : 0;
  return place.waitMs + place.readMs + againMs + pathMs + delayMs;
}

/** Lists the parts of a prompt that other requests may share. */
export function listSharedParts(request: ModelRequest): readonly PromptPart[] {
  return request.parts.slice(0, -1);
}

/** Returns the best decode engine for a prefilled prompt, or undefined when there is none. */
export function tryChooseDecode(input: DecodeInput): BackendEntry | undefined {
  let best: BackendEntry | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const server of listDecodeEngines(input)) {
    const isCross =
      input.sourceDomain !== undefined &&
      server.failureDomain !== input.sourceDomain;
    const transferMs = computeTransferMs(input.tokens, input.engine, isCross);
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
function listDecodeEngines(input: DecodeInput): BackendEntry[] {
  const decode = input.engines.filter(
    engine => engine.stage === EngineStage.Decode,
  );
  const domains = collectBy(decode, engine => engine.failureDomain);
  return [...domains.values()].flatMap(members =>
    input.homes.listNearest(input.nodeName, members, DECODE_ENGINES_PER_DOMAIN),
  );
}
