/**
 * A seeded workload whose mix of prompt and output tokens alternates, for comparing routing
 * policies.
 */
import type {DispatcherOptions, ModelRequest} from '../src/routing';
import {
  createRandom,
  createRoutingFleet,
  type Outcome,
  type RoutingFleet,
  type RoutingFleetOptions,
} from '../test/support/routing_fleet';

/** Options of a run. */
export interface WorkloadOptions {
  readonly nodes?: number;
  readonly engines?: number;
  readonly durationMs?: number;
  /**
   * Factor of the request rate; at 1, the rate is close to what 13 engines can answer within the
   * deadlines.
   */
  readonly load?: number;
  readonly seed?: number;
  readonly reportLagMs?: number;
  readonly createOptions?: () => DispatcherOptions;
  readonly fleet?: Partial<RoutingFleetOptions>;
  /** Called at the start, for example to schedule faults. */
  readonly prepare?: (fleet: RoutingFleet) => void;
}

/** Result of a run. */
export interface WorkloadResult {
  readonly requests: number;
  /** Fraction of the requests that were answered within their deadlines. */
  readonly goodput: number;
  readonly urgentGoodput: number;
  /** Number of attempts at engines per request. */
  readonly amplification: number;
  readonly refused: number;
  readonly late: number;
  readonly p95FirstTokenMs: number;
  /** Tokens generated for requests that missed their deadlines. */
  readonly wastedTokens: number;
}

/** Time between changes of the mix, in milliseconds. */
const SWING_MS = 10_000;
const ENGINES_AT_LOAD_1 = 13;
const PREFIXES = 20;
const PREFIX_TOKENS = 2_048;
const BLOCKS_PER_PREFIX = 8;

/** Runs the workload on virtual time. */
export async function runWorkload(
  options: WorkloadOptions = {},
): Promise<WorkloadResult> {
  const seed = options.seed ?? 1;
  const nodes = options.nodes ?? 14;
  const engines = options.engines ?? ENGINES_AT_LOAD_1;
  const durationMs = options.durationMs ?? 40_000;
  const load = ((options.load ?? 1) * engines) / ENGINES_AT_LOAD_1;
  const getRandom = createRandom(seed + 1_000);
  const fleet = createRoutingFleet({
    nodes,
    engines,
    seed,
    reportLagMs: options.reportLagMs ?? 500,
    engine: {tokensPerEvent: 16},
    createOptions: options.createOptions,
    ...options.fleet,
  });
  options.prepare?.(fleet);
  const {clock} = fleet;
  while (clock.getMonotonicMs() < durationMs) {
    const nowMs = clock.getMonotonicMs();
    const isLongPrompt = Math.floor(nowMs / SWING_MS) % 2 === 0;
    const ratePerS = (isLongPrompt ? 38 : 75) * load;
    const node = Math.floor(getRandom() * nodes);
    fleet.submit(node, createMixedRequest(isLongPrompt, nowMs, getRandom));
    const gapMs = (-Math.log(1 - getRandom()) * 1_000) / ratePerS;
    await clock.advance(gapMs);
  }
  await clock.advance(12_000);
  fleet.stop();
  return getResult(fleet);
}

function createMixedRequest(
  isLongPrompt: boolean,
  nowMs: number,
  getRandom: () => number,
): Partial<ModelRequest> {
  const urgent = getRandom() < 0.3;
  const size = 0.5 + getRandom();
  const prefix = Math.floor(getRandom() * PREFIXES);
  const hasPrefix = isLongPrompt && getRandom() < 0.5;
  const clientAccount = `account-${Math.floor(getRandom() * 30)}`;
  return {
    clientAccount,
    urgent,
    priority: urgent ? 100 : 0,
    promptTokens: Math.round((isLongPrompt ? 4_000 : 500) * size),
    maxTokens: Math.round((isLongPrompt ? 30 : 150) * size),
    deadlineAtMs: nowMs + getDeadlineMs(urgent, isLongPrompt),
    prefixTokens: hasPrefix ? PREFIX_TOKENS : 0,
    prefixHashes: hasPrefix ? HASHES[prefix] : [],
  };
}

/**
 * Returns the time until a request's deadline: longer for a long answer, shorter for an urgent
 * request.
 */
function getDeadlineMs(urgent: boolean, isLongPrompt: boolean): number {
  return (urgent ? 1 : 2) * (isLongPrompt ? 4_000 : 8_000);
}

const HASHES: ReadonlyArray<readonly string[]> = Array.from(
  {length: PREFIXES},
  (_, prefix) =>
    Array.from(
      {length: BLOCKS_PER_PREFIX},
      (_, block) => `p${prefix}.${block}`,
    ),
);

function getResult(fleet: RoutingFleet): WorkloadResult {
  const {outcomes} = fleet;
  const urgent = outcomes.filter(outcome => outcome.request.urgent);
  const firstTokens = outcomes
    .filter(outcome => outcome.firstTokenAtMs >= 0)
    .map(outcome => outcome.firstTokenAtMs - outcome.submittedAtMs)
    .sort((left, right) => left - right);
  const missed = outcomes.filter(outcome => !isInTime(outcome));
  return {
    requests: outcomes.length,
    goodput: getGoodput(outcomes),
    urgentGoodput: getGoodput(urgent),
    amplification: fleet.getStartCount() / outcomes.length,
    refused: outcomes.filter(item => item.failure?.verdict === 'not-run')
      .length,
    late: missed.filter(item => item.failure?.verdict !== 'not-run').length,
    p95FirstTokenMs: firstTokens[Math.floor(firstTokens.length * 0.95)] ?? 0,
    wastedTokens: missed.reduce((sum, outcome) => sum + outcome.tokens, 0),
  };
}

function getGoodput(outcomes: readonly Outcome[]): number {
  return outcomes.filter(isInTime).length / Math.max(1, outcomes.length);
}

function isInTime(outcome: Outcome): boolean {
  if (outcome.end === undefined) return false;
  return outcome.closedAtMs <= outcome.request.deadlineAtMs;
}
