/**
 * Finds the load that fixed roles carry for each mix of requests, and compares it with the
 * planner's fluid-model estimate.
 * Usage: role_capacity.bench.js [NODES]
 */
import {computeUtilization, computeOfferedLoad} from '../src/planning/capacity';
import {
  createTrace,
  listScenarios,
  ReplayPolicy,
  replayTrace,
  type Trace,
} from '../src/replay';
import {ENGINE_DEFAULTS} from '../src/standins';

const DURATION_MS = 25_000;
const MIN_GOODPUT = 0.98;
const ROLES = [
  [0, 0],
  [3, 3],
  [4, 1],
  [4, 4],
  [6, 2],
  [8, 2],
  [9, 4],
  [2, 8],
] as const;

const nodes = Number(process.argv[2] ?? 13);
const scenario = listScenarios().find(item => item.name === 'tatranska-swing');
if (scenario === undefined) throw new Error('no scenario tatranska-swing');
const {spec} = scenario;
const mixes = [
  ['order desk', 0],
  ['catalogues', 1],
  ['letters', 2],
] as const;
for (const [name, index] of mixes) {
  for (const [prefill, decode] of ROLES) {
    await findCarriedLoad(name, index, prefill, decode);
  }
}

async function findCarriedLoad(
  name: string,
  index: number,
  prefill: number,
  decode: number,
): Promise<void> {
  let carried = 0;
  let predicted = 0;
  for (let load = 0.3; load < 1.2; load += 0.1) {
    const trace = createFixedTrace(index, prefill, decode, load);
    predicted = load / predictUtilization(trace, prefill, decode);
    const {outcome} = await replayTrace(trace, {
      policy: ReplayPolicy.StaticRoles,
    });
    if (outcome.goodput < MIN_GOODPUT) break;
    carried = load;
  }
  console.log(
    `${name}: ${prefill} prefill + ${decode} decode + ${13 - prefill - decode} mixed carry ${carried.toFixed(1)}, predicted ${predicted.toFixed(2)}`,
  );
}

function createFixedTrace(
  index: number,
  prefill: number,
  decode: number,
  load: number,
): Trace {
  const engines = spec.header.engines.map((engine, number) => ({
    ...engine,
    role: getRole(number, prefill, decode),
  }));
  return createTrace({
    ...spec,
    phases: [{...spec.phases[index], durationMs: DURATION_MS, load}],
    header: {...spec.header, engines, nodes},
  });
}

function getRole(number: number, prefill: number, decode: number) {
  if (number < prefill) return 'prefill' as const;
  return number < prefill + decode ? ('decode' as const) : ('mixed' as const);
}

function predictUtilization(
  trace: Trace,
  prefill: number,
  decode: number,
): number {
  const perS = 1_000 / DURATION_MS;
  const sum = (get: (item: Trace['requests'][number]) => number): number =>
    trace.requests.reduce((total, item) => total + get(item), 0) * perS;
  const offeredLoad = computeOfferedLoad(
    {
      prefillTokensPerS: sum(item => item.prompt_tokens),
      decodeTokensPerS: sum(item => item.output_tokens),
    },
    ENGINE_DEFAULTS,
  );
  const counts = {prefill, decode, mixed: 13 - prefill - decode};
  return computeUtilization(counts, offeredLoad, ENGINE_DEFAULTS);
}
