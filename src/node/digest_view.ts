/** Builds the load part of a node's digest, and sums up the digests of its peers. */
import type {Digest, LocalLoad} from '../membership';
import type {Demand} from '../planning';
import type {LocalEngineWork, PeerWork} from '../routing';
import type {Clock} from '../runtime';

/** Input for the load part of a digest. */
export interface LocalLoadInput {
  /** Offset of the next record to apply, by stream; only streams that are caught up. */
  readonly offsets: Readonly<Record<string, number>>;
  readonly localWork: readonly LocalEngineWork[];
  readonly openRequests: number;
  readonly demand: Demand;
  readonly processCores: number;
}

/** Maximum number of engines in a digest. */
const MAX_DIGEST_ENGINES = 16;
/** How long the request counts summed over all digests are cached, in milliseconds. */
const SUM_CACHE_MS = 250;

/**
 * Creates the load part of a digest: the busiest engines only, with demand rounded to whole tokens.
 */
export function createLocalLoad(input: LocalLoadInput): LocalLoad {
  const busiest = [...input.localWork]
    .sort((left, right) => right.requests - left.requests)
    .slice(0, MAX_DIGEST_ENGINES);
  return {
    offsets: {...input.offsets},
    inFlight: Object.fromEntries(
      busiest.map(work => [work.engine, work.requests]),
    ),
    openRequests: input.openRequests,
    demand: {
      prefill: Math.round(input.demand.prefillTokensPerS),
      decode: Math.round(input.demand.decodeTokensPerS),
    },
    processCores: input.processCores,
  };
}

/** Options of a view. */
export interface DigestViewOptions {
  readonly clock: Clock;
  readonly listDigests: () => readonly Digest[];
}

/** Sums over the peers' digests. */
export interface DigestView {
  listDemands(): readonly Demand[];
  /**
   * Returns the number of requests that peers have in flight at an engine, or undefined when no
   * digest names it.
   */
  tryGetPeerWork(engine: string): PeerWork | undefined;
}

/** Creates the view. */
export function createDigestView(options: DigestViewOptions): DigestView {
  const {clock, listDigests} = options;
  let requests = new Map<string, number>();
  let summedAtMs = -SUM_CACHE_MS;
  return {listDemands, tryGetPeerWork};

  function listDemands(): Demand[] {
    return listDigests().flatMap(({demand}) => {
      if (demand === undefined) return [];
      const {prefill, decode} = demand;
      return [{prefillTokensPerS: prefill, decodeTokensPerS: decode}];
    });
  }

  function tryGetPeerWork(engine: string): PeerWork | undefined {
    const nowMs = clock.getMonotonicMs();
    if (nowMs - summedAtMs >= SUM_CACHE_MS) {
      summedAtMs = nowMs;
      requests = mergeRequests(listDigests());
    }
    const count = requests.get(engine);
    if (count === undefined) return undefined;
    return {requests: count, prefillTokens: 0};
  }
}

function mergeRequests(digests: readonly Digest[]): Map<string, number> {
  const sums = new Map<string, number>();
  for (const {inFlight} of digests) {
    for (const [engine, count] of Object.entries(inFlight)) {
      sums.set(engine, (sums.get(engine) ?? 0) + count);
    }
  }
  return sums;
}
