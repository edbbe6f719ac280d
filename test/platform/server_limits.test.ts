/** Limits on the rate of requests from all nodes together, which servers state in their answers. */
import assert from 'node:assert/strict';
import {before, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  buildFleetProgram,
  type LimitedFleet,
  startLimitedFleet,
} from './limited_fleet';
import {waitUntil} from './system';

before(buildFleetProgram);

/** Sends requests to both services, to each at its own mean rate. */
async function sendMixedTraffic(
  fleet: LimitedFleet,
  traffic: {
    readonly durationMs: number;
    readonly serviceRatePerS: number;
    readonly modelRatePerS: number;
    readonly tokens?: readonly [number, number];
  },
): Promise<void> {
  const {serviceRatePerS, modelRatePerS, ...options} = traffic;
  await Promise.all([
    fleet.sendTraffic({
      paths: ['/look/x', '/order/x'],
      ratePerS: serviceRatePerS,
      ...options,
    }),
    fleet.sendTraffic({
      paths: ['/ask/x', '/resume/x'],
      ratePerS: modelRatePerS,
      ...options,
    }),
  ]);
}

const LIMITED_IDS = ['app-1', 'app-2', 'r-1', 'w-1', 'w-2'];
const LIMIT_PER_S = 2;
/** Time in which the end of a limit is noticed at a server in use, in milliseconds. */
const LIMIT_END_NOTICED_MS = 1_000;
/** Time in which the stages of engines follow limits, in milliseconds. */
const STAGES_FOLLOW_MS = 12_000;

test('servers that state a limit get no more requests from all nodes together, and callers notice nothing while other servers are free', async () => {
  const fleet = await startLimitedFleet({
    nodes: 6,
    apps: 3,
    prefill: 2,
    decode: 3,
  });
  const traffic = sendMixedTraffic(fleet, {
    durationMs: 10_000,
    serviceRatePerS: 60,
    modelRatePerS: 30,
  });
  await sleep(1_000);
  for (const id of LIMITED_IDS) fleet.setLimit(id, LIMIT_PER_S);
  await sleep(6_500);
  for (const id of LIMITED_IDS) fleet.setLimit(id, undefined);
  await traffic;
  const violations = fleet.listViolations();
  const failed = [...fleet.requests.values()].filter(
    ({answer}) => answer?.status !== 200,
  );
  await fleet.close();
  assert.deepEqual(violations, []);
  assert.ok(failed.length <= 0.02 * fleet.requests.size, `${failed.length}`);
});

test('callers are served up to the limits of all servers together, and others are refused at once with Retry-After', async () => {
  const fleet = await startLimitedFleet({
    nodes: 6,
    apps: 3,
    prefill: 3,
    decode: 2,
  });
  const traffic = sendMixedTraffic(fleet, {
    durationMs: 8_000,
    serviceRatePerS: 50,
    modelRatePerS: 20,
    tokens: [4_000, 2_000],
  });
  await sleep(1_000);
  for (const id of fleet.servers.keys()) fleet.setLimit(id, 4);
  await sleep(1_000);
  const fromMs = performance.now();
  const {nodes} = fleet.processes;
  const earlierChunks = nodes.map(node => node.listLines().length);
  await traffic;
  const durationS = (performance.now() - fromMs) / 1_000;
  const sent = [...fleet.requests.values()].filter(
    ({sentAtMs}) => sentAtMs >= fromMs,
  );
  const answers = sent.map(({answer}) => answer);
  const servers = [...fleet.servers.values()];
  const violations = fleet.listViolations();
  const waits = nodes
    .map((node, index) => node.listLines().slice(earlierChunks[index]).join(''))
    .flatMap(text => text.match(/waits for an engine/g) ?? []);
  const prefills = servers.flatMap(server => server.prefills).length;
  const transfers = servers
    .flatMap(server => server.runs)
    .filter(run => run.headers['anvilstack-kv-source'] !== undefined).length;
  for (const id of fleet.servers.keys()) fleet.setLimit(id, undefined);
  const afterTraffic = sendMixedTraffic(fleet, {
    durationMs: 4_000,
    serviceRatePerS: 50,
    modelRatePerS: 20,
  });
  await sleep(LIMIT_END_NOTICED_MS);
  const endedAtMs = performance.now();
  await afterTraffic;
  const refusedAfterEnd = [...fleet.requests.values()].filter(
    ({sentAtMs, answer}) => sentAtMs > endedAtMs && answer?.status === 503,
  );
  await fleet.close();
  assert.deepEqual(violations, []);
  assert.equal(waits.length, 0);
  assert.equal(refusedAfterEnd.length, 0);
  for (const answer of answers) {
    const isExpected = answer?.status === 200 || answer?.status === 503;
    assert.ok(isExpected, `${answer?.status}: ${answer?.body}`);
    if (answer.status === 503) assert.ok(answer.headers['retry-after']);
  }
  for (const [paths, serverCount] of [
    ['/look /order', 3],
    ['/ask /resume', 2],
  ] as const) {
    const served = sent.filter(
      ({path, answer}) =>
        answer?.status === 200 && paths.includes(path.slice(0, -2)),
    );
    const admitted = serverCount * 4 * durationS;
    assert.ok(served.length >= 0.8 * admitted, `${paths}: ${served.length}`);
  }
  assert.ok(prefills <= transfers + 10, `${prefills} prefills, ${transfers}`);
});

test('a limit holds over all processes while some of them are killed, frozen, stopped and cut off from the others', async () => {
  const fleet = await startLimitedFleet({nodes: 8, apps: 3, decode: 3});
  const {nodes} = fleet.processes;
  const traffic = sendMixedTraffic(fleet, {
    durationMs: 15_000,
    serviceRatePerS: 60,
    modelRatePerS: 30,
  });
  await sleep(500);
  for (const id of fleet.servers.keys()) fleet.setLimit(id, 3);
  await sleep(1_500);
  nodes[0].signal('SIGKILL');
  await nodes[0].waitForExit();
  nodes[0].start();
  nodes[1].signal('SIGSTOP');
  fleet.setCutOff(nodes[2], true);
  await sleep(2_500);
  nodes[1].signal('SIGCONT');
  nodes[3].signal('SIGTERM');
  await sleep(2_500);
  fleet.setCutOff(nodes[2], false);
  for (const id of fleet.servers.keys()) fleet.setLimit(id, 6);
  await nodes[3].waitForExit();
  nodes[3].start();
  nodes[4].signal('SIGKILL');
  nodes[5].signal('SIGKILL');
  await Promise.all([nodes[4].waitForExit(), nodes[5].waitForExit()]);
  nodes[4].start();
  nodes[5].start();
  await traffic;
  const violations = fleet.listViolations();
  await fleet.close();
  assert.deepEqual(violations, []);
});

test('engines change to decode while the limits of the decode engines refuse prompts, and back when the limits end', async context => {
  const fleet = await startLimitedFleet({nodes: 6, prefill: 9, decode: 4});
  const countDecode = () =>
    [...fleet.servers.values()].filter(server => server.getStage() === 'decode')
      .length;
  const before = countDecode();
  const traffic = sendMixedTraffic(fleet, {
    durationMs: 30_000,
    serviceRatePerS: 1,
    modelRatePerS: 40,
    tokens: [4_000, 2_000],
  });
  await sleep(1_000);
  for (const id of fleet.servers.keys()) fleet.setLimit(id, 3);
  await waitUntil(
    'more engines decode',
    () => countDecode() >= 6,
    STAGES_FOLLOW_MS,
  );
  const fromMs = performance.now();
  await sleep(4_000);
  const untilMs = performance.now();
  for (const id of fleet.servers.keys()) fleet.setLimit(id, undefined);
  await waitUntil(
    'the default number of engines decode',
    () => countDecode() === before,
    STAGES_FOLLOW_MS,
  );
  await traffic;
  const violations = fleet.listViolations();
  const served = [...fleet.requests.values()].filter(
    ({path, sentAtMs, answer}) =>
      /^.(ask|resume)/.test(path) &&
      answer?.status === 200 &&
      sentAtMs >= fromMs &&
      sentAtMs < untilMs,
  );
  await fleet.close();
  assert.deepEqual(violations, []);
  assert.equal(before, 4);
  const admittedBefore = (4 * 3 * (untilMs - fromMs)) / 1_000;
  context.diagnostic(`${served.length} served, ${admittedBefore} before`);
  assert.ok(served.length >= 1.2 * admittedBefore, `${served.length}`);
});
