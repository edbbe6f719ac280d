/** What a node puts into its digests, and what it makes of those of the others. */
import type {Digest, LocalLoad} from '../membership';
import type {Demand} from '../planning';
import type {PeerWork, LocalEngineWork} from '../routing';
import type {Clock} from '../runtime';

/** What the local part of a digest is made of. */
export interface LocalLoadInput {
  /** Offsets of the streams that are known whole. */
  readonly offsets: Readonly<Record<string, number>>;
  readonly localWork: readonly LocalEngineWork[];
  readonly openRequests: number;
  readonly demand: Demand;
  readonly processCores: number;
}

/** Most engines that a digest names. */
const MAX_DIGEST_ENGINES = 16;
/** How long the sum over digests is used before it is made anew, in milliseconds. */
const SUM_CACHE_MS = 250;

/** Creates the local part of a digest: the busiest engines, whole tokens. */
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

/** The other nodes' digests, summed up. */
export interface DigestView {
  listDemands(): readonly Demand[];
  /** Returns the requests that other nodes have at an engine, if any is known. */
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
