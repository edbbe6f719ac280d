/** The first steps of a new operator, run with the example files and separate processes of the built program. */
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import OpenAI from 'openai';
import type {ExampleFiles} from '../support/example_files';
import {startExampleFleet} from '../support/example_fleet';
import {
  killPrograms,
  type ProgramProcess,
  runProgram,
  startProgram,
} from '../support/program';

const NODE_NUMBERS = [1, 2, 3];
const API_KEY = 'studio-key';

let example: ExampleFiles;
let standins: ProgramProcess;
let nodes: readonly ProgramProcess[];
let env: Record<string, string>;

after(killPrograms);

function getCallerAddress(number: number): string {
  return example.getAddress(8100 + number);
}

function createClient(number: number): OpenAI {
  return new OpenAI({
    baseURL: `${getCallerAddress(number)}/v1`,
    apiKey: API_KEY,
    maxRetries: 0,
  });
}

test('settings check reports all five mistakes of a file', async () => {
  const run = await runProgram([
    ...['settings', 'check', 'test/settings/five_mistakes.toml'],
  ]);
  assert.equal(run.code, 2);
  assert.equal(run.output.match(/error AS\d{4}/g)?.length, 5, run.output);
});

test('stand-ins and three nodes start from the example settings', async () => {
  const fleet = await startExampleFleet('tatranska');
  ({files: example, standins, nodes} = fleet);
  env = {
    ANVILSTACK_NODE: example.getAddress(8201),
    ANVILSTACK_TOKEN: 'tatranska-operator-token',
  };
});

test('template publish --wait returns when the template is in force on all nodes', async () => {
  const file = `${example.directory}/templates/studio.toml`;
  const run = await runProgram(['template', 'publish', file, '--wait'], env);
  assert.equal(run.code, 0, run.output);
  assert.match(run.output, /in force on all 3 live node\(s\)/);
  const again = await runProgram(['template', 'publish', file], env);
  assert.equal(again.code, 1);
  assert.match(again.output, /AS2004/);
});

test('any node answers the OpenAI client, and a booking sent to all nodes runs once', async () => {
  const completion = await createClient(2).chat.completions.create({
    model: 'summary',
    max_tokens: 6,
    messages: [{role: 'user', content: 'Summarise tape 12.'}],
  });
  assert.equal(completion.usage?.completion_tokens, 6);
  const bookings = await Promise.all(
    NODE_NUMBERS.map(number =>
      fetch(`${getCallerAddress(number)}/services/order-desk/bookings`, {
        method: 'POST',
        headers: {
          authorization: `Bearer ${API_KEY}`,
          'content-type': 'application/json',
          'idempotency-key': 'run-17',
        },
        body: JSON.stringify({reference: 'run-17'}),
      }),
    ),
  );
  for (const booking of bookings) {
    const text = await booking.text();
    assert.equal(booking.headers.get('anvilstack-verdict'), 'ran', text);
    assert.deepEqual(JSON.parse(text), {reference: 'run-17', runs: 1});
  }
});

test('a node that gets SIGTERM completes its open stream and exits with 0', async () => {
  const stream = await createClient(3).chat.completions.create({
    model: 'summary',
    max_tokens: 60,
    stream: true,
    messages: [{role: 'user', content: 'Summarise tape 13.'}],
  });
  const words: string[] = [];
  for await (const chunk of stream) {
    const text = chunk.choices[0]?.delta.content ?? '';
    words.push(...text.split(' ').filter(word => word !== ''));
    if (words.length === 1) nodes[2].sendSignal('SIGTERM');
  }
  const expected = Array.from({length: 60}, (_, index) => `w${index}`);
  assert.deepEqual(words, expected);
  assert.equal(await nodes[2].waitForExit(), 0, nodes[2].getOutput());
});

test('the timeline explains a refusal and names the node that does not answer', async () => {
  const refused = await fetch(`${getCallerAddress(1)}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${API_KEY}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model: 'unknown',
      messages: [{role: 'user', content: 'PRIVATE TEXT'}],
    }),
  });
  const id = refused.headers.get('anvilstack-request-id') ?? '';
  assert.equal(refused.headers.get('anvilstack-verdict'), 'not-run');
  const run = await runProgram(['timeline', '--request', id], env);
  assert.equal(run.code, 0, run.output);
  assert.match(
    run.output,
    new RegExp(`Request ${id}.*was refused by node-1: `),
  );
  assert.match(run.output, /missing: node-3: no answer/);
  const text = nodes.map(node => node.getOutput()).join('') + run.output;
  assert.doesNotMatch(text, /PRIVATE TEXT|studio-key|trial-secret/);
});

test('the metrics count the requests that were served', async () => {
  const answer = await fetch(`${getCallerAddress(2)}/metrics`);
  const text = await answer.text();
  assert.match(
    text,
    /anvilstack_deadlines_total\{kind="model",class="tape-summary",result="met"\} 1/,
  );
  assert.match(
    text,
    /anvilstack_first_token_ms\{[^}]*quantile="0.95"\} [\d.]+/,
  );
});

test('the remaining processes exit with 0 after SIGINT', async () => {
  for (const program of [nodes[0], nodes[1], standins]) {
    program.sendSignal('SIGINT');
    assert.equal(await program.waitForExit(), 0, program.getOutput());
  }
});

test('a node whose port is in use reports AS3001 and exits with 1', async () => {
  const file = `${example.directory}/node_1.toml`;
  const first = startProgram(['serve', '--settings', file]);
  await first.waitForOutput(/node started/);
  const second = await runProgram(['serve', '--settings', file]);
  assert.equal(second.code, 1);
  assert.match(second.output, /error AS3001: task 'node' failed.*EADDRINUSE/);
  first.sendSignal('SIGTERM');
  assert.equal(await first.waitForExit(), 0);
});
