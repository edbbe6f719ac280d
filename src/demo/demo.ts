/** The demo: three nodes before stand-ins, a template, and requests through real sockets. */
import OpenAI from 'openai';
import {createLogger} from '../diagnostics';
import {getKeyHash} from '../entry';
import {type AnvilstackNode, startNode} from '../node';
import type {Clock} from '../runtime';
import {createSettings, type Settings} from '../settings';
import {type StandinFleet, startStandinFleet} from './standin_fleet';

/** Options of the demo. */
export interface DemoOptions {
  readonly clock: Clock;
  readonly print: (line: string) => void;
}

/** A running demo. */
export interface Demo {
  readonly fleet: StandinFleet;
  readonly nodes: readonly AnvilstackNode[];
  readonly apiKey: string;
  readonly operatorToken: string;
  close(): Promise<void>;
}

const API_KEY = 'demo-api-key';
const OPERATOR_TOKEN = 'demo-operator-token';
const FAILURE_DOMAINS = ['sk-west-1', 'sk-west-2', 'sk-west-3'];
const NODE_COUNT = 3;
const READY_POLL_MS = 20;

/** Starts the stand-ins and three nodes; resolves when all are ready. */
export async function startDemo(options: DemoOptions): Promise<Demo> {
  const {clock} = options;
  const fleet = await startStandinFleet({
    clock,
    region: 'sk-west',
    models: ['small'],
    engines: [1, 2, 3, 4].map(number => ({
      id: `engine-${number}`,
      failureDomain: FAILURE_DOMAINS[number % FAILURE_DOMAINS.length],
    })),
    service: 'order-desk',
  });
  const nodes: AnvilstackNode[] = [];
  for (let index = 0; index < NODE_COUNT; index++) {
    const settings = createNodeSettings(fleet, index);
    const logger = createLogger({node: settings.node.id, level: 'error'});
    nodes.push(await startNode({settings, clock, logger}));
  }
  while (!nodes.every(node => node.isReady())) await clock.sleep(READY_POLL_MS);
  return {
    fleet,
    nodes,
    apiKey: API_KEY,
    operatorToken: OPERATOR_TOKEN,
    close: async () => {
      await Promise.all(nodes.map(node => node.kill()));
      await fleet.close();
    },
  };
}

function createNodeSettings(fleet: StandinFleet, index: number): Settings {
  return createSettings({
    deployment: 'demo',
    node: {
      id: `node-${index + 1}`,
      region: 'sk-west',
      failure_domain: FAILURE_DOMAINS[index],
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
      log_retention_s: 86_400,
    },
    operator: [{name: 'demo', token_sha256: getKeyHash(OPERATOR_TOKEN)}],
    routing: {report_interval_ms: 100},
    logging: {level: 'error', format: 'text'},
  });
}

/** Publishes a template, sends requests of each kind and prints what came of them. */
export async function runDemo(options: DemoOptions): Promise<boolean> {
  const {print, clock} = options;
  const demo = await startDemo(options);
  try {
    print('3 nodes, 4 model engines, 1 plain service and the platform are up.');
    await publishTemplate(demo);
    await waitForTemplate(demo, clock);
    print('Template of client account "studio" is in force on every node.');
    return await sendRequests(demo, print);
  } finally {
    await demo.close();
  }
}

async function publishTemplate(demo: Demo): Promise<void> {
  const answer = await fetch(
    `${demo.nodes[0].operatorAddress}/operators/templates`,
    {
      method: 'POST',
      headers: {authorization: `Bearer ${demo.operatorToken}`},
      body: JSON.stringify({
        template: {
          client_account: 'studio',
          api_key_sha256: [getKeyHash(demo.apiKey)],
          operators: ['demo'],
          models: ['small'],
          services: ['order-desk'],
          request_class: [
            {
              name: 'booking',
              kind: 'service',
              service: 'order-desk',
              idempotent: false,
              deadline_ms: 5_000,
            },
          ],
        },
      }),
    },
  );
  if (!answer.ok) throw new Error(await answer.text());
}

async function waitForTemplate(demo: Demo, clock: Clock): Promise<void> {
  const headers = {authorization: `Bearer ${demo.operatorToken}`};
  for (const node of demo.nodes) {
    const url = `${node.operatorAddress}/operators/templates/studio`;
    while (!(await fetch(url, {headers})).ok) await clock.sleep(READY_POLL_MS);
  }
}

async function sendRequests(
  demo: Demo,
  print: (line: string) => void,
): Promise<boolean> {
  const headers = {authorization: `Bearer ${demo.apiKey}`};
  const text = await runCompletion(demo);
  print(`streamed chat completion: ${text}`);
  const bookings = await Promise.all(
    demo.nodes.map(node =>
      fetch(`${node.callerAddress}/services/order-desk/bookings`, {
        method: 'POST',
        headers: {
          ...headers,
          'content-type': 'application/json',
          'idempotency-key': 'booking-17',
        },
        body: JSON.stringify({reference: 'tape-17'}),
      }),
    ),
  );
  for (const booking of bookings) {
    const verdict = booking.headers.get('anvilstack-verdict');
    print(`booking: ${booking.status} ${verdict} ${await booking.text()}`);
  }
  const runs = demo.fleet.service.getRuns('tape-17');
  print(`The booking was sent to 3 nodes at once and ran ${runs} time(s).`);
  return text !== '' && runs === 1;
}

async function runCompletion(demo: Demo): Promise<string> {
  const client = new OpenAI({
    baseURL: `${demo.nodes[0].callerAddress}/v1`,
    apiKey: demo.apiKey,
    maxRetries: 0,
  });
  const stream = await client.chat.completions.create({
    model: 'small',
    max_tokens: 8,
    stream: true,
    messages: [{role: 'user', content: 'Summarise tape 12.'}],
  });
  let text = '';
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? '';
  }
  return text;
}
