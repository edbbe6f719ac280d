/**
 * The demo: three nodes and stand-ins, the templates of both example deployments, and a short
 * trace.
 */
import OpenAI from 'openai';
import {formatTable} from '../diagnostics';
import type {Clock} from '../runtime';
import {type CallerResult, sendRequest} from './caller';
import {type Cluster, startCluster} from './cluster';
import {type ExampleTemplate, listExampleTemplates} from './example_templates';
import {createShortTrace, type DemoRequest} from './short_trace';

/** Options of the demo. */
export interface DemoOptions {
  readonly clock: Clock;
  readonly print: (line: string) => void;
  /**
   * When given, the demo prints its addresses after the trace and runs until the promise resolves.
   */
  readonly waitForEnd?: () => Promise<unknown>;
}

const FAILURE_DOMAINS = ['sk-west-1', 'sk-west-2', 'sk-west-3'];
const MODELS = ['summary', 'reconcile', 'label-check', 'quote', 'price'];
const SERVICES = ['order-desk', 'order-status', 'yard-orders', 'price-list'];
const OPERATOR = 'demo';
const TRACE = {seed: 17, requestCount: 90, durationMs: 3_000};
/** Index of the node that is killed. */
const KILLED_NODE_INDEX = 1;
/** Time at which the node is killed, in milliseconds from the start of the trace. */
const KILL_AT_MS = 1_500;

/**
 * Publishes the templates, replays the trace and prints the outcome; returns whether it was as
 * expected.
 */
export async function runDemo(options: DemoOptions): Promise<boolean> {
  const {print, clock} = options;
  const cluster = await startCluster({
    clock,
    deployment: 'demo',
    region: 'sk-west',
    failureDomains: FAILURE_DOMAINS,
    nodeCount: 3,
    models: MODELS,
    engines: [1, 2, 3, 4].map(number => ({
      id: `engine-${number}`,
      failureDomain: FAILURE_DOMAINS[number % FAILURE_DOMAINS.length],
      building: 'old',
    })),
    service: SERVICES[0],
    additionalServices: SERVICES.slice(1),
  });
  try {
    print(
      'Started 3 nodes, 4 model engines, 4 plain services and the platform.',
    );
    const examples = listExampleTemplates(OPERATOR);
    for (const {template} of examples) await cluster.publishTemplate(template);
    const names = examples.map(item => item.template.client_account);
    print(`Templates in force on every node: ${names.join(', ')}.`);
    const text = await readCompletion(cluster, examples[0].apiKey);
    print(`The OpenAI client library received this stream: ${text}`);
    const results = await replayTrace(cluster, examples, clock, print);
    const hasSucceeded = printOutcome(results, cluster, print);
    if (options.waitForEnd !== undefined) {
      printAddresses(cluster, examples[0], print);
      await options.waitForEnd();
    }
    return hasSucceeded && text !== '';
  } finally {
    await cluster.close();
  }
}

/** Sends each request of the trace at its time, and kills a node at `KILL_AT_MS`. */
async function replayTrace(
  cluster: Cluster,
  examples: readonly ExampleTemplate[],
  clock: Clock,
  print: (line: string) => void,
): Promise<CallerResult[]> {
  const addresses = cluster.nodes.map(node => node.callerAddress);
  const apiKeys = new Map(
    examples.map(item => [item.template.client_account, item.apiKey]),
  );
  const trace = createShortTrace(TRACE);
  const killDone = clock.sleep(KILL_AT_MS).then(() => {
    print(
      `Killing node ${cluster.nodes[KILLED_NODE_INDEX].id} during the trace.`,
    );
    return cluster.nodes[KILLED_NODE_INDEX].kill();
  });
  const sent = trace.map(async (request, index) => {
    await clock.sleep(request.atMs);
    const firstNode = index % addresses.length;
    return sendRequest({
      clock,
      request,
      apiKey: apiKeys.get(request.clientAccount) ?? '',
      addresses: [
        ...addresses.slice(firstNode),
        ...addresses.slice(0, firstNode),
      ],
    });
  });
  const results = await Promise.all(sent);
  await killDone;
  return results;
}

/**
 * Prints the outcome; returns true when every idempotent request was answered in full and no
 * booking ran twice or was answered without running.
 */
function printOutcome(
  results: readonly CallerResult[],
  cluster: Cluster,
  print: (line: string) => void,
): boolean {
  const kinds = ['model', 'lookup', 'booking'] as const;
  const rows = kinds.map(kind => createRow(kind, results));
  const headings = [
    'request',
    'sent',
    'answered',
    'in deadline',
    'resumed',
    'sent again',
    'complete',
  ];
  print('');
  print(formatTable(headings, rows).trimEnd());
  const bookings = results.filter(result => result.request.kind === 'booking');
  const runCounts = bookings.map(result =>
    cluster.fleet.service.getRunCount(result.request.reference),
  );
  const unknownOutcomes = bookings.filter(
    result => result.verdict === 'may-have-run',
  );
  const ranTwiceCount = runCounts.filter(count => count > 1).length;
  const lostCount = bookings.filter(
    (result, index) => result.isAnswered && runCounts[index] === 0,
  ).length;
  print('');
  print(
    `Bookings that ran more than once: ${ranTwiceCount}; answered but not run: ${lostCount}; with unknown outcome: ${unknownOutcomes.length}.`,
  );
  const idempotent = results.filter(result => !bookings.includes(result));
  const areAllComplete = idempotent.every(
    result => result.isAnswered && isCompleteAnswer(result),
  );
  return areAllComplete && ranTwiceCount === 0 && lostCount === 0;
}

function createRow(
  kind: DemoRequest['kind'],
  results: readonly CallerResult[],
): string[] {
  const matching = results.filter(result => result.request.kind === kind);
  const count = (isCounted: (result: CallerResult) => boolean): string =>
    String(matching.filter(isCounted).length);
  return [
    kind,
    String(matching.length),
    count(result => result.isAnswered),
    count(result => result.isInDeadline),
    count(result => result.isResumed),
    count(result => result.attempts > 1),
    count(result => result.isAnswered && isCompleteAnswer(result)),
  ];
}

/**
 * Returns whether an answer is complete. A stand-in engine repeats the word in the prompt, numbered,
 * once per output token; a plain service returns the reference.
 */
function isCompleteAnswer({request, text}: CallerResult): boolean {
  if (request.kind !== 'model') return text.includes(request.reference);
  const words = Array.from(
    {length: request.outputTokens},
    (_, index) => `${request.reference}-${index}`,
  );
  return text === words.join(' ');
}

function printAddresses(
  cluster: Cluster,
  {template, apiKey}: ExampleTemplate,
  print: (line: string) => void,
): void {
  const operators = cluster.nodes.map(node => node.operatorAddress).join(',');
  print('');
  print('The demo runs until Ctrl-C. Send a request:');
  print(
    `curl -N ${cluster.nodes[0].callerAddress}/v1/chat/completions -H 'authorization: Bearer ${apiKey}' -H 'content-type: application/json' -d '{"model":"summary","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"Summarise tape 12."}]}'`,
  );
  print('Call a node as an operator:');
  print(
    `ANVILSTACK_NODE=${operators} ANVILSTACK_TOKEN=${cluster.operatorToken} build/anvilstack fleet`,
  );
  print('Ask a node where it would send a request, and why:');
  print(
    `ANVILSTACK_TOKEN=${cluster.operatorToken} build/anvilstack explain --node ${cluster.nodes[0].operatorAddress} --host demo --path '/v1/chat/completions?model=${MODELS[0]}' --account ${template.client_account} --tokens 5,8`,
  );
}

async function readCompletion(
  cluster: Cluster,
  apiKey: string,
): Promise<string> {
  const client = new OpenAI({
    baseURL: `${cluster.nodes[0].callerAddress}/v1`,
    apiKey,
    maxRetries: 0,
  });
  const stream = await client.chat.completions.create({
    model: MODELS[0],
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
