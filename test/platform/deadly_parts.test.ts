/** Parts of prompts that crash each engine that begins to write an answer on them. */
import assert from 'node:assert/strict';
import {before, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {listAllLines} from '../soak/gateway_processes';
import {
  buildFleetProgram,
  type LimitedFleet,
  startLimitedFleet,
} from './limited_fleet';
import {
  computeServedFraction,
  listCrashTimes,
  listDeadlyPartViolations,
  listSoundSharing,
  sendTaintedTraffic,
  STABILITY_WINDOW_MS,
  type TaintedRequest,
} from './tainted_fleet';

before(buildFleetProgram);

/** Time that a crashed engine is away, in milliseconds. */
const DOWN_MS = 2_000;
/** Fraction of the other sound requests' service that sound requests with the same first part must get. */
const MIN_SHARING_FRACTION = 0.5;
/** Fraction of the sound requests that are served while no more than a few engines are down. */
const MIN_SERVED_FRACTION = 0.9;
/** Time from the quarantine of a part to its first trial, in milliseconds. */
const FIRST_TRIAL_MS = 10_000;
const STREAM = {events: 6, eventIntervalMs: 20};

function setDeadlyParts(
  fleet: LimitedFleet,
  partIds: readonly string[],
  downMs = DOWN_MS,
): void {
  for (const server of fleet.servers.values()) {
    if (server.getStage() !== undefined) server.setDeadlyParts(partIds, downMs);
  }
}

const SMALL_FLEET = {nodes: 6, prefill: 3, decode: 8, stream: STREAM};

/** Counts the lines with which nodes quarantine a part; nodes that only learn of it write another one. */
function countQuarantines(fleet: LimitedFleet, partId = ''): number {
  return listAllLines(fleet.processes).filter(
    line =>
      line.includes('prompt part quarantined') &&
      line.includes(`"partId":"${partId}`),
  ).length;
}

/** Returns what the nodes logged about crashes, for the report of a failure. */
function formatCrashLines(fleet: LimitedFleet): string {
  return listAllLines(fleet.processes)
    .filter(line => /young streams|prompt part quarantined/.test(line))
    .join('\n');
}

/** Checks that sound requests which share the first part with deadly ones are served as others are, towards the end. */
function assertSharingServed(requests: readonly TaintedRequest[]): void {
  const sound = requests.filter(request => request.deadlyPart === undefined);
  const endsAtMs = Math.max(...requests.map(request => request.sentAtMs));
  const late = sound.filter(({sentAtMs}) => sentAtMs > endsAtMs - 5_000);
  const served = computeServedFraction(late);
  const sharing = computeServedFraction(listSoundSharing(late));
  assert.ok(served > MIN_SERVED_FRACTION, `${served} served`);
  assert.ok(sharing >= MIN_SHARING_FRACTION * served, `${sharing} served`);
}

test('requests with a part that crashes engines reach no more of them once five have crashed, and requests that share their first part are served', async () => {
  const fleet = await startLimitedFleet(SMALL_FLEET);
  const deadlyParts = ['d0'];
  setDeadlyParts(fleet, deadlyParts);
  await sleep(500);
  const requests = await sendTaintedTraffic(fleet, {
    durationMs: 16_000,
    soundRatePerS: 50,
    deadlyRatePerS: 1.5,
    deadlyParts,
  });
  const violations = listDeadlyPartViolations(
    fleet.servers.values(),
    deadlyParts,
  );
  const report = formatCrashLines(fleet);
  await fleet.close();
  assert.deepEqual(violations, [], report);
  assertSharingServed(requests);
});

test('several parts that crash engines at once are found while nodes start, freeze, die and are cut off', async () => {
  const fleet = await startLimitedFleet({...SMALL_FLEET, nodes: 12});
  const deadlyParts = ['d0', 'd1'];
  setDeadlyParts(fleet, deadlyParts);
  await sleep(500);
  const {nodes} = fleet.processes;
  const traffic = sendTaintedTraffic(fleet, {
    durationMs: 20_000,
    soundRatePerS: 70,
    deadlyRatePerS: 1,
    deadlyParts,
    path: '/resume/x',
  });
  await sleep(1_500);
  nodes[1].signal('SIGSTOP');
  nodes[2].signal('SIGKILL');
  await nodes[2].waitForExit();
  fleet.setCutOff(nodes[3], true);
  await sleep(2_500);
  nodes[1].signal('SIGCONT');
  nodes[2].start();
  nodes[4].signal('SIGKILL');
  await nodes[4].waitForExit();
  await sleep(1_000);
  nodes[4].start();
  await sleep(4_000);
  fleet.setCutOff(nodes[3], false);
  const requests = await traffic;
  const violations = listDeadlyPartViolations(
    fleet.servers.values(),
    deadlyParts,
  );
  const wrongly = countQuarantines(fleet, 'f');
  const report = formatCrashLines(fleet);
  await fleet.close();
  assert.deepEqual(violations, [], report);
  assert.equal(wrongly, 0);
  assertSharingServed(requests);
});

test('a part is still kept away after all nodes were killed at once', async () => {
  const fleet = await startLimitedFleet(SMALL_FLEET);
  const {nodes} = fleet.processes;
  setDeadlyParts(fleet, ['d0']);
  await sleep(500);
  const traffic = {soundRatePerS: 50, deadlyRatePerS: 2, deadlyParts: ['d0']};
  await sendTaintedTraffic(fleet, {...traffic, durationMs: 8_000});
  assert.ok(countQuarantines(fleet, 'd0') > 0);
  for (const node of nodes) node.signal('SIGKILL');
  await Promise.all(nodes.map(node => node.waitForExit()));
  const crashCount = listCrashTimes(fleet.servers.values(), 'd0').length;
  for (const node of nodes) node.start();
  await sleep(STABILITY_WINDOW_MS);
  const requests = await sendTaintedTraffic(fleet, {
    ...traffic,
    durationMs: 6_000,
  });
  const later = listCrashTimes(fleet.servers.values(), 'd0').length;
  await fleet.close();
  // One trial may fall into this time.
  assert.ok(later <= crashCount + 1, `${later - crashCount} more crashes`);
  assertSharingServed(requests);
});

test('a part that no longer crashes engines is served again, and one that is asked for meanwhile is tried by one request at a time', async () => {
  const fleet = await startLimitedFleet(SMALL_FLEET);
  setDeadlyParts(fleet, ['d0']);
  await sleep(500);
  const traffic = {soundRatePerS: 50, deadlyRatePerS: 2, deadlyParts: ['d0']};
  await sendTaintedTraffic(fleet, {...traffic, durationMs: 8_000});
  assert.ok(countQuarantines(fleet, 'd0') > 0);
  setDeadlyParts(fleet, []);
  const requests = await sendTaintedTraffic(fleet, {
    ...traffic,
    durationMs: FIRST_TRIAL_MS + 4_000,
  });
  await fleet.close();
  const endsAtMs = Math.max(...requests.map(request => request.sentAtMs));
  const late = requests.filter(
    ({deadlyPart, sentAtMs}) =>
      deadlyPart !== undefined && sentAtMs > endsAtMs - 2_000,
  );
  const served = computeServedFraction(late);
  assert.ok(served > MIN_SERVED_FRACTION, `${served} served`);
});
