import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runFleetStart} from './fleet_start_model';

const NODES = 300;
/** Time within which a fleet serves again after all its processes were killed, in milliseconds. */
const START_BOUND_MS = 1_500;

function runModel(isRefused: (index: number) => boolean) {
  return runFleetStart({
    nodes: NODES,
    servers: 3_000,
    durationMs: START_BOUND_MS,
    isRefused,
  });
}

test('300 nodes that start at once are ready in time, and none of them sends much more than the others', async context => {
  const start = await runModel(() => false);
  const sent = [...start.sentBytes].sort((left, right) => left - right);
  const medianBytes = sent[NODES / 2];
  const lastMs = Math.max(...start.readyMs.map(atMs => atMs ?? Infinity));
  context.diagnostic(
    JSON.stringify({
      lastMs,
      completeCount: start.completeCount,
      medianBytes,
      topBytes: sent.slice(-8),
      kindBytes: start.kindBytes,
      maxBytes: sent[NODES - 1],
      storeCalls: start.storeCalls,
      storeBytes: start.storeBytes,
    }),
  );
  assert.ok(lastMs <= START_BOUND_MS, `${lastMs} ms`);
  assert.ok(sent[NODES - 1] <= 3 * medianBytes, `${sent[NODES - 1]} bytes`);
});

test('nodes that the store refuses get the state from others, and the seeds do not carry all of them', async context => {
  const start = await runModel(index => index % 10 !== 5);
  const lastMs = Math.max(...start.readyMs.map(atMs => atMs ?? Infinity));
  const totalBytes = start.sentBytes.reduce((sum, bytes) => sum + bytes, 0);
  const maxBytes = Math.max(...start.sentBytes);
  context.diagnostic(
    JSON.stringify({
      lastMs,
      notReady: start.readyMs.filter(atMs => atMs === undefined).length,
      maxBytes,
      meanBytes: totalBytes / NODES,
    }),
  );
  assert.ok(lastMs <= START_BOUND_MS, `${lastMs} ms`);
});
