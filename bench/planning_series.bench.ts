/**
 * Prints the time series, the plans and the outcome of one scenario.
 * Usage: planning_series.bench.js NAME [POLICY] [LENGTH-FACTOR]
 */
import {
  createLongScenario,
  createTrace,
  listScenarios,
  ReplayPolicy,
  replayTrace,
} from '../src/replay';

const [name, policyName = 'anvilstack', factor = '1'] = process.argv.slice(2);
const scenario = listScenarios().find(item => item.name === name);
const policy = Object.values(ReplayPolicy).find(item => item === policyName);
if (scenario === undefined || policy === undefined) {
  throw new Error('usage: NAME [POLICY] [LENGTH-FACTOR]');
}
const full = createTrace(createLongScenario(scenario, Number(factor)).spec);
const nodes = Number(process.env['NODES'] ?? full.header.nodes);
const trace = {...full, header: {...full.header, nodes}};
const result = await replayTrace(trace, {policy});
for (const point of result.series) {
  const roles = point.roles.map(role => role[0] + role[1]).join(' ');
  console.log(
    `${point.atMs / 1_000}`.padStart(4),
    `in ${point.inDeadline}/${point.arrived}`.padEnd(12),
    `wait ${point.waiting} run ${point.running}`.padEnd(18),
    `first ${point.p95FirstTokenMs}`.padEnd(13),
    `P ${point.promptTokens} D ${point.outputTokens}`.padEnd(18),
    roles,
  );
}
for (const plan of result.plans) {
  console.log(plan.atMs, plan.node, plan.kind, plan.engine ?? '', plan.cause);
}
console.log(JSON.stringify(result.outcome));
