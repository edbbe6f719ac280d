/** A cluster on loopback sockets for end-to-end tests, and calls to it. */
import OpenAI from 'openai';
import {type Cluster, startCluster} from '../../src/demo';
import {createSystemClock} from '../../src/runtime';
import {createTestTemplate} from './template';

/** API key of the client account in `createTestTemplate`. */
export const TEST_API_KEY = 'key-of-studio';

/**
 * Starts a cluster of nodes (three by default), engines and the service `order-desk`, with one
 * template published.
 */
export async function startTestCluster(
  options: {nodeCount?: number; engineCount?: number} = {},
): Promise<Cluster> {
  const engineCount = options.engineCount ?? 3;
  const cluster = await startCluster({
    clock: createSystemClock(),
    deployment: 'test',
    region: 'sk-west',
    failureDomains: ['sk-west-1', 'sk-west-2', 'sk-west-3'],
    nodeCount: options.nodeCount ?? 3,
    models: ['small'],
    engines: Array.from({length: engineCount}, (_, index) => ({
      id: `engine-${index + 1}`,
      failureDomain: `sk-west-${(index % 3) + 1}`,
    })),
    service: 'order-desk',
    reportIntervalMs: 20,
  });
  await cluster.publishTemplate(createTestTemplate({operators: ['demo']}));
  return cluster;
}

/** Returns a client of one node that never retries. */
export function createTestClient(address: string): OpenAI {
  return new OpenAI({
    baseURL: `${address}/v1`,
    apiKey: TEST_API_KEY,
    maxRetries: 0,
  });
}

/** Returns the text that a stand-in engine generates for a word and a number of tokens. */
export function getExpectedText(word: string, tokens: number): string {
  return Array.from({length: tokens}, (_, index) => `${word}${index}`).join(
    ' ',
  );
}

/** Streams a completion and returns its text; `onChunk` gets the text so far after each chunk. */
export async function readStreamedText(
  client: OpenAI,
  word: string,
  tokens: number,
  onChunk: (text: string) => void = () => undefined,
): Promise<string> {
  const stream = await client.chat.completions.create({
    model: 'small',
    max_tokens: tokens,
    stream: true,
    messages: [{role: 'user', content: `Check the label [word:${word}]`}],
  });
  let text = '';
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? '';
    onChunk(text);
  }
  return text;
}

/** Sends one booking under an idempotency key. */
export function sendBooking(
  address: string,
  reference: string,
  key = reference,
  headers: Record<string, string> = {},
): Promise<Response> {
  return fetch(`${address}/services/order-desk/bookings`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${TEST_API_KEY}`,
      'content-type': 'application/json',
      'idempotency-key': key,
      ...headers,
    },
    body: JSON.stringify({reference}),
  });
}
