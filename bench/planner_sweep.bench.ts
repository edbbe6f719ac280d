/**
 * Compares planners and their weights over two traces of a deployment: `swing`, and the one named
 * by the environment variable SECOND (`lag` by default). The environment variable VARIANTS lists
 * the planners and weights to try, and BASE holds weights that they share, both as JSON.
 * Usage: planner_sweep.bench.js [DEPLOYMENT] [FACTOR,...]
 */
import {
  planByThresholds,
  planBySkiRental,
  planPredictively,
} from '../src/planning';
import {
  createLongScenario,
  createTrace,
  listScenarios,
  replayTrace,
} from '../src/replay';

const [deployment = 'tatranska', factors = '1,3'] = process.argv.slice(2);
const planners = {
  ski: planBySkiRental,
  thresholds: planByThresholds,
  predictive: planPredictively,
};
const base = JSON.parse(process.env['BASE'] ?? '{}') as Record<string, number>;
const variants = JSON.parse(process.env['VARIANTS'] ?? '[{}]') as Array<
  Record<string, number> & {way?: keyof typeof planners}
>;
const traces = factors.split(',').flatMap(factor =>
  listScenarios()
    .filter(
      item =>
        item.name === `${deployment}-swing` ||
        item.name === `${deployment}-${process.env['SECOND'] ?? 'lag'}`,
    )
    .map(item => createTrace(createLongScenario(item, Number(factor)).spec)),
);
for (const variant of variants) {
  const {way = 'ski', ...weights} = variant;
  const cells: string[] = [];
  for (const trace of traces) {
    const {outcome} = await replayTrace(trace, {
      planRoles: planners[way],
      weights: {...base, ...weights},
    });
    cells.push(`${outcome.goodput.toFixed(3)}/${outcome.role_changes}`);
  }
  console.log(cells.join('  '), JSON.stringify(variant));
}
