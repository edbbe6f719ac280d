/** The demo as a newcomer runs it. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runDemo} from '../../src/demo';
import {createSystemClock} from '../../src/runtime';

test('the demo answers every kind of request', async () => {
  const lines: string[] = [];
  const isDone = await runDemo({
    clock: createSystemClock(),
    print: line => void lines.push(line),
  });
  assert.equal(isDone, true, lines.join('\n'));
});
