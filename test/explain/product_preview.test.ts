/** Predictions of the product's own dispatcher, which `anvilstack explain` shows, on random fleets without a network. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EngineRole} from '../../src/backends';
import {
  createAccountLimiter,
  type ModelRequest,
  type PredictedDispatch,
} from '../../src/routing';
import {
  createRandom,
  createRequest,
  createRoutingFleet,
  type RoutingFleet,
} from '../support/routing_fleet';

const ROLES = [
  EngineRole.Mixed,
  EngineRole.Mixed,
  EngineRole.Prefill,
  EngineRole.Decode,
];
const FLEETS = 60;
const REQUESTS = 50;

/**
 * Returns what the dispatcher did with the last request, from its events. A request that waits
 * behind others counts as waiting, also when the queue moves at once.
 */
function findDecision(
  fleet: RoutingFleet,
  options: {readonly from: number; readonly isAlone: boolean},
): string {
  const {request} = fleet.outcomes[fleet.outcomes.length - 1];
  const events = fleet.events
    .slice(options.from)
    .filter(({requestId}) => requestId === request.requestId);
  const [first] = events;
  if (first.kind === 'request-refused') return `refuse ${first.cause}`;
  const sent = events.find(({kind}) => kind === 'request-sent');
  const isQueued = first.kind === 'request-waits' && !options.isAlone;
  return sent === undefined || isQueued ? 'wait' : `send ${sent.engine}`;
}

function formatPrediction(predicted: PredictedDispatch): string {
  switch (predicted.kind) {
    case 'send':
      return `send ${predicted.serverId}`;
    case 'wait':
      return 'wait';
    case 'refuse':
      return `refuse ${predicted.failure.kind}: ${predicted.failure.message}`;
  }
}

// Guards against an explanation that names another engine than the one a request gets, and against
// predictions that change a decision.
test('with the same random numbers, a request goes where the prediction says', async () => {
  const counts = new Map<string, number>();
  for (let seed = 1; seed <= FLEETS; seed++) {
    let getDraw = createRandom(seed);
    const getRandom = createRandom(1_000 + seed);
    const pick = (count: number) => Math.floor(getRandom() * count);
    const fleet = createRoutingFleet({
      engines: 1 + pick(8),
      getRandom: () => getDraw(),
      getEngineOptions: () => ({role: ROLES[pick(ROLES.length)]}),
      createOptions: () => ({queueLimits: {maxRequests: 6}}),
    });
    const [dispatcher] = fleet.dispatchers;
    for (let index = 0; index < REQUESTS; index++) {
      if (getRandom() < 0.3) await fleet.clock.advance(40);
      if (getRandom() < 0.02) fleet.crash(pick(fleet.engines.length), 800);
      const request: Partial<ModelRequest> = {
        requestId: `req-${index}`,
        promptTokens: 100 + pick(20_000),
        urgent: getRandom() < 0.2,
        idempotent: getRandom() < 0.8,
        deadlineAtMs: fleet.clock.getMonotonicMs() + 200 + pick(20_000),
        ...(getRandom() < 0.05 ? {model: 'absent'} : {}),
      };
      const before = JSON.stringify([
        dispatcher.getCounts(),
        dispatcher.getWaitingCount(),
        dispatcher.listLocalWork(),
      ]);
      const from = fleet.events.length;
      const isAlone = dispatcher.getWaitingCount() === 0;
      const drawSeed = pick(1_000_000);
      const full = createRequest(`req-${index}`, 0, request);
      const predicted = dispatcher.predictDispatch(
        full,
        createRandom(drawSeed),
      );
      const views = dispatcher.listServerViews(full);
      assert.equal(fleet.events.length, from);
      assert.equal(
        JSON.stringify([
          dispatcher.getCounts(),
          dispatcher.getWaitingCount(),
          dispatcher.listLocalWork(),
        ]),
        before,
      );
      getDraw = createRandom(drawSeed);
      fleet.submit(0, request);
      const text = formatPrediction(predicted);
      assert.equal(
        text,
        findDecision(fleet, {from, isAlone}),
        `seed ${seed}, ${index}`,
      );
      if (predicted.kind === 'send') {
        const view = views.find(({id}) => id === predicted.serverId);
        assert.equal(view?.cause, undefined);
      }
      counts.set(predicted.kind, (counts.get(predicted.kind) ?? 0) + 1);
    }
    fleet.stop();
  }
  // The test says nothing of an outcome that hardly occurs.
  for (const kind of ['send', 'wait', 'refuse']) {
    assert.ok((counts.get(kind) ?? 0) > 50, JSON.stringify([...counts]));
  }
});

// Guards against a prediction that takes a token from the account's bucket.
test('a predicted refusal by the limits is the one that a request gets, and counts nothing', () => {
  const limiter = createAccountLimiter();
  const limits = {requestsPerS: 1, burst: 2, maxConcurrent: 10};
  for (let index = 0; index < 4; index++) {
    const predicted = [1, 2, 3].map(() =>
      limiter.tryPredictRefusal('studio', limits, 0),
    );
    const admission = limiter.tryAdmit('studio', limits, 0);
    const refusal = admission.kind === 'refused' ? admission : undefined;
    assert.deepEqual(predicted, [refusal, refusal, refusal]);
    assert.equal(refusal === undefined, index < 2);
  }
});
