/**
 * Goodput of the routing policies when load reports arrive late, with 14 nodes and 13 engines.
 * Usage: routing_goodput.bench.js [LOAD]
 */
import {
  createPolicyOptions,
  type DispatcherOptions,
  RoutingPolicy,
} from '../src/routing';
import {runWorkload, type WorkloadResult} from './routing_workload';

const LAGS_MS = [0, 500, 2_000, 5_000];
const SEEDS = [1, 2, 3];
const LOADS = [0.8, 1, 1.3];

const load =
  process.argv[2] === undefined ? undefined : Number(process.argv[2]);

for (const policy of Object.values(RoutingPolicy)) {
  for (const loadFactor of load === undefined ? LOADS : [load]) {
    for (const reportLagMs of LAGS_MS) {
      await printRow(policy, loadFactor, reportLagMs, () =>
        createPolicyOptions(policy),
      );
    }
  }
}

async function printRow(
  name: string,
  load: number,
  reportLagMs: number,
  createOptions: () => DispatcherOptions,
): Promise<void> {
  const results: WorkloadResult[] = [];
  for (const seed of SEEDS) {
    results.push(await runWorkload({load, reportLagMs, seed, createOptions}));
  }
  const mean = (pick: (index: number) => number) =>
    SEEDS.reduce((sum, _, index) => sum + pick(index), 0) / SEEDS.length;
  const row = [
    name.padEnd(12),
    `load ${load}`,
    `lag ${String(reportLagMs).padStart(4)} ms`,
    `goodput ${mean(index => results[index].goodput).toFixed(3)}`,
    `urgent ${mean(index => results[index].urgentGoodput).toFixed(3)}`,
    `refused ${mean(index => results[index].refused).toFixed(0)}`,
    `late ${mean(index => results[index].late).toFixed(0)}`,
    `p95 first ${mean(index => results[index].p95FirstTokenMs).toFixed(0)} ms`,
    `wasted ${mean(index => results[index].wastedTokens).toFixed(0)}`,
    `of ${mean(index => results[index].requests).toFixed(0)}`,
  ];
  console.log(row.join('  '));
}
