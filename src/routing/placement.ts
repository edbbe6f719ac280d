/** Finds where a request runs: on one engine, or prefill on one and decode on another. */
import type {AttemptPlan} from './attempts';
import type {Choice, ChoiceContext, ChooseEngine, PrefixHolder} from './choice';
import type {Ejector} from './ejection';
import {isSilent} from './engine_load';
import type {EngineEntry, EnginePool, EngineTable} from './engine_table';
import {hasRoom, type Job, type RoomLimits} from './estimate';
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
  readonly limits: RoomLimits;
  /** Time to move the KV cache of one token between engines, in milliseconds. */
  readonly kvTransferMsPerToken: number;
  /** What a millisecond of transfer costs beyond its delay. */
  readonly kvTransferCostWeight: number;
}

/** What a plan has to heed. */
export interface PlanWishes {
  /** Only engines whose own queue stays short. */
  readonly needsRoom: boolean;
  /** An engine to compare in any case, since it has just come free. */
  readonly hint?: EngineEntry;
}

/** A plan and when the answer is expected to be complete. */
export interface PlacedPlan extends AttemptPlan {
  /** In milliseconds from now. */
  readonly completionMs: number;
}

/** Finds engines for requests. */
export interface Placement {
  tryPlan(entry: OpenRequest, wishes: PlanWishes): PlacedPlan | undefined;
  /** Finds the decode engine for a request whose KV cache stands ready. */
  tryPlanDecode(entry: OpenRequest): AttemptPlan | undefined;
}

const NO_HOLDERS: readonly PrefixHolder[] = [];

/** Creates a placement. */
export function createPlacement(options: PlacementOptions): Placement {
  const {host, table, prefixes, ejector, choose, limits} = options;
  return {tryPlan, tryPlanDecode};

  function tryPlan(
    entry: OpenRequest,
    wishes: PlanWishes,
  ): PlacedPlan | undefined {
    const pool = table.updatePool(entry.pool);
    const canSplit =
      pool.prefill.length > 0 && pool.decode.length + pool.mixed.length > 0;
    const engines = getFullEngines(pool, canSplit);
    const holders = listHolders(entry, wishes.hint);
    const full =
      chooseFrom(entry, engines, holders, entry.job, wishes) ??
      tryChooseAny(entry, pool, wishes);
    const whole: PlacedPlan | undefined = full && {
      phase: 'full',
      choice: full,
      completionMs: full.prediction.completionMs,
    };
    // A request that runs at most once stays on one engine where there is one.
    if (!canSplit || (!entry.request.idempotent && pool.mixed.length > 0)) {
      return whole;
    }
    const split = tryPlanSplit(entry, pool, holders, wishes);
    if (split === undefined || whole === undefined) return whole ?? split;
    return split.completionMs < whole.completionMs ? split : whole;
  }

  /** A request that failed elsewhere goes whole to an engine of any role. */
  function tryChooseAny(
    entry: OpenRequest,
    pool: EnginePool,
    wishes: PlanWishes,
  ): Choice | undefined {
    if (entry.attemptCount === 0) return undefined;
    return chooseFrom(entry, pool.all, NO_HOLDERS, entry.job, wishes);
  }

  function tryPlanSplit(
    entry: OpenRequest,
    pool: EnginePool,
    holders: readonly PrefixHolder[],
    wishes: PlanWishes,
  ): PlacedPlan | undefined {
    const {job} = entry;
    const prefillJob = {...job, outputTokens: 1};
    const choice = chooseFrom(entry, pool.prefill, holders, prefillJob, wishes);
    if (choice === undefined) return undefined;
    const decode = chooseDecode(entry, {needsRoom: wishes.needsRoom});
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
      chooseDecode(entry, {needsRoom: true}) ??
      chooseDecode(entry, {needsRoom: false});
    if (choice === undefined) return undefined;
    return {phase: 'decode', choice, kv: entry.kv};
  }

  function chooseDecode(
    entry: OpenRequest,
    wishes: PlanWishes,
  ): Choice | undefined {
    const pool = table.updatePool(entry.pool);
    const engines = pool.decode.length > 0 ? pool.decode : pool.mixed;
    const job = {...entry.job, promptTokens: 1};
    return chooseFrom(entry, engines, NO_HOLDERS, job, wishes);
  }

  function chooseFrom(
    entry: OpenRequest,
    engines: readonly EngineEntry[],
    holders: readonly PrefixHolder[],
    job: Job,
    wishes: PlanWishes,
  ): Choice | undefined {
    if (engines.length === 0) return undefined;
    const nowMs = host.clock.getMonotonicMs();
    const role = engines[0].load.report?.role;
    const context: ChoiceContext = {
      engines,
      holders: holders.filter(
        holder => holder.engine.load.report?.role === role,
      ),
      job,
      nowMs,
      slackMs: entry.request.deadlineAtMs - nowMs,
      getRandom: host.getRandom,
      canUse: engine => canUse(entry, engine, job, wishes.needsRoom, nowMs),
      tryGetDigest: engine => host.tryGetOthersWork?.(engine.server.id),
    };
    return choose(context);
  }

  function canUse(
    entry: OpenRequest,
    engine: EngineEntry,
    job: Job,
    needsRoom: boolean,
    nowMs: number,
  ): boolean {
    if (entry.tried?.has(engine.server.id)) return false;
    const {report} = engine.load;
    if (report === undefined || nowMs < engine.refusedUntilMs) return false;
    if (isSilent(engine.load, nowMs)) return false;
    if (needsRoom) {
      const digest = host.tryGetOthersWork?.(engine.server.id);
      if (!hasRoom(engine.load, report, job, {nowMs, limits, digest})) {
        return false;
      }
    }
    return ejector.isUsable(engine.health, nowMs);
  }

  function listHolders(
    entry: OpenRequest,
    hint: EngineEntry | undefined,
  ): readonly PrefixHolder[] {
    const {prefixHashes, prefixTokens} = entry.request;
    if (hint === undefined && prefixHashes.length === 0) return NO_HOLDERS;
    const holders: PrefixHolder[] = [];
    for (const match of prefixes.listMatches(prefixHashes, prefixTokens)) {
      const engine = table.tryGet(match.engine);
      if (engine === undefined || !table.isMember(entry.pool, engine)) continue;
      holders.push({engine, cachedTokens: match.cachedTokens});
    }
    const isKnown = holders.some(holder => holder.engine === hint);
    if (hint !== undefined && !isKnown) {
      holders.push({engine: hint, cachedTokens: 0});
    }
    return holders;
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
