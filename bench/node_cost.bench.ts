/**
 * Processor time and heap that one more idle node costs, from the slope over the number of nodes
 * in one process. Sockets are real. The other end of each call (stand-ins, peers) is counted too,
 * so the figures are upper bounds.
 */
import {startCluster} from '../src/demo';
import {createSystemClock} from '../src/runtime';

const ENGINES = 13;
const NODE_COUNTS = [2, 8, 14];
const SETTLE_MS = 6_000;
const MEASURE_MS = 8_000;
const REPORT_INTERVALS_MS = [500, 60_000];

async function printCosts(reportIntervalMs: number): Promise<void> {
  const clock = createSystemClock();
  for (const nodeCount of NODE_COUNTS) {
    const cluster = await startCluster({
      clock,
      deployment: 'bench',
      region: 'sk-west',
      failureDomains: ['sk-west-1', 'sk-west-2', 'sk-west-3', 'sk-west-4'],
      nodeCount,
      models: ['small'],
      engines: Array.from({length: ENGINES}, (_, index) => ({
        id: `engine-${index + 1}`,
        failureDomain: `sk-west-${(index % 4) + 1}`,
      })),
      service: 'order-desk',
      reportIntervalMs,
    });
    await clock.sleep(SETTLE_MS);
    const usage = process.cpuUsage();
    await clock.sleep(MEASURE_MS);
    const used = process.cpuUsage(usage);
    const cores = (used.user + used.system) / 1_000 / MEASURE_MS;
    globalThis.gc?.();
    globalThis.gc?.();
    const heapMb = process.memoryUsage().heapUsed / 1e6;
    console.log(
      `| ${reportIntervalMs} | ${nodeCount} | ${(cores * 100).toFixed(1)} | ${heapMb.toFixed(1)} |`,
    );
    await cluster.close();
  }
}

console.log(
  '| ms between reports | nodes in the process | processor, % of a core | heap, MB |',
);
console.log('| --- | --- | --- | --- |');
for (const intervalMs of REPORT_INTERVALS_MS) await printCosts(intervalMs);
process.exit(0);
