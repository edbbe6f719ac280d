/** Runs the demo as `anvilstack demo --keep` does. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runDemo} from '../../src/demo';
import type {Explanation} from '../../src/explain';
import {createSystemClock} from '../../src/runtime';
import {type CliRun, runCommand} from '../support/cli_run';

/** Parses the command that the demo prints. */
function parseExplainCommand(lines: readonly string[]) {
  const line = lines.find(text => text.includes('anvilstack explain'));
  const found = /^ANVILSTACK_TOKEN=(\S+) build\/anvilstack (.+)$/.exec(
    line ?? '',
  );
  assert.ok(found, line);
  const args = found[2].split(' ').map(text => text.replaceAll("'", ''));
  const nodeAt = args.indexOf('--node');
  return {token: found[1], args, node: args[nodeAt + 1]};
}

// Guards against a command that the demo prints and that its nodes do not answer, and against an
// explanation that has an effect.
async function checkExplanations(lines: readonly string[]): Promise<void> {
  const {token, args, node} = parseExplainCommand(lines);
  const env = {ANVILSTACK_TOKEN: token};
  const loadEvents = async () => {
    const response = await fetch(`${node}/operators/events`, {
      headers: {authorization: `Bearer ${token}`},
    });
    const {events} = (await response.json()) as {
      events: ReadonlyArray<{kind: string}>;
    };
    return events.filter(({kind}) => /^(request|call|attempt)-/.test(kind));
  };
  const before = await loadEvents();
  const table = await runCommand(args, env);
  assert.equal(table.code, 0, table.stderr);
  assert.match(table.stdout, /^as seen by node-1, state \d+ ms old, conf/);
  assert.match(table.stdout, /^account studio, rank \d, time limit \d+ ms$/m);
  assert.match(table.stdout, /^sent to engine-\d$/m);
  assert.match(table.stdout, /^SERVER +STAGE +DOMAIN +WAIT /m);
  assert.match(table.stdout, /^engine-\d .* chosen$/m);

  const load = async (changes: readonly string[]): Promise<Explanation> => {
    const run = await runCommand([...args, ...changes, '--json'], env);
    assert.equal(run.code, 0, run.stderr);
    assert.doesNotMatch(run.stdout, /studio-key/);
    return JSON.parse(run.stdout) as Explanation;
  };
  const [target] = (await load([])).targets;
  assert.equal(target.candidates.length, 4);
  assert.equal(target.candidates.filter(item => item.isChosen).length, 1);
  const booking = await load(['--path', '/services/order-desk/bookings']);
  assert.equal(booking.route?.kind, 'non-idempotent');
  assert.deepEqual(booking.targets[0].outcomes, [
    {kind: 'send', serverId: 'order-desk-1'},
  ]);
  const forbidden = await load(['--path', '/services/price-list/x']);
  const [outcome] = forbidden.targets[0].outcomes;
  assert.equal(outcome.kind === 'refuse' && outcome.status, 403);
  const late = await load(['--deadline-ms', '1']);
  const [lateOutcome] = late.targets[0].outcomes;
  assert.equal(lateOutcome.kind === 'refuse' && lateOutcome.status, 503);
  for (const [changes, status] of [
    [['--account', 'studio-key'], 401],
    [['--path', '/none'], 404],
  ] as const) {
    const {refusal} = await load(changes).catch(() =>
      assert.fail(`${changes.join(' ')}: no explanation without the key`),
    );
    assert.equal(refusal?.kind === 'refuse' && refusal.status, status);
  }

  const refuse = async (
    changes: readonly string[],
    expected: RegExp,
    given: Record<string, string> = env,
  ): Promise<CliRun> => {
    const run = await runCommand([...args, ...changes], given);
    assert.equal(run.code, 1, run.stdout);
    assert.match(run.stderr, expected);
    return run;
  };
  await refuse([], /refused the operator's token/, {});
  await refuse(['--path', '/v1/completions'], /path: must name the model/);
  assert.deepEqual(await loadEvents(), before);
}

test('the demo succeeds: idempotent requests are answered in full, no booking runs twice or is answered without running, and its nodes explain their decisions', async () => {
  const printedLines: string[] = [];
  const hasSucceeded = await runDemo({
    clock: createSystemClock(),
    print: line => void printedLines.push(line),
    waitForEnd: () => checkExplanations(printedLines),
  });
  assert.equal(hasSucceeded, true, printedLines.join('\n'));
});
