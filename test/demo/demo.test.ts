/** Runs the demo as `anvilstack demo` does. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runDemo} from '../../src/demo';
import {createSystemClock} from '../../src/runtime';

test('the demo succeeds: idempotent requests are answered in full, and no booking runs twice or is answered without running', async () => {
  const printedLines: string[] = [];
  const hasSucceeded = await runDemo({
    clock: createSystemClock(),
    print: line => void printedLines.push(line),
  });
  assert.equal(hasSucceeded, true, printedLines.join('\n'));
});
