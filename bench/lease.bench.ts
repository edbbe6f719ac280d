/**
 * Appends and bytes of the stream `control` per shard, and the time until a successor of a lease
 * holder acts.
 * Run: npm run -s transpile && node --expose-gc build/js/bench/lease.bench.js
 */
import {controlStream} from '../src/authority';
import {createStreamFold} from '../src/state';
import {createControlCluster} from '../test/support/control_cluster';

const MINUTES = 10;

async function runSteadyState(): Promise<void> {
  const cluster = createControlCluster({});
  ['p0', 'p1', 'p2'].forEach((name, rank) =>
    cluster.startProcess({name: `${name}.00000000`, rank}),
  );
  await cluster.advance(MINUTES * 60_000);
  const page = cluster.model.read('control', 0, 100_000);
  if (typeof page === 'string' || !('records' in page))
    throw new Error('the control stream cannot be read');
  const bytes = page.records.reduce((sum, item) => sum + item.body.length, 0);
  const seconds = MINUTES * 60;
  console.log(
    JSON.stringify({
      appendsPerShardAndS: Number((page.records.length / seconds).toFixed(3)),
      bytesPerShardAndS: Number((bytes / seconds).toFixed(1)),
      bytesPerRecord: Math.round(bytes / page.records.length),
    }),
  );
  const rounds = 50;
  const startMs = performance.now();
  let offset = 0;
  for (let round = 0; round < rounds; round++) {
    const fold = createStreamFold(controlStream);
    for (const record of page.records) {
      offset++;
      fold.applyRecord(record);
    }
  }
  const usPerRecord = ((performance.now() - startMs) * 1_000) / offset;
  console.log(
    JSON.stringify({foldUsPerRecord: Number(usPerRecord.toFixed(1))}),
  );
  await cluster.stop();
}

/** Measures the takeover after the holder is killed at many moments of its renewal cycle. */
async function runTakeover(checksFencing: boolean): Promise<void> {
  const toLeaseMs: number[] = [];
  const toCommandMs: number[] = [];
  for (let run = 0; run < 30; run++) {
    const cluster = createControlCluster({checksFencing, engines: 1});
    const first = cluster.startProcess({name: 'p0', rank: 0});
    const second = cluster.startProcess({name: 'p1', rank: 1});
    second.wantedRole = 'decode';
    await cluster.advance(5_000 + run * 50);
    first.kill();
    const killedAtMs = cluster.clock.getMonotonicMs();
    while (cluster.listHolders().length === 0) await cluster.clock.advance(10);
    toLeaseMs.push(cluster.clock.getMonotonicMs() - killedAtMs);
    while (cluster.engines[0].appliedCommands.length === 0) {
      await cluster.clock.advance(10);
    }
    toCommandMs.push(cluster.clock.getMonotonicMs() - killedAtMs);
    await cluster.stop();
  }
  console.log(
    JSON.stringify({
      checksFencing,
      leaseMs: [Math.min(...toLeaseMs), Math.max(...toLeaseMs)],
      firstCommandMs: [Math.min(...toCommandMs), Math.max(...toCommandMs)],
    }),
  );
}

/**
 * Measures how long a stale command has effect: the holder is paused between check and write,
 * and the engine does not check fencing numbers.
 */
async function runStaleCommand(): Promise<void> {
  const wrongMs: number[] = [];
  for (let run = 0; run < 30; run++) {
    const cluster = createControlCluster({checksFencing: false, engines: 1});
    const [engine] = cluster.engines;
    const first = cluster.startProcess({name: 'p0', rank: 0});
    const second = cluster.startProcess({name: 'p1', rank: 1});
    await cluster.advance(2_000);
    first.isHeldBeforeWrite = true;
    first.wantedRole = 'prefill';
    second.wantedRole = 'decode';
    await cluster.advance(3_000);
    first.setPaused(true);
    await cluster.advance(25_000 + run * 35);
    first.isHeldBeforeWrite = false;
    first.setPaused(false);
    while (engine.getReport().state !== 'changing_role') {
      await cluster.clock.advance(10);
    }
    const staleAtMs = cluster.clock.getMonotonicMs();
    await cluster.clock.advance(1_010);
    while (engine.getRole() !== 'decode') await cluster.clock.advance(10);
    wrongMs.push(cluster.clock.getMonotonicMs() - staleAtMs);
    await cluster.stop();
  }
  console.log(
    JSON.stringify({
      staleCommandHealedMs: [Math.min(...wrongMs), Math.max(...wrongMs)],
    }),
  );
}

await runSteadyState();
await runTakeover(true);
await runTakeover(false);
await runStaleCommand();
