/** Engines that crash by themselves: no part of a prompt is to blame. */
import assert from 'node:assert/strict';
import {before, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {listAllLines} from '../soak/gateway_processes';
import {createDraw} from '../soak/schedule';
import {
  buildFleetProgram,
  type LimitedFleet,
  startLimitedFleet,
} from './limited_fleet';
import {computeServedFraction, sendTaintedTraffic} from './tainted_fleet';

before(buildFleetProgram);

/** Time that a crashed engine is away, in milliseconds. */
const DOWN_MS = 2_000;
const TRAFFIC_MS = 14_000;

/** Lets `count` engines at a time crash at random intervals around a mean. */
async function crashEngines(
  fleet: LimitedFleet,
  options: {
    readonly intervalMs: number;
    readonly count: number;
    readonly durationMs: number;
  },
): Promise<number> {
  const draw = createDraw(7);
  const engines = [...fleet.servers.values()].filter(
    server => server.getStage() === 'decode',
  );
  const endsAtMs = performance.now() + options.durationMs;
  let crashCount = 0;
  while (performance.now() < endsAtMs) {
    await sleep(options.intervalMs * (0.5 + draw(1_000) / 1_000));
    for (let count = 0; count < options.count; count++) {
      void engines[draw(engines.length)].crashFor(DOWN_MS);
      crashCount++;
    }
  }
  return crashCount;
}

const SCENES = [
  ['few', {intervalMs: 3_000, count: 1}],
  ['many', {intervalMs: 400, count: 1}],
  ['a fourth of the engines at the same moment', {intervalMs: 2_500, count: 2}],
] as const;

for (const [title, options] of SCENES) {
  test(`ordinary crashes under load quarantine nothing: ${title}`, async () => {
    const fleet = await startLimitedFleet({
      nodes: 6,
      prefill: 3,
      decode: 8,
      stream: {events: 10, eventIntervalMs: 30},
    });
    const [requests, crashCount] = await Promise.all([
      sendTaintedTraffic(fleet, {
        durationMs: TRAFFIC_MS,
        soundRatePerS: 60,
        deadlyRatePerS: 0,
        deadlyParts: [],
      }),
      crashEngines(fleet, {...options, durationMs: TRAFFIC_MS - 1_000}),
    ]);
    const lines = listAllLines(fleet.processes);
    await fleet.close();
    const quarantined = lines.filter(line =>
      line.includes('prompt part quarantined'),
    );
    assert.deepEqual(quarantined, []);
    const reports = lines.filter(line =>
      line.includes('broke off young streams'),
    );
    assert.ok(reports.length > 0, `${crashCount} crashes, no stream broken`);
    assert.ok(computeServedFraction(requests) > 0.5);
  });
}
