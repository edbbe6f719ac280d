/**
 * Time from an operator's amendment of a template until it is in force on every node, over
 * loopback sockets.
 * Run: npm run -s transpile && node build/js/bench/in_force.bench.js
 */
import {build} from 'hdr-histogram-js';
import {startCluster} from '../src/demo';
import {createSystemClock} from '../src/runtime';
import {createTestTemplate} from '../test/support/template';

const AMENDMENTS = 100;

async function runNodes(nodeCount: number): Promise<void> {
  const cluster = await startCluster({
    clock: createSystemClock(),
    deployment: 'bench',
    region: 'r',
    failureDomains: ['d1', 'd2', 'd3', 'd4'],
    nodeCount,
    engines: [{id: 'engine-1', failureDomain: 'd1'}],
    models: ['small'],
    service: 'order-desk',
    reportIntervalMs: 500,
  });
  const histogram = build();
  const input = {operators: ['demo']};
  let version = await cluster.publishTemplate(createTestTemplate(input));
  for (let index = 0; index < AMENDMENTS; index++) {
    const template = createTestTemplate({...input, deadline_ms: 1_000 + index});
    const startMs = performance.now();
    version = await cluster.publishTemplate(template, version);
    histogram.recordValue(Math.round(performance.now() - startMs));
  }
  console.log(
    JSON.stringify({
      nodes: nodeCount,
      p50Ms: histogram.getValueAtPercentile(50),
      p95Ms: histogram.getValueAtPercentile(95),
      maxMs: histogram.maxValue,
    }),
  );
  await cluster.close();
}

for (const nodeCount of [3, 14]) await runNodes(nodeCount);
