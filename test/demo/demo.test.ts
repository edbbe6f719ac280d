/** The whole path through real sockets, with the real OpenAI client library. */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import OpenAI from 'openai';
import {type Demo, runDemo, startDemo} from '../../src/demo';
import {createSystemClock} from '../../src/runtime';

let demo: Demo;

before(async () => {
  demo = await startDemo({clock: createSystemClock(), print: () => undefined});
});

after(() => demo.close());

test('the demo answers every kind of request', async () => {
  const lines: string[] = [];
  const isDone = await runDemo({
    clock: createSystemClock(),
    print: line => void lines.push(line),
  });
  assert.equal(isDone, true, lines.join('\n'));
});

test('an unknown API key is refused as not run', async () => {
  const client = new OpenAI({
    baseURL: `${demo.nodes[0].callerAddress}/v1`,
    apiKey: 'unknown',
    maxRetries: 0,
  });
  await assert.rejects(
    client.chat.completions.create({
      model: 'small',
      messages: [{role: 'user', content: 'x'}],
    }),
    {status: 401},
  );
});
