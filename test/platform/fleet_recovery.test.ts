/** All nodes of a fleet lose power at once while callers go on sending. */
import assert from 'node:assert/strict';
import {before, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {listAllLines} from '../soak/gateway_processes';
import {
  buildFleetProgram,
  type LimitedFleet,
  type SentRequest,
  startLimitedFleet,
} from './limited_fleet';

before(buildFleetProgram);

const WARM_UP_MS = 2_000;
const DOWN_MS = 500;
/** Callers of the traffic give up after 4 s: one that sends when the power returns must still be served. */
const SERVED_AGAIN_MS = 4_000;
/** Time for which service is checked after that, in milliseconds. */
const CHECKED_MS = 3_000;
const MIN_SERVED_FRACTION = 0.95;
const SECOND_MS = 1_000;

function isServed({answer}: SentRequest): boolean {
  return answer?.status === 200 && answer.isComplete;
}

/** Returns the fraction of the requests sent in each second from a time on, up to `durationMs`, that were served. */
function computeServedBySecond(
  fleet: LimitedFleet,
  fromMs: number,
  durationMs: number,
): number[] {
  const requests = [...fleet.requests.values()];
  return Array.from({length: durationMs / SECOND_MS}, (_, second) => {
    const sent = requests.filter(
      ({sentAtMs}) => Math.floor((sentAtMs - fromMs) / SECOND_MS) === second,
    );
    return sent.filter(isServed).length / Math.max(1, sent.length);
  });
}

/** Lists the requests that ran more often than they may, or although their refusal said that they had not. */
function listFalseRuns(fleet: LimitedFleet): string[] {
  const runs = [...fleet.servers.values()].flatMap(server => server.runs);
  return [...fleet.requests].flatMap(([id, {path, answer}]) => {
    const count = runs.filter(run => run.id === id).length;
    const isRepeated = path.startsWith('/order') && count > 1;
    const isDenied = answer?.status === 503 && count > 0;
    return isRepeated || isDenied ? [`${id} ${path} ran ${count} times`] : [];
  });
}

test('after all nodes were killed under load, callers are served again before they give up', async context => {
  const fleet = await startLimitedFleet({
    nodes: 4,
    apps: 2,
    prefill: 2,
    decode: 3,
  });
  const {nodes} = fleet.processes;
  const traffic = fleet.sendTraffic({
    paths: ['/look/x', '/ask/x', '/order/x', '/resume/x'],
    ratePerS: 40,
    durationMs: WARM_UP_MS + DOWN_MS + SERVED_AGAIN_MS + CHECKED_MS + 500,
  });
  await sleep(WARM_UP_MS);
  for (const node of nodes) node.signal('SIGKILL');
  await Promise.all(nodes.map(node => node.waitForExit()));
  const killedCount = fleet.requests.size;
  await sleep(DOWN_MS);
  for (const node of nodes) node.start();
  const startedAtMs = performance.now();
  await traffic;
  const served = computeServedBySecond(
    fleet,
    startedAtMs,
    SERVED_AGAIN_MS + CHECKED_MS,
  );
  context.diagnostic(
    `served in each second: ${served.map(item => item.toFixed(2)).join(' ')}`,
  );
  const lines = listAllLines(fleet.processes);
  const falseRuns = listFalseRuns(fleet);
  await fleet.close();
  assert.ok(killedCount > 0);
  assert.ok(
    served
      .slice(SERVED_AGAIN_MS / SECOND_MS)
      .every(fraction => fraction >= MIN_SERVED_FRACTION),
    served.join(' '),
  );
  assert.deepEqual(falseRuns, []);
  // The engines live, so only one that gave no report in time may have been left as stalled.
  const countLines = (...texts: string[]) =>
    lines.filter(
      line =>
        !line.includes('"serverId":"app-') &&
        texts.every(text => line.includes(text)),
    ).length;
  assert.ok(
    countLines('backend server ejected', '"reason":"stalled"') <=
      countLines('late engine asked for its report', '"outcome":"silent"'),
  );
});
