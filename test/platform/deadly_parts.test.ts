/** Parts of prompts that crash each engine that begins to write an answer on them. */
import assert from 'node:assert/strict';
import {before, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {getKnownRedOptions} from '../support/known_red';
import {
  buildFleetProgram,
  type LimitedFleet,
  startLimitedFleet,
} from './limited_fleet';
import {
  computeServedFraction,
  listDeadlyPartViolations,
  listSoundSharing,
  sendTaintedTraffic,
} from './tainted_fleet';

before(buildFleetProgram);

/** Time that a crashed engine is away, in milliseconds. */
const DOWN_MS = 2_000;
/** Fraction of the other sound requests' service that sound requests with the same first part must get. */
const MIN_SHARING_FRACTION = 0.5;
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

const TITLE =
  'requests with a part that crashes engines reach no more of them once five have crashed, and requests that share their first part are served';
test(TITLE, getKnownRedOptions(TITLE), async () => {
  const fleet = await startLimitedFleet({
    nodes: 6,
    prefill: 3,
    decode: 8,
    stream: STREAM,
  });
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
  await fleet.close();
  assert.deepEqual(violations, []);
  const sound = requests.filter(request => request.deadlyPart === undefined);
  const endsAtMs = requests.at(-1)?.sentAtMs ?? 0;
  const late = sound.filter(({sentAtMs}) => sentAtMs > endsAtMs - 5_000);
  const sharing = computeServedFraction(listSoundSharing(late));
  assert.ok(
    sharing >= MIN_SHARING_FRACTION * computeServedFraction(late),
    `${sharing} of the requests that share the first part are served`,
  );
});
