/**
 * Membership by number of nodes: messages, bytes, processor time, memory, and how long it takes
 * until all nodes know of a change. The nodes run on virtual time in one process; processor time
 * is real and includes the in-memory transport. The last part measures one exchange over a socket.
 */
import {createEventRing} from '../src/diagnostics';
import {
  createMembership,
  createPeerApp,
  createPeerClient,
} from '../src/membership';
import {createSystemClock, openListener} from '../src/runtime';
import {openByteRelay} from '../test/support/byte_relay';
import {
  type MembershipCluster,
  type MembershipNode,
  startMembershipCluster,
} from '../test/support/membership_cluster';

const COUNTS = [3, 14, 50, 150, 400, 1_000];
const SEEDS = [1, 2, 3];
const WARM_UP_MS = 20_000;
const STEADY_MS = 20_000;
const DETECTION_LIMIT_MS = 120_000;
const FAILURE_DOMAINS = 12;
const SOCKET_EXCHANGES = 2_000;

async function printSteadyState(): Promise<void> {
  console.log(
    '| nodes | messages/s a node | KB/s a node | processor, % of a core a node | KB of heap a node |',
  );
  console.log('| --- | --- | --- | --- | --- |');
  for (const count of COUNTS) {
    const before = getHeapBytes();
    const cluster = startMembershipCluster({nodes: count, seed: 1});
    await cluster.clock.advance(WARM_UP_MS);
    const first = computeTotals(cluster);
    const usage = process.cpuUsage();
    await cluster.clock.advance(STEADY_MS);
    const used = process.cpuUsage(usage);
    const last = computeTotals(cluster);
    const heapKb = (getHeapBytes() - before) / 1_000 / count;
    const nodeSeconds = (count * STEADY_MS) / 1_000;
    const cores = (used.user + used.system) / 1_000_000 / nodeSeconds;
    console.log(
      `| ${count} | ${((last.messages - first.messages) / nodeSeconds).toFixed(1)} | ${((last.bytes - first.bytes) / 1_000 / nodeSeconds).toFixed(2)} | ${(cores * 100).toFixed(3)} | ${heapKb.toFixed(0)} |`,
    );
    cluster.stop();
  }
}

async function printDetection(): Promise<void> {
  console.log(
    '\n| nodes | leaving server known by all, ms | dead node known by all, s | failure domain lost: known by all, s | its peak, KB/s of the busiest node |',
  );
  console.log('| --- | --- | --- | --- | --- |');
  for (const count of COUNTS) {
    const leaving: number[] = [];
    const dead: number[] = [];
    const domain: number[] = [];
    const peaks: number[] = [];
    for (const seed of count > 200 ? SEEDS.slice(0, 1) : SEEDS) {
      const cluster = startMembershipCluster({nodes: count, seed});
      await cluster.clock.advance(WARM_UP_MS);
      leaving.push(await runLeaving(cluster));
      dead.push((await runLoss(cluster, 1)).detectedMs);
      if (count >= FAILURE_DOMAINS) {
        const loss = await runLoss(
          cluster,
          Math.round(count / FAILURE_DOMAINS),
        );
        domain.push(loss.detectedMs);
        peaks.push(loss.peakBytesPerS);
      }
      cluster.stop();
    }
    console.log(
      `| ${count} | ${formatRange(leaving, 1)} | ${formatRange(dead, 1_000)} | ${formatRange(domain, 1_000)} | ${formatRange(peaks, 1_000)} |`,
    );
  }
}

async function runLeaving(cluster: MembershipCluster): Promise<number> {
  cluster.nodes[0].membership.reportLeaving('engine-9');
  const detectedMs = await cluster.waitForAll(
    node => node.membership.isServerLeaving('engine-9'),
    DETECTION_LIMIT_MS,
  );
  return detectedMs ?? NaN;
}

async function runLoss(
  cluster: MembershipCluster,
  count: number,
): Promise<{detectedMs: number; peakBytesPerS: number}> {
  const running = cluster.nodes.filter(node => !node.control.isKilled());
  const lost = running.slice(-count);
  const kept = running.slice(0, -count);
  lost.forEach(node => node.control.kill());
  const startMs = cluster.clock.getMonotonicMs();
  let peakBytesPerS = 0;
  while (cluster.clock.getMonotonicMs() - startMs < DETECTION_LIMIT_MS) {
    const before = kept.map(node => node.bytes);
    const detectedMs = await cluster.waitForAll(
      node => lost.every(item => isDead(node, item)),
      1_000,
    );
    const seconds = (detectedMs ?? 1_000) / 1_000;
    if (seconds >= 0.9) {
      const rates = kept.map((node, index) => node.bytes - before[index]);
      peakBytesPerS = Math.max(peakBytesPerS, ...rates);
    }
    if (detectedMs !== undefined) break;
  }
  return {
    detectedMs: cluster.clock.getMonotonicMs() - startMs,
    peakBytesPerS,
  };
}

function isDead(node: MembershipNode, other: MembershipNode): boolean {
  return node.membership.tryGetMember(other.name)?.status === 'dead';
}

/** Prints bytes and processor time of one signed tRPC exchange with both ends in this process. */
async function printSocket(): Promise<void> {
  const clock = createSystemClock();
  const client = createPeerClient({clock, secret: 's', timeoutMs: 5_000});
  const events = createEventRing({clock, node: 'a'});
  const [server, sender] = ['a', 'b'].map(node =>
    createMembership({
      node,
      address: '',
      process: `${node}.1`,
      incarnation: 1,
      host: {
        clock,
        getRandom: Math.random,
        sendExchange: client.sendExchange,
        sendIndirectProbe: client.sendIndirectProbe,
        getLocalLoad: () => ({
          offsets: {config: 39_000, 'claims-0': 812_345},
          inFlight: {},
          openRequests: 12,
          processCores: 0.25,
        }),
      },
    }),
  );
  const listener = await openListener({
    app: createPeerApp({
      clock,
      secret: 's',
      services: {
        handleExchange: server.handleExchange,
        handleIndirectProbe: server.handleIndirectProbe,
        tryExportSnapshot: () => undefined,
        listEvents: events.list,
        getAccountWindow: () => ({
          requests: 0,
          inDeadline: 0,
          failed: 0,
          openAtOrigin: 0,
        }),
      },
    }),
  });
  const relay = await openByteRelay(Number(new URL(listener.address).port));
  const exchange = sender.handleExchange(
    server.handleExchange({
      digest: {
        node: 'c',
        address: '',
        incarnation: 1,
        process: 'c.1',
        sequence: 1,
        state: 'live',
        offsets: {},
        inFlight: {},
        openRequests: 0,
        processCores: 0,
      },
      rumours: [],
    }),
  );
  for (let index = 0; index < 200; index++) {
    await client.sendExchange(relay.address, exchange);
  }
  const bytesBefore = relay.getBytes();
  const usage = process.cpuUsage();
  for (let index = 0; index < SOCKET_EXCHANGES; index++) {
    await client.sendExchange(relay.address, exchange);
  }
  const used = process.cpuUsage(usage);
  const bytes = (relay.getBytes() - bytesBefore) / SOCKET_EXCHANGES;
  const processorUs = (used.user + used.system) / SOCKET_EXCHANGES;
  const bodies =
    JSON.stringify(exchange).length +
    JSON.stringify(server.handleExchange(exchange)).length;
  console.log(
    `\nOne exchange over a socket: ${bytes.toFixed(0)} bytes both ways, ${bodies} of them bodies; ${processorUs.toFixed(0)} us of processor time for both ends and the counting relay.`,
  );
  await client.close();
  relay.close();
  await listener.destroy();
}

function computeTotals(cluster: MembershipCluster): {
  bytes: number;
  messages: number;
} {
  let bytes = 0;
  let messages = 0;
  for (const node of cluster.nodes) {
    bytes += node.bytes;
    messages += node.messages;
  }
  return {bytes, messages};
}

function formatRange(values: readonly number[], unit: number): string {
  if (values.length === 0) return '-';
  const digits = unit === 1 ? 0 : 1;
  const [least, most] = [Math.min(...values), Math.max(...values)];
  const text = (value: number): string => (value / unit).toFixed(digits);
  return least === most ? text(least) : `${text(least)} to ${text(most)}`;
}

function getHeapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

await printSteadyState();
await printDetection();
await printSocket();
process.exit(0);
