/**
 * Prints the table of docs/benchmarks/planning.md.
 * Usage: planning_table.bench.js [LENGTH-FACTOR] [NAME-PATTERN]
 */
import {
  computeClairvoyantPlan,
  createLongScenario,
  createTrace,
  getPlannerWeights,
  listScenarios,
  replayWithBaselines,
} from '../src/replay';

const [factor = '1', pattern = '.'] = process.argv.slice(2);
console.log(
  '| trace | requests | bound | anvilstack | of bound | static-roles | least-loaded | round-robin | role changes | clairvoyant changes | p95 first token ms | p95 between tokens ms |',
);
console.log(
  '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
);
for (const scenario of listScenarios()) {
  if (!new RegExp(pattern).test(scenario.name)) continue;
  const trace = createTrace(createLongScenario(scenario, Number(factor)).spec);
  const {bound, results} = await replayWithBaselines(trace);
  const clairvoyant = computeClairvoyantPlan(
    trace,
    getPlannerWeights(trace.header),
  );
  const goodputs = [
    'anvilstack',
    'static-roles',
    'least-loaded',
    'round-robin',
  ].map(
    policy =>
      [...results.values()].find(item => item.outcome.policy === policy)
        ?.outcome.goodput ?? 0,
  );
  const anvilstackOutcome = results.get('anvilstack')?.outcome;
  if (anvilstackOutcome === undefined) continue;
  const [anvilstack, ...others] = goodputs;
  const cells = [
    scenario.name,
    anvilstackOutcome.requests,
    bound.goodput.toFixed(4),
    anvilstack.toFixed(4),
    (anvilstack / bound.goodput).toFixed(3),
    ...others.map(value => value.toFixed(4)),
    anvilstackOutcome.role_changes,
    clairvoyant.roleChanges,
    anvilstackOutcome.p95_first_token_ms,
    anvilstackOutcome.p95_between_tokens_ms,
  ];
  console.log(`| ${cells.join(' | ')} |`);
}
