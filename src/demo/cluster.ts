/** Runs nodes and stand-ins in this process, on free loopback ports. */
import {createLogger} from '../diagnostics';
import {getKeyDigest} from '../accounts';
import {type AnvilstackNode, startNode} from '../node';
import {VmState} from '../control_services';
import type {Clock} from '../runtime';
import {createSecret, type Settings, settingsSchema} from '../settings';
import {
  type StandinEngine,
  type StandinFleet,
  startStandinFleet,
} from './standin_fleet';

/** Options of a cluster. */
export interface ClusterOptions {
  readonly clock: Clock;
  readonly deployment: string;
  readonly region: string;
  readonly failureDomains: readonly string[];
  readonly nodeCount: number;
  readonly engines: readonly StandinEngine[];
  readonly models: readonly string[];
  /** Name of the plain service. */
  readonly service: string;
  /** Names of further plain services, which share the bookings of `service`. */
  readonly additionalServices?: readonly string[];
  /** Time that the weight store takes to copy one set of weights, in milliseconds. */
  readonly weightCopyMs?: number;
  /** Time between two reads of the load reports, in milliseconds. */
  readonly reportIntervalMs?: number;
}

/** A running cluster. */
export interface Cluster {
  readonly fleet: StandinFleet;
  readonly nodes: readonly AnvilstackNode[];
  readonly operatorToken: string;
  /** Starts one more node, without waiting until it is ready. */
  addNode(): Promise<AnvilstackNode>;
  /**
   * Publishes a template, or amends version `baseVersion`, and waits until the change is in force
   * on every node; returns its version.
   */
  publishTemplate(template: unknown, baseVersion?: number): Promise<number>;
  /** Polls `isDone` until it returns true. */
  waitUntil(isDone: () => boolean | Promise<boolean>): Promise<void>;
  /** Stops all nodes and stand-ins immediately. */
  close(): Promise<void>;
}

const PEER_SECRET = 'demo-peer-secret';
const RESUME_SECRET = 'demo-resume-secret';
const OPERATOR_TOKEN = 'demo-operator-token';
const DEFAULT_REPORT_INTERVAL_MS = 100;
const POLL_INTERVAL_MS = 10;

/** Starts the stand-ins and the nodes; resolves when all nodes are ready. */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const {clock} = options;
  const fleet = await startStandinFleet(options);
  const nodes: AnvilstackNode[] = [];
  for (let index = 0; index < options.nodeCount; index++) {
    nodes.push(await startClusterNode(options, fleet, index));
  }
  await waitUntil(() => nodes.every(node => node.isReady()));
  return {
    fleet,
    nodes,
    operatorToken: OPERATOR_TOKEN,
    addNode,
    publishTemplate,
    waitUntil,
    close,
  };

  async function addNode(): Promise<AnvilstackNode> {
    const node = await startClusterNode(options, fleet, nodes.length);
    nodes.push(node);
    return node;
  }

  async function publishTemplate(
    template: unknown,
    baseVersion?: number,
  ): Promise<number> {
    const answer = await fetch(
      `${nodes[0].operatorAddress}/operators/templates`,
      {
        method: 'POST',
        headers: {authorization: `Bearer ${OPERATOR_TOKEN}`},
        body: JSON.stringify({template, baseVersion}),
      },
    );
    if (!answer.ok) throw new Error(await answer.text());
    const {version} = (await answer.json()) as {version: number};
    for (const node of nodes) {
      await waitUntil(async () => (await getNextOffset(node)) > version);
    }
    return version;
  }

  async function getNextOffset(node: AnvilstackNode): Promise<number> {
    const answer = await fetch(`${node.operatorAddress}/operators/in_force`, {
      headers: {authorization: `Bearer ${OPERATOR_TOKEN}`},
    });
    return ((await answer.json()) as {nextOffset: number}).nextOffset;
  }

  async function waitUntil(
    isDone: () => boolean | Promise<boolean>,
  ): Promise<void> {
    while (!(await isDone())) await clock.sleep(POLL_INTERVAL_MS);
  }

  async function close(): Promise<void> {
    await Promise.all(nodes.map(node => node.kill()));
    await fleet.close();
  }
}

async function startClusterNode(
  options: ClusterOptions,
  fleet: StandinFleet,
  index: number,
): Promise<AnvilstackNode> {
  const settings = createNodeSettings(options, fleet, index);
  const node = await startNode({
    settings,
    clock: options.clock,
    logger: createLogger({node: settings.node.id, level: 'error'}),
    secrets: {
      peerSecret: createSecret(PEER_SECRET),
      resumeSecret: createSecret(RESUME_SECRET),
    },
  });
  fleet.vmList.setVm({
    id: node.id,
    purpose: 'node',
    state: VmState.Live,
    failureDomain: settings.node.failure_domain,
    region: settings.node.region,
    address: node.callerAddress,
    operatorAddress: node.operatorAddress,
    peerAddress: node.peerAddress,
  });
  return node;
}

function createNodeSettings(
  options: ClusterOptions,
  fleet: StandinFleet,
  index: number,
): Settings {
  const {failureDomains} = options;
  return settingsSchema.parse({
    deployment: options.deployment,
    node: {
      id: `node-${index + 1}`,
      region: options.region,
      failure_domain: failureDomains[index % failureDomains.length],
    },
    listen: {
      callers: '127.0.0.1:0',
      operators: '127.0.0.1:0',
      peers: '127.0.0.1:0',
    },
    platform: {
      log_address: fleet.logAddress,
      vm_list_address: fleet.vmListAddress,
      weight_store_address: fleet.weightStoreAddress,
    },
    operator: [{name: 'demo', token_sha256: getKeyDigest(OPERATOR_TOKEN)}],
    routing: {
      report_interval_ms:
        options.reportIntervalMs ?? DEFAULT_REPORT_INTERVAL_MS,
      // Above the default, so that the short report interval of the demo and the tests takes
      // effect.
      max_reports_per_s: 1_000,
    },
    logging: {level: 'error', format: 'text'},
  });
}
