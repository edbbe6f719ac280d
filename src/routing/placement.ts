/** Decides where a request runs: on one engine, or prefill on one engine and decode on another. */
import type {AttemptPlan} from './attempts';
import type {Candidate, Choice, ChoiceContext, ChooseEngine} from './choice';
import type {Ejector} from './ejection';
import {hasStoppedReporting} from './engine_load';
import type {EngineEntry, EnginePool, EngineTable} from './engine_table';
import {type EngineLimits, hasCapacity, type Job} from './estimate';
import {Obstacle} from './obstacle';
import type {OpenRequest} from './open_request';
import type {PrefixIndex} from './prefix_index';
import type {DispatcherHost} from './types';

/** Options of a placement. */
export interface PlacementOptions {
  readonly host: Pick<
    DispatcherHost,
    'clock' | 'getRandom' | 'tryGetDigestWork'
  >;
  readonly table: EngineTable;
  readonly prefixes: PrefixIndex;
  readonly ejector: Pick<Ejector, 'isUsable'>;
  readonly choose: ChooseEngine;
  readonly limits: EngineLimits;
  /** Time to move the KV cache of one token between engines, in milliseconds. */
  readonly kvTransferMsPerToken: number;
  /** Cost added to a plan for each millisecond of KV transfer, on top of the delay itself. */
  readonly kvTransferCostWeight: number;
}

/** Constraints of a plan. */
export interface PlanConstraints {
  /** True to use only engines with free capacity, so that their own queues stay short. */
  readonly needsCapacity: boolean;
  /** An engine that is always compared, because it may just have gained free capacity. */
  readonly freedEngine?: EngineEntry;
}

/** A plan with its expected completion time. */
export interface EstimatedPlan extends AttemptPlan {
  /** When the answer is expected to be complete, in milliseconds from now. */
  readonly completionMs: number;
}

/** Chooses engines for requests. */
export interface Placement {
  /** Plans the first attempt or a retry; undefined if no engine is usable. */
  tryPlan(
    entry: OpenRequest,
    constraints: PlanConstraints,
  ): EstimatedPlan | undefined;
  /** Returns why the request cannot be sent to the engine now; undefined when it can. */
  tryGetObstacle(
    entry: OpenRequest,
    engine: EngineEntry,
    job: Job,
    needsCapacity: boolean,
  ): Obstacle | undefined;
  /** Chooses the decode engine for a request whose KV cache a prefill engine holds for export. */
  tryPlanDecode(entry: OpenRequest): AttemptPlan | undefined;
}

const NO_CANDIDATES: readonly Candidate[] = [];

/** Creates a placement. */
export function createPlacement(options: PlacementOptions): Placement {
  const {host, table, prefixes, ejector, choose, limits} = options;
  return {
    tryPlan,
    tryPlanDecode,
    tryGetObstacle: (entry, engine, job, needsCapacity) =>
      findObstacle(
        entry,
        engine,
        job,
        needsCapacity,
        host.clock.getMonotonicMs(),
      ),
  };

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
    // A non-idempotent request is split only if there is no mixed engine: once its prefill has
    // run, it must not be run again if the decode engine fails.
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

  /** A retry may run as a whole on an engine of any role. */
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
        findObstacle(entry, engine, job, constraints.needsCapacity, nowMs) ===
        undefined,
      tryGetDigestWork: engine => host.tryGetDigestWork?.(engine.server.id),
    };
    return choose(context);
  }

  function findObstacle(
    entry: OpenRequest,
    engine: EngineEntry,
    job: Job,
    needsCapacity: boolean,
    nowMs: number,
  ): Obstacle | undefined {
    if (entry.triedEngines?.has(engine.server.id)) return Obstacle.Tried;
    const {report} = engine.load;
    if (report === undefined) return Obstacle.NoReport;
    if (nowMs < engine.refusedUntilMs) return Obstacle.Refused;
    if (hasStoppedReporting(engine.load, nowMs)) return Obstacle.Silent;
    if (needsCapacity) {
      const digestWork = host.tryGetDigestWork?.(engine.server.id);
      if (!hasCapacity(engine.load, report, job, {nowMs, limits, digestWork})) {
        return Obstacle.Full;
      }
    }
    return ejector.isUsable(engine.health, nowMs)
      ? undefined
      : Obstacle.Ejected;
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

/**
 * Returns the engines that may run a request as a whole: mixed ones; others only if a pool
 * without them cannot be split.
 */
function getFullEngines(
  pool: EnginePool,
  canSplit: boolean,
): readonly EngineEntry[] {
  if (pool.mixed.length > 0 || canSplit) return pool.mixed;
  return pool.prefill.length > 0 ? pool.prefill : pool.decode;
}
