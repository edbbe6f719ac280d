/** Finds where a request runs: on one engine, or prefill on one and decode on another. */
import type {AttemptPlan} from './attempts';
import type {Choice, ChoiceContext, ChooseEngine, Candidate} from './choice';
import type {Ejector} from './ejection';
import {hasStoppedReporting} from './engine_load';
import type {EngineEntry, EnginePool, EngineTable} from './engine_table';
import {hasCapacity, type Job, type EngineLimits} from './estimate';
import type {OpenRequest} from './open_request';
import type {PrefixIndex} from './prefix_index';
import type {DispatcherHost} from './types';

/** Options of a placement. */
export interface PlacementOptions {
  readonly host: DispatcherHost;
  readonly table: EngineTable;
  readonly prefixes: PrefixIndex;
  readonly ejector: Ejector;
  readonly choose: ChooseEngine;
  readonly limits: EngineLimits;
  /** Time to move the KV cache of one token between engines, in milliseconds. */
  readonly kvTransferMsPerToken: number;
  /** What a millisecond of transfer costs beyond its delay. */
  readonly kvTransferCostWeight: number;
}

/** What a plan has to heed. */
export interface PlanConstraints {
  /** Only engines whose own queue stays short. */
  readonly needsCapacity: boolean;
  /** An engine to compare in any case, since it has just come free. */
  readonly freedEngine?: EngineEntry;
}

/** A plan and when the answer is expected to be complete. */
export interface EstimatedPlan extends AttemptPlan {
  /** In milliseconds from now. */
  readonly completionMs: number;
}

/** Finds engines for requests. */
export interface Placement {
  tryPlan(
    entry: OpenRequest,
    constraints: PlanConstraints,
  ): EstimatedPlan | undefined;
  /** Finds the decode engine for a request whose KV cache stands ready. */
  tryPlanDecode(entry: OpenRequest): AttemptPlan | undefined;
}

const NO_CANDIDATES: readonly Candidate[] = [];

/** Creates a placement. */
export function createPlacement(options: PlacementOptions): Placement {
  const {host, table, prefixes, ejector, choose, limits} = options;
  return {tryPlan, tryPlanDecode};

  function tryPlan(
    entry: OpenRequest,
    constraints: PlanConstraints,
  ): EstimatedPlan | undefined {
    const pool = table.updatePool(entry.pool);
    const canSplit =
      pool.prefill.length > 0 && pool.decode.length + pool.mixed.length > 0;
    const engines = getFullEngines(pool, canSplit);
    const candidates = listCandidates(entry, constraints.freedEngine);
    const fullChoice =
      chooseFrom(entry, engines, candidates, entry.job, constraints) ??
      tryChooseAnyRole(entry, pool, constraints);
    const fullPlan: EstimatedPlan | undefined = fullChoice && {
      phase: 'full',
      choice: fullChoice,
      completionMs: fullChoice.prediction.completionMs,
    };
    // A request that runs at most once stays on one engine where there is one.
    if (!canSplit || (!entry.request.idempotent && pool.mixed.length > 0)) {
      return fullPlan;
    }
    const splitPlan = tryPlanSplit(entry, pool, candidates, constraints);
    if (splitPlan === undefined || fullPlan === undefined)
      return fullPlan ?? splitPlan;
    return splitPlan.completionMs < fullPlan.completionMs
      ? splitPlan
      : fullPlan;
  }

  /** A request that failed elsewhere goes whole to an engine of any role. */
  function tryChooseAnyRole(
    entry: OpenRequest,
    pool: EnginePool,
    constraints: PlanConstraints,
  ): Choice | undefined {
    if (entry.attemptCount === 0) return undefined;
    return chooseFrom(entry, pool.all, NO_CANDIDATES, entry.job, constraints);
  }

  function tryPlanSplit(
    entry: OpenRequest,
    pool: EnginePool,
    candidates: readonly Candidate[],
    constraints: PlanConstraints,
  ): EstimatedPlan | undefined {
    const {job} = entry;
    const prefillJob = {...job, outputTokens: 1};
    const choice = chooseFrom(
      entry,
      pool.prefill,
      candidates,
      prefillJob,
      constraints,
    );
    if (choice === undefined) return undefined;
    const decode = chooseDecode(entry, {
      needsCapacity: constraints.needsCapacity,
    });
    if (decode === undefined) return undefined;
    const transferMs = job.promptTokens * options.kvTransferMsPerToken;
    const completionMs =
      choice.prediction.completionMs +
      transferMs * (1 + options.kvTransferCostWeight) +
      decode.prediction.completionMs;
    return {phase: 'prefill', choice, completionMs};
  }

  function tryPlanDecode(entry: OpenRequest): AttemptPlan | undefined {
    const choice =
      chooseDecode(entry, {needsCapacity: true}) ??
      chooseDecode(entry, {needsCapacity: false});
    if (choice === undefined) return undefined;
    return {phase: 'decode', choice, kv: entry.kv};
  }

  function chooseDecode(
    entry: OpenRequest,
    constraints: PlanConstraints,
  ): Choice | undefined {
    const pool = table.updatePool(entry.pool);
    const engines = pool.decode.length > 0 ? pool.decode : pool.mixed;
    const job = {...entry.job, promptTokens: 1};
    return chooseFrom(entry, engines, NO_CANDIDATES, job, constraints);
  }

  function chooseFrom(
    entry: OpenRequest,
    engines: readonly EngineEntry[],
    candidates: readonly Candidate[],
    job: Job,
    constraints: PlanConstraints,
  ): Choice | undefined {
    if (engines.length === 0) return undefined;
    const nowMs = host.clock.getMonotonicMs();
    const role = engines[0].load.report?.role;
    const context: ChoiceContext = {
      engines,
      candidates: candidates.filter(
        candidate => candidate.engine.load.report?.role === role,
      ),
      job,
      nowMs,
      timeToDeadlineMs: entry.request.deadlineAtMs - nowMs,
      getRandom: host.getRandom,
      canUse: engine =>
        canUse(entry, engine, job, constraints.needsCapacity, nowMs),
      tryGetPeerWork: engine => host.tryGetPeerWork?.(engine.server.id),
    };
    return choose(context);
  }

  function canUse(
    entry: OpenRequest,
    engine: EngineEntry,
    job: Job,
    needsCapacity: boolean,
    nowMs: number,
  ): boolean {
    if (entry.triedEngines?.has(engine.server.id)) return false;
    const {report} = engine.load;
    if (report === undefined || nowMs < engine.refusedUntilMs) return false;
    if (hasStoppedReporting(engine.load, nowMs)) return false;
    if (needsCapacity) {
      const digestWork = host.tryGetPeerWork?.(engine.server.id);
      if (!hasCapacity(engine.load, report, job, {nowMs, limits, digestWork})) {
        return false;
      }
    }
    return ejector.isUsable(engine.health, nowMs);
  }

  function listCandidates(
    entry: OpenRequest,
    freedEngine: EngineEntry | undefined,
  ): readonly Candidate[] {
    const {prefixHashes, prefixTokens} = entry.request;
    if (freedEngine === undefined && prefixHashes.length === 0)
      return NO_CANDIDATES;
    const candidates: Candidate[] = [];
    for (const match of prefixes.listMatches(prefixHashes, prefixTokens)) {
      const engine = table.tryGet(match.engine);
      if (engine === undefined || !table.isMember(entry.pool, engine)) continue;
      candidates.push({engine, cachedTokens: match.cachedTokens});
    }
    const isKnown = candidates.some(
      candidate => candidate.engine === freedEngine,
    );
    if (freedEngine !== undefined && !isKnown) {
      candidates.push({engine: freedEngine, cachedTokens: 0});
    }
    return candidates;
  }
}

/** Engines for a whole request: mixed ones, else whichever there are when none can share the work. */
function getFullEngines(
  pool: EnginePool,
  canSplit: boolean,
): readonly EngineEntry[] {
  if (pool.mixed.length > 0 || canSplit) return pool.mixed;
  return pool.prefill.length > 0 ? pool.prefill : pool.decode;
}
