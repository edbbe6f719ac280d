/**
 * The role changes that full knowledge of a trace would make: dynamic programming
 * over windows of time and sets of roles, with the planner's own capacity estimate
 * and weights, changes being instant but charged.
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

/** The plan of full knowledge. */
export interface ClairvoyantPlan {
  readonly roleChanges: number;
  /** Roles in each window. */
  readonly windows: readonly RoleCounts[];
}

const WINDOW_MS = 5_000;
/** Typical time that an engine drains before it changes, in milliseconds. */
const TYPICAL_DRAIN_MS = 3_000;

interface Step {
  readonly cost: number;
  readonly changes: number;
  readonly path: readonly number[];
}

/** Computes the plan with the least overload and changes together. */
export function computeClairvoyantPlan(
  trace: Trace,
  weights: PlannerWeights,
): ClairvoyantPlan {
  const sets = listRoleSets(trace.header.engines.length);
  const awayS = (trace.header.role_change_ms + TYPICAL_DRAIN_MS) / 1_000;
  const changeCost = awayS * weights.lostSecondCost + weights.fixedChangeCost;
  const start = getStartCounts(trace);
  let steps: Step[] = sets.map(set => {
    const changes = countChanges(start, set);
    return {cost: changes * changeCost, changes, path: []};
  });
  for (const work of listWork(trace)) {
    const overloads = sets.map(set => computeOverloadS(set, work, weights));
    steps = sets.map((set, to) => {
      const best = findBestStep(steps, sets, set, changeCost);
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
    windows: best.path.map(index => sets[index]),
  };
}

function findBestStep(
  steps: readonly Step[],
  sets: readonly RoleCounts[],
  to: RoleCounts,
  changeCost: number,
): Step {
  let best: Step | undefined;
  for (const [index, step] of steps.entries()) {
    const changes = countChanges(sets[index], to);
    const cost = step.cost + changes * changeCost;
    if (best !== undefined && cost >= best.cost) continue;
    best = {...step, cost, changes: step.changes + changes};
  }
  return best ?? steps[0];
}

function computeOverloadS(
  counts: RoleCounts,
  work: OfferedLoad,
  weights: PlannerWeights,
): number {
  const size = counts.prefill + counts.decode + counts.mixed;
  const utilization = computeUtilization(counts, work, ENGINE_DEFAULTS);
  const overload = Math.max(0, utilization - weights.targetUtilization) * size;
  return (overload * WINDOW_MS) / 1_000;
}

/** Work of each window; a prefix counts only the first time. */
function listWork(trace: Trace): readonly OfferedLoad[] {
  const seen = new Set<string>();
  const windows: Array<{prompt: number; output: number}> = [];
  for (const request of trace.requests) {
    const index = Math.floor(request.at_ms / WINDOW_MS);
    while (windows.length <= index) windows.push({prompt: 0, output: 0});
    const {prefix, prefix_tokens} = request;
    const isCached = prefix !== undefined && seen.has(prefix);
    if (prefix !== undefined) seen.add(prefix);
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

function listRoleSets(size: number): readonly RoleCounts[] {
  const sets: RoleCounts[] = [];
  for (let prefill = 0; prefill <= size; prefill++) {
    for (let decode = 0; prefill + decode <= size; decode++) {
      sets.push({prefill, decode, mixed: size - prefill - decode});
    }
  }
  return sets;
}

function getStartCounts(trace: Trace): RoleCounts {
  const count = (role: EngineRole): number =>
    trace.header.engines.filter(engine => engine.role === role).length;
  return {
    prefill: count(EngineRole.Prefill),
    decode: count(EngineRole.Decode),
    mixed: count(EngineRole.Mixed),
  };
}
