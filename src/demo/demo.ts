/** The demo: three nodes before stand-ins, both users' templates, and a short trace. */
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
  /** When given, the demo stays up until it resolves, and prints how to reach it. */
  readonly waitForEnd?: () => Promise<unknown>;
}

const FAILURE_DOMAINS = ['sk-west-1', 'sk-west-2', 'sk-west-3'];
const MODELS = ['summary', 'reconcile', 'label-check', 'quote', 'price'];
const SERVICES = ['order-desk', 'order-status', 'yard-orders', 'price-list'];
const OPERATOR = 'demo';
const TRACE = {seed: 17, requestCount: 90, durationMs: 3_000};
/** The node that is killed, and when, in milliseconds from the trace's start. */
const KILLED_NODE_INDEX = 1;
const KILL_AT_MS = 1_500;

/** Publishes the templates, replays the trace and prints what came of it. */
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
      '3 nodes, 4 model engines, 4 plain services and the platform are up.',
    );
    const examples = listExampleTemplates(OPERATOR);
    for (const {template} of examples) await cluster.publishTemplate(template);
    const names = examples.map(item => item.template.client_account);
    print(`Templates in force on every node: ${names.join(', ')}.`);
    const text = await readCompletion(cluster, examples[0].apiKey);
    print(`The OpenAI client library streamed: ${text}`);
    const results = await replayTrace(cluster, examples, clock, print);
    const hasSucceeded = printOutcome(results, cluster, print);
    if (options.waitForEnd !== undefined) {
      printAddresses(cluster, examples[0].apiKey, print);
      await options.waitForEnd();
    }
    return hasSucceeded && text !== '';
  } finally {
    await cluster.close();
  }
}

/** Sends the trace's requests at their times, and kills a node in the middle. */
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
      `Node ${cluster.nodes[KILLED_NODE_INDEX].id} is killed in the middle.`,
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
    'whole',
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
    `Bookings that ran twice: ${ranTwiceCount}; answered and not run: ${lostCount}; of unknown outcome: ${unknownOutcomes.length}.`,
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

/** A stand-in engine's answer repeats the word that the request named. */
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
  apiKey: string,
  print: (line: string) => void,
): void {
  const operators = cluster.nodes.map(node => node.operatorAddress).join(',');
  print('');
  print('The demo stays up until Ctrl-C. Send a request:');
  print(
    `curl -N ${cluster.nodes[0].callerAddress}/v1/chat/completions -H 'authorization: Bearer ${apiKey}' -H 'content-type: application/json' -d '{"model":"summary","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"Summarise tape 12."}]}'`,
  );
  print('Ask as an operator:');
  print(
    `ANVILSTACK_NODE=${operators} ANVILSTACK_TOKEN=${cluster.operatorToken} build/anvilstack fleet`,
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
