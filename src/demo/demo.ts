/** The demo: three nodes before stand-ins, a template, and requests through real sockets. */
import OpenAI from 'openai';
import {getKeyHash} from '../entry';
import type {Clock} from '../runtime';
import {type Cluster, startCluster} from './cluster';

/** Options of the demo. */
export interface DemoOptions {
  readonly clock: Clock;
  readonly print: (line: string) => void;
  /** When given, the demo stays up until it resolves, and prints how to reach it. */
  readonly waitForEnd?: () => Promise<unknown>;
}

const API_KEY = 'demo-api-key';
const FAILURE_DOMAINS = ['sk-west-1', 'sk-west-2', 'sk-west-3'];

/** Publishes a template, sends requests of each kind and prints what came of them. */
export async function runDemo(options: DemoOptions): Promise<boolean> {
  const {print, clock} = options;
  const cluster = await startCluster({
    clock,
    deployment: 'demo',
    region: 'sk-west',
    failureDomains: FAILURE_DOMAINS,
    nodeCount: 3,
    models: ['small'],
    engines: [1, 2, 3, 4].map(number => ({
      id: `engine-${number}`,
      failureDomain: FAILURE_DOMAINS[number % FAILURE_DOMAINS.length],
    })),
    service: 'order-desk',
  });
  try {
    print('3 nodes, 4 model engines, 1 plain service and the platform are up.');
    await cluster.publishTemplate({
      client_account: 'studio',
      api_key_sha256: [getKeyHash(API_KEY)],
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
    });
    print('Template of client account "studio" is in force on every node.');
    const isDone = await sendRequests(cluster, print);
    if (options.waitForEnd !== undefined) {
      printAddresses(cluster, print);
      await options.waitForEnd();
    }
    return isDone;
  } finally {
    await cluster.close();
  }
}

function printAddresses(cluster: Cluster, print: (line: string) => void): void {
  const operators = cluster.nodes.map(node => node.operatorAddress).join(',');
  print('');
  print('The demo stays up until Ctrl-C. Send a request:');
  print(
    `curl -N ${cluster.nodes[0].callerAddress}/v1/chat/completions -H 'authorization: Bearer ${API_KEY}' -H 'content-type: application/json' -d '{"model":"small","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"Summarise tape 12."}]}'`,
  );
  print('Ask as an operator:');
  print(
    `ANVILSTACK_NODE=${operators} ANVILSTACK_TOKEN=${cluster.operatorToken} build/anvilstack fleet`,
  );
}

async function sendRequests(
  cluster: Cluster,
  print: (line: string) => void,
): Promise<boolean> {
  const headers = {authorization: `Bearer ${API_KEY}`};
  const text = await readCompletion(cluster);
  print(`streamed chat completion: ${text}`);
  const bookings = await Promise.all(
    cluster.nodes.map(node =>
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
  const runs = cluster.fleet.service.getRuns('tape-17');
  print(`The booking was sent to 3 nodes at once and ran ${runs} time(s).`);
  return text !== '' && runs === 1;
}

async function readCompletion(cluster: Cluster): Promise<string> {
  const client = new OpenAI({
    baseURL: `${cluster.nodes[0].callerAddress}/v1`,
    apiKey: API_KEY,
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
