/**
 * Cost of gathering usage: messages, bytes and processor time of a node per
 * window, in fleets on a virtual clock. The network, the store and the clock
 * are models and part of the processor time.
 */
import {
  createUsageFleet,
  FIRST_WINDOW,
  WINDOW_MS,
} from '../test/duties/usage_fleet';

const WINDOWS = 8;
/** Requests per second that begin at each node. */
const REQUESTS_PER_NODE = 12;
const LOSS = 0.01;

console.log(
  '| nodes | datagrams per node and window | KB per node and window | largest, bytes | KB received per window, busiest node | processor, ms per node and window | store calls per window | windows with faults |',
);
console.log('| --- | --- | --- | --- | --- | --- | --- | --- |');
for (const nodes of [30, 100, 300]) {
  const fleet = createUsageFleet({nodes, loss: LOSS});
  fleet.sendLoad(WINDOWS * WINDOW_MS, REQUESTS_PER_NODE * nodes);
  const usage = process.cpuUsage();
  await fleet.clock.advance(WINDOWS * WINDOW_MS + 4_900);
  const {user, system} = process.cpuUsage(usage);
  const {messages, bytes, largest, storeCalls} = fleet.traffic;
  const perNode = nodes * WINDOWS;
  const cells = [
    nodes,
    (messages / perNode).toFixed(1),
    (bytes / perNode / 1_000).toFixed(2),
    largest,
    (Math.max(...fleet.receivedBytes.values()) / 1_000 / WINDOWS).toFixed(0),
    ((user + system) / 1_000 / perNode).toFixed(2),
    (storeCalls / WINDOWS).toFixed(1),
    fleet.listFaults(FIRST_WINDOW + WINDOWS - 1).length,
  ];
  console.log(`| ${cells.join(' | ')} |`);
}
