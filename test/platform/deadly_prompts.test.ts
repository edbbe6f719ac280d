/** Prompts that crash each engine that begins to write an answer on them, sent again by their callers. */
import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {before, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {listAllLines} from '../soak/gateway_processes';
import {
  buildFleetProgram,
  type LimitedFleet,
  startLimitedFleet,
} from './limited_fleet';
import {type CallerAnswer, sendAsCaller} from './system';
import {
  computeServedFraction,
  listCrashTimes,
  listSoundSharing,
  sendTaintedTraffic,
} from './tainted_fleet';

before(buildFleetProgram);

/** Time that a crashed engine is away, in milliseconds. */
const DOWN_MS = 2_000;
const TRAFFIC_MS = 16_000;
/** Time from a refusal or a broken answer to the next try of the caller, in milliseconds. */
const RETRY_MS = 500;
/** Two crashes, and the trial after 10 s; some nodes may not know of the second crash yet. */
const MAX_CRASHES = 4;
const MIN_SERVED_FRACTION = 0.9;

/** Sends a prompt again and again to one node after the other, with new request ids. */
async function sendDeadlyPrompt(
  fleet: LimitedFleet,
  lastPart: string,
): Promise<CallerAnswer[]> {
  const {nodes} = fleet.processes;
  const agent = new Agent({keepAlive: true});
  const answers: CallerAnswer[] = [];
  const endsAtMs = performance.now() + TRAFFIC_MS;
  for (let count = 0; performance.now() < endsAtMs; count++) {
    const answer = await sendAsCaller(nodes[count % nodes.length].callersPort, {
      path: '/ask/x',
      id: `${lastPart}-${count}`,
      agent,
      abortAfterMs: 4_000,
      tokens: '1100,9',
      parts: `f0:600,f0s1:300,${lastPart}:200`,
    }).catch(() => undefined);
    if (answer !== undefined) answers.push(answer);
    await sleep(RETRY_MS);
  }
  agent.destroy();
  return answers;
}

for (const [title, prompts] of [
  ['one', ['deadly-0']],
  ['two at once', ['deadly-0', 'deadly-1']],
] as const) {
  test(`prompts that crash engines and are sent again to other nodes crash few of them, and others are served: ${title}`, async () => {
    const fleet = await startLimitedFleet({
      nodes: 12,
      prefill: 3,
      decode: 8,
      stream: {events: 6, eventIntervalMs: 20},
    });
    for (const server of fleet.servers.values()) {
      if (server.getStage() !== undefined) {
        server.setDeadlyParts(prompts, DOWN_MS);
      }
    }
    await sleep(500);
    const [requests, ...answers] = await Promise.all([
      sendTaintedTraffic(fleet, {
        durationMs: TRAFFIC_MS,
        soundRatePerS: 60,
        deadlyRatePerS: 0,
        deadlyParts: [],
      }),
      ...prompts.map(prompt => sendDeadlyPrompt(fleet, prompt)),
    ]);
    const lines = listAllLines(fleet.processes);
    const crashCounts = prompts.map(
      prompt => listCrashTimes(fleet.servers.values(), prompt).length,
    );
    await fleet.close();
    const report = lines
      .filter(line => /young streams|quarantined/.test(line))
      .join('\n');
    for (const crashCount of crashCounts) {
      assert.ok(crashCount > 0);
      assert.ok(crashCount <= MAX_CRASHES, `${crashCount} crashes\n${report}`);
    }
    const wrongly = lines.filter(line =>
      line.includes('prompt part quarantined'),
    );
    assert.deepEqual(wrongly, []);
    const late = requests.filter(
      ({sentAtMs}) => sentAtMs > requests[0].sentAtMs + TRAFFIC_MS / 4,
    );
    const served = computeServedFraction(late);
    assert.ok(served > MIN_SERVED_FRACTION, `${served} served`);
    const sharing = computeServedFraction(listSoundSharing(late));
    assert.ok(sharing > MIN_SERVED_FRACTION, `${sharing} served`);
    for (const refused of answers.flat().filter(({status}) => status === 503)) {
      assert.notEqual(refused.headers['retry-after'], undefined);
    }
  });
}
