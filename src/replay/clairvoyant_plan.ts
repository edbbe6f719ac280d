/**
 * Computes the role changes of a planner that knows the whole trace in advance:
 * dynamic programming over time windows and role counts, with the planner's own
 * capacity estimate and weights. Role changes take effect at once but have a cost.
 */
import {EngineRole} from '../backends';
import {
  computeUtilization,
  computeOfferedLoad,
  countChanges,
  type PlannerWeights,
  type RoleCounts,
  type OfferedLoad,
} from '../planning';
import {ENGINE_DEFAULTS} from '../standins';
import type {Trace} from './types';

/** A role plan made with full knowledge of the trace. */
export interface ClairvoyantPlan {
  readonly roleChanges: number;
  /** Number of engines of each role, for each window of `WINDOW_MS`. */
  readonly windows: readonly RoleCounts[];
}

const WINDOW_MS = 5_000;
/** Typical time that an engine drains before a role change, in milliseconds. */
const TYPICAL_DRAIN_MS = 3_000;

interface Step {
  readonly cost: number;
  readonly changes: number;
  readonly path: readonly number[];
}

/** Computes the plan with the lowest total cost of overload and role changes. */
export function computeClairvoyantPlan(
  trace: Trace,
  weights: PlannerWeights,
): ClairvoyantPlan {
  const candidates = listRoleCounts(trace.header.engines.length);
  const unavailableS = (trace.header.role_change_ms + TYPICAL_DRAIN_MS) / 1_000;
  const changeCost =
    unavailableS * weights.lostSecondCost + weights.fixedChangeCost;
  const initialCounts = getInitialCounts(trace);
  let steps: Step[] = candidates.map(candidate => {
    const changes = countChanges(initialCounts, candidate);
    return {cost: changes * changeCost, changes, path: []};
  });
  for (const load of listOfferedLoads(trace)) {
    const overloads = candidates.map(candidate =>
      computeOverloadS(candidate, load, weights),
    );
    steps = candidates.map((candidate, to) => {
      const best = findCheapestStep(steps, candidates, candidate, changeCost);
      return {
        cost: best.cost + overloads[to],
        changes: best.changes,
        path: [...best.path, to],
      };
    });
  }
  const best = steps.reduce((least, step) =>
    step.cost < least.cost ? step : least,
  );
  return {
    roleChanges: best.changes,
    windows: best.path.map(index => candidates[index]),
  };
}

function findCheapestStep(
  steps: readonly Step[],
  candidates: readonly RoleCounts[],
  to: RoleCounts,
  changeCost: number,
): Step {
  let best: Step | undefined;
  for (const [index, step] of steps.entries()) {
    const changes = countChanges(candidates[index], to);
    const cost = step.cost + changes * changeCost;
    if (best !== undefined && cost >= best.cost) continue;
    best = {...step, cost, changes: step.changes + changes};
  }
  return best ?? steps[0];
}

function computeOverloadS(
  counts: RoleCounts,
  load: OfferedLoad,
  weights: PlannerWeights,
): number {
  const engineCount = counts.prefill + counts.decode + counts.mixed;
  const utilization = computeUtilization(counts, load, ENGINE_DEFAULTS);
  const overload =
    Math.max(0, utilization - weights.targetUtilization) * engineCount;
  return (overload * WINDOW_MS) / 1_000;
}

/** Returns the offered load of each window; a prefix counts only in its first request. */
function listOfferedLoads(trace: Trace): readonly OfferedLoad[] {
  const seenPrefixes = new Set<string>();
  const windows: Array<{prompt: number; output: number}> = [];
  for (const request of trace.requests) {
    const index = Math.floor(request.at_ms / WINDOW_MS);
    while (windows.length <= index) windows.push({prompt: 0, output: 0});
    const {prefix, prefix_tokens} = request;
    const isCached = prefix !== undefined && seenPrefixes.has(prefix);
    if (prefix !== undefined) seenPrefixes.add(prefix);
    windows[index].prompt +=
      request.prompt_tokens - (isCached ? prefix_tokens : 0);
    windows[index].output += request.output_tokens;
  }
  const perS = 1_000 / WINDOW_MS;
  return windows.map(({prompt, output}) =>
    computeOfferedLoad(
      {prefillTokensPerS: prompt * perS, decodeTokensPerS: output * perS},
      ENGINE_DEFAULTS,
    ),
  );
}

function listRoleCounts(engineCount: number): readonly RoleCounts[] {
  const candidates: RoleCounts[] = [];
  for (let prefill = 0; prefill <= engineCount; prefill++) {
    for (let decode = 0; prefill + decode <= engineCount; decode++) {
      candidates.push({prefill, decode, mixed: engineCount - prefill - decode});
    }
  }
  return candidates;
}

function getInitialCounts(trace: Trace): RoleCounts {
  const count = (role: EngineRole): number =>
    trace.header.engines.filter(engine => engine.role === role).length;
  return {
    prefill: count(EngineRole.Prefill),
    decode: count(EngineRole.Decode),
    mixed: count(EngineRole.Mixed),
  };
}
