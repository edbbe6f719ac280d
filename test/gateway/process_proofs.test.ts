/** What shows that the process of a server outlived the end of an answer, and what does not. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  CheckResult,
  createProcessProofs,
  type ProcessLink,
  ProcessProof,
} from '../../src/gateway/process_proofs';
import {createVirtualClock} from '../../src/runtime';

interface TestLink extends ProcessLink {
  isOpen: boolean;
  isIdle: boolean;
  acceptedAtMs: number | undefined;
}

/** A check that was sent and waits for its answer. */
interface SentCheck {
  readonly link: ProcessLink | undefined;
  readonly onEnd: (result: CheckResult) => void;
}

/** Milliseconds after which every wait for a proof is over. */
const LONG_MS = 5_000;

async function startProofs(canState = false) {
  const clock = createVirtualClock({});
  const links: TestLink[] = [];
  const checks: SentCheck[] = [];
  let canSend = true;
  const proofs = createProcessProofs({
    clock,
    listLinks: () => links,
    canState,
    sendCheck: (link, onEnd) => {
      if (canSend) checks.push({link, onEnd});
      return canSend;
    },
  });
  await clock.advance(1_000);
  return {
    clock,
    links,
    checks,
    proofs,
    setCanSend: (next: boolean) => {
      canSend = next;
    },
    addLink: (acceptedAtMs: number | undefined, isIdle = true): TestLink => {
      const link = {isOpen: true, isIdle, acceptedAtMs};
      links.push(link);
      return link;
    },
    request: (sentAtMs: number) => {
      const results: ProcessProof[] = [];
      proofs.checkProcess(sentAtMs, proof => results.push(proof));
      return results;
    },
  };
}

test('an open connection that says nothing shows nothing, however long it stays open', async () => {
  const scene = await startProofs();
  scene.addLink(100);
  const results = scene.request(500);
  await scene.clock.advance(LONG_MS);
  assert.deepEqual(results, [ProcessProof.None]);
});

test('the answer to a check on a connection that was accepted before the request shows that the process lives', async () => {
  const scene = await startProofs();
  const link = scene.addLink(100);
  const results = scene.request(500);
  assert.equal(scene.checks[0].link, link);
  scene.proofs.recordAnswer(link, scene.clock.getMonotonicMs());
  assert.deepEqual(results, [ProcessProof.Answered]);
});

test('the answer to a request that was sent before the end shows nothing', async () => {
  const scene = await startProofs();
  const link = scene.addLink(100, false);
  const results = scene.request(500);
  scene.proofs.recordAnswer(link, scene.clock.getMonotonicMs() - 1);
  assert.deepEqual(results, []);
});

test('an answer on a connection that was accepted after the request was sent shows nothing', async () => {
  const scene = await startProofs();
  const link = scene.addLink(501);
  const results = scene.request(500);
  scene.proofs.recordAnswer(link, scene.clock.getMonotonicMs());
  assert.deepEqual(results, [ProcessProof.None]);
});

test('a busy connection that was accepted before serves once it is idle', async () => {
  const scene = await startProofs();
  const link = scene.addLink(100, false);
  const results = scene.request(500);
  assert.equal(scene.checks.length, 0);
  link.isIdle = true;
  scene.proofs.update();
  assert.equal(scene.checks.length, 1);
  assert.deepEqual(results, []);
});

test('no proof is waited for once the last connection that could give it is closed', async () => {
  const scene = await startProofs();
  const link = scene.addLink(100, false);
  const results = scene.request(500);
  link.isOpen = false;
  scene.proofs.update();
  assert.deepEqual(results, [ProcessProof.None]);
});

for (const [result, expected] of [
  [CheckResult.SameProcess, [ProcessProof.Stated]],
  [CheckResult.OtherProcess, [ProcessProof.None]],
  [CheckResult.Nothing, []],
] as const) {
  test(`without a connection, a check on any one shows what its answer states: ${result}`, async () => {
    const scene = await startProofs(true);
    const results = scene.request(500);
    assert.equal(scene.checks[0].link, undefined);
    scene.checks[0].onEnd(result);
    assert.deepEqual(results, expected);
  });
}

test('one check serves all ends before it, and those after it get another', async () => {
  const scene = await startProofs(true);
  const first = scene.request(500);
  const second = scene.request(600);
  const [check] = scene.checks;
  assert.equal(scene.checks.length, 1);
  scene.proofs.update();
  // Sent after the check.
  const third = scene.request(700);
  check.onEnd(CheckResult.SameProcess);
  assert.deepEqual([first, third], [[ProcessProof.Stated], []]);
  scene.checks[1].onEnd(CheckResult.SameProcess);
  assert.deepEqual(
    [second, third],
    [[ProcessProof.Stated], [ProcessProof.Stated]],
  );
});

test('a check that must not be sent now is sent later', async () => {
  const scene = await startProofs(true);
  scene.setCanSend(false);
  const results = scene.request(500);
  await scene.clock.advance(200);
  scene.setCanSend(true);
  await scene.clock.advance(50);
  assert.equal(scene.checks.length, 1);
  scene.checks[0].onEnd(CheckResult.SameProcess);
  assert.deepEqual(results, [ProcessProof.Stated]);
});

test('checks without a statement are not repeated for ever', async () => {
  const scene = await startProofs(true);
  const results = scene.request(500);
  for (let count = 0; count < scene.checks.length; count++) {
    scene.checks[count].onEnd(CheckResult.Nothing);
  }
  assert.deepEqual(results, [ProcessProof.None]);
  assert.ok(scene.checks.length <= 3);
});
