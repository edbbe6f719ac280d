/** Nodes that tell each other of crashes, on a virtual clock and a network that delays and loses messages. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
  type CrashGuard,
  type CrashGuardOptions,
  createCrashGuard,
} from '../../src/gateway/crash_guard';
import {createVirtualClock} from '../../src/runtime';
import type {ModelRequest} from '../../src/gateway/types';
import {createEntry, createQuarantineFake, SILENT_LOGGER} from './support';

const SECOND_MS = 1_000;
const MAX_DELAY_MS = 20;
const STATE_INTERVAL_MS = 500;
/** Time in which all nodes know what one has learned: two state messages. */
const LEARN_MS = 1_100;
const FIRST_TRIAL_MS = 10_000;

let promptCount = 0;

/** Creates a prompt with shared parts and a last part of its own. */
function createModel(...partIds: readonly string[]): ModelRequest {
  return createPrompt(...partIds, `own-${promptCount++}`);
}

function createPrompt(...partIds: readonly string[]): ModelRequest {
  const parts = partIds.map(id => ({id, tokens: 100}));
  return {promptTokens: 100 * parts.length, maxOutputTokens: 9, parts};
}

/** Starts guards whose first node sends its entries to the others as a reader does. */
function startFleet(options: {
  readonly nodes: number;
  readonly lossFraction?: number;
  readonly seed?: number;
}) {
  const {lossFraction = 0} = options;
  const clock = createVirtualClock({wallStartMs: 1_700_000_000_000});
  const generator = xoroshiro128plus(options.seed ?? 1);
  const draw = () => uniformFloat64(generator);
  const cut = new Set<number>();
  /** Servers to which connections are still open. */
  const alive = new Set<string>();
  const {store, fake} = createQuarantineFake(() => clock.sleep(5));
  const guards: CrashGuard[] = [];
  for (let index = 0; index < options.nodes; index++) startNode(index, true);
  sendState();
  return {
    clock,
    guards,
    cut,
    alive,
    fake,
    startNode,
    crashUnder,
    crashUnderPrompt,
    count: () => guards.filter(guard => guard.countActive() > 0).length,
  };

  function startNode(index: number, isFirstStart = false): void {
    guards[index]?.stop();
    guards[index] = createCrashGuard({
      nodeName: `front-${index}`,
      clock,
      logger: SILENT_LOGGER,
      metrics: {recordCrash: () => undefined},
      store,
      getRandom: draw,
      isFirstStart,
      isReader: () => index === 0 || cut.has(index),
      checkProcess: ({id}) => Promise.resolve(alive.has(id)),
      notify: message => sendToOthers(index, other => other.handle(message)),
    } satisfies CrashGuardOptions);
    guards[index].start();
  }

  function sendToOthers(
    from: number,
    deliver: (other: CrashGuard) => void,
  ): void {
    for (const index of guards.keys()) {
      if (index === from || draw() < lossFraction) continue;
      if (cut.has(index) || cut.has(from)) continue;
      clock.schedule(1 + draw() * MAX_DELAY_MS, () => {
        if (!cut.has(index)) deliver(guards[index]);
      });
    }
  }

  function sendState(): void {
    const entries = guards[0].listEntries();
    sendToOthers(0, other => {
      const newer = other.mergeEntries(entries);
      if (newer.length > 0) guards[0].mergeEntries(newer);
    });
    clock.schedule(STATE_INTERVAL_MS, sendState);
  }

  /** Lets an engine crash under a request of a node, one second after the last crash. */
  async function crashUnder(
    node: number,
    crash: number,
    ...partIds: readonly string[]
  ): Promise<void> {
    await crashUnderPrompt(node, crash, createModel(...partIds));
  }

  async function crashUnderPrompt(
    node: number,
    crash: number,
    model: ModelRequest,
  ): Promise<void> {
    for (let count = 0; count < 30; count++) guards[node].recordSent();
    const server = createEntry({id: `e${crash}`});
    guards[node].recordBroken(server, `q${crash}`, model, 40);
    await clock.advance(SECOND_MS);
  }
}

type Fleet = ReturnType<typeof startFleet>;

async function crashUntilQuarantined(
  fleet: Fleet,
  partId: string,
): Promise<number> {
  let crash = 0;
  while (fleet.count() === 0 && crash < 10) {
    const node = crash % fleet.guards.length;
    await fleet.crashUnder(node, crash++, partId);
  }
  return crash;
}

test('all nodes keep a part away after crashes that were spread over them', async () => {
  const fleet = startFleet({nodes: 6});
  const crashes = await crashUntilQuarantined(fleet, 'bad');
  assert.ok(crashes <= 5, `${crashes} crashes`);
  assert.equal(fleet.count(), 6);
  for (const guard of fleet.guards) {
    assert.equal(guard.tryFindBlock(createModel('bad'))?.partId, 'bad');
    assert.equal(guard.tryFindBlock(createModel('other')), undefined);
  }
  assert.deepEqual([...fleet.fake.records.keys()], ['bad']);
});

test('nodes that lose messages, were cut off or have just started learn of a part in time', async () => {
  const fleet = startFleet({nodes: 8, lossFraction: 0.3, seed: 3});
  fleet.cut.add(5);
  await crashUntilQuarantined(fleet, 'bad');
  fleet.startNode(6);
  fleet.cut.delete(5);
  await fleet.clock.advance(4 * LEARN_MS);
  assert.equal(fleet.count(), 8);
});

test('a node that hears of no other node learns of a part from the store', async () => {
  const fleet = startFleet({nodes: 4});
  fleet.cut.add(3);
  for (let crash = 0; crash < 6; crash++) {
    await fleet.crashUnder(crash % 3, crash, 'bad');
  }
  assert.equal(fleet.count(), 4);
});

test('a part is still kept away after all nodes have lost their memory', async () => {
  const fleet = startFleet({nodes: 4});
  await crashUntilQuarantined(fleet, 'bad');
  for (const index of fleet.guards.keys()) fleet.startNode(index);
  await fleet.clock.advance(LEARN_MS);
  assert.equal(fleet.count(), 4);
});

test('a decision that was made while the store was away is written later', async () => {
  const fleet = startFleet({nodes: 4});
  fleet.fake.isDown = true;
  await crashUntilQuarantined(fleet, 'bad');
  assert.equal(fleet.fake.records.size, 0);
  fleet.fake.isDown = false;
  await fleet.clock.advance(5 * SECOND_MS);
  assert.deepEqual([...fleet.fake.records.keys()], ['bad']);
});

test('one request of all nodes gets a trial, and an answer to it ends the quarantine at all nodes', async () => {
  const fleet = startFleet({nodes: 6});
  await crashUntilQuarantined(fleet, 'bad');
  const model = createModel('bad');
  assert.ok((fleet.guards[0].tryFindBlock(model)?.retryAfterMs ?? 0) > 0);
  await fleet.clock.advance(FIRST_TRIAL_MS + LEARN_MS);
  const blocks = fleet.guards.map(guard => guard.tryFindBlock(model));
  assert.deepEqual(
    blocks.map(block => block?.retryAfterMs),
    [0, 0, 0, 0, 0, 0],
  );
  const claims = fleet.guards.map(guard => guard.claimTrial('bad'));
  await fleet.clock.advance(SECOND_MS);
  const granted = await Promise.all(claims);
  assert.equal(granted.filter(Boolean).length, 1);
  const winner = fleet.guards[granted.indexOf(true)];
  assert.equal(winner.tryFindBlock(model, 'bad'), undefined);
  assert.equal(fleet.count(), 6);
  winner.recordCompleted(createEntry(), model, true);
  await fleet.clock.advance(2 * LEARN_MS);
  assert.equal(fleet.count(), 0);
  assert.equal(fleet.fake.records.size, 0);
});

test('without the store no trial is granted', async () => {
  const fleet = startFleet({nodes: 2});
  await crashUntilQuarantined(fleet, 'bad');
  await fleet.clock.advance(FIRST_TRIAL_MS);
  fleet.fake.isDown = true;
  const claim = fleet.guards[0].claimTrial('bad');
  await fleet.clock.advance(SECOND_MS / 2);
  assert.equal(await claim, false);
  const block = fleet.guards[0].tryFindBlock(createModel('bad'));
  assert.ok((block?.retryAfterMs ?? 0) > 0);
});

test('no trial is made with two quarantined parts at once', async () => {
  const fleet = startFleet({nodes: 2});
  await crashUntilQuarantined(fleet, 'bad');
  for (let crash = 20; fleet.guards[0].countActive() < 2; crash++) {
    await fleet.crashUnder(0, crash, 'worse');
  }
  await fleet.clock.advance(FIRST_TRIAL_MS);
  const block = fleet.guards[0].tryFindBlock(createModel('bad', 'worse'));
  assert.ok((block?.retryAfterMs ?? 0) > 0);
});

test('answers to a part at any node keep all nodes from blaming it', async () => {
  const fleet = startFleet({nodes: 4});
  for (let crash = 0; crash < 20; crash++) {
    await fleet.crashUnder(crash % 3, crash, 'shared', `rare-${crash}`);
    if (crash % 2 === 1) {
      const model = createModel('shared', 'other');
      fleet.guards[3].recordCompleted(createEntry(), model, true);
      await fleet.clock.advance(100);
    }
  }
  assert.equal(fleet.count(), 0);
});

test('an answer without framing clears a part only if its server does not turn out to have crashed', async () => {
  const fleet = startFleet({nodes: 2});
  const [guard] = fleet.guards;
  const model = createModel('bad');
  await fleet.crashUnder(0, 1, 'bad');
  await fleet.crashUnder(1, 2, 'bad');
  assert.equal(guard.isDoubted(model), true);
  const server = createEntry({id: 'e3'});
  guard.recordCompleted(server, model, false);
  guard.recordBroken(server, 'other', createModel('other'), 10);
  await fleet.clock.advance(SECOND_MS);
  assert.equal(guard.isDoubted(model), true);
  guard.recordCompleted(createEntry({id: 'e4'}), model, false);
  await fleet.clock.advance(SECOND_MS);
  assert.equal(guard.isDoubted(model), false);
});

test('an answer that a server breaks off while its other connections are open is no crash', async () => {
  const fleet = startFleet({nodes: 2});
  fleet.alive.add('e7');
  const [guard] = fleet.guards;
  for (let count = 0; count < 20; count++) {
    const server = createEntry({id: 'e7', startedAtMs: count});
    guard.recordBroken(server, `q${count}`, createModel('part'), 10);
    await fleet.clock.advance(SECOND_MS);
  }
  assert.equal(fleet.count(), 0);
  assert.equal(guard.isDoubted(createModel('part')), false);
});

test('streams that ran for long say nothing about what crashed their engine', async () => {
  const fleet = startFleet({nodes: 2});
  for (let crash = 0; crash < 20; crash++) {
    const server = createEntry({id: `e${crash}`});
    const model = createModel('part');
    fleet.guards[0].recordBroken(server, `q${crash}`, model, 2_000);
    await fleet.clock.advance(SECOND_MS);
  }
  assert.equal(fleet.count(), 0);
});

test('a node knows how many engines a prompt has crashed at all nodes, and that one with the same shared parts has crashed none', async () => {
  const fleet = startFleet({nodes: 4});
  const prompt = createPrompt('part', 'own');
  const histories = () =>
    fleet.guards.map(guard => guard.getPromptHistory(prompt));
  await fleet.crashUnderPrompt(0, 0, prompt);
  await fleet.crashUnderPrompt(1, 1, prompt);
  assert.deepEqual(
    histories().map(history => history.crashCount),
    [2, 2, 2, 2],
  );
  assert.equal(new Set(histories().map(({promptId}) => promptId)).size, 1);
  const other = createPrompt('part', 'other');
  assert.equal(fleet.guards[0].getPromptHistory(other).crashCount, 0);
  fleet.guards[3].recordCompleted(createEntry(), prompt, true);
  await fleet.clock.advance(SECOND_MS);
  assert.deepEqual(
    histories().map(history => history.crashCount),
    [0, 0, 0, 0],
  );
});

/** Lets a caller send a prompt to one node after the other, and sound requests share its first part; returns how many engines crash. */
async function sendDeadlyPrompt(
  fleet: Fleet,
  prompt: ModelRequest,
  tries: number,
): Promise<number> {
  let crashes = 0;
  for (let count = 0; count < tries; count++) {
    const node = count % fleet.guards.length;
    const isBlocked = fleet.guards[node].tryFindBlock(prompt) !== undefined;
    if (!isBlocked) await fleet.crashUnderPrompt(node, crashes++, prompt);
    const sound = createModel(prompt.parts[0].id);
    const other = fleet.guards[(node + 1) % fleet.guards.length];
    assert.equal(other.tryFindBlock(sound), undefined);
    other.recordCompleted(createEntry(), sound, true);
    await fleet.clock.advance(SECOND_MS / 2);
  }
  return crashes;
}

test('a prompt that its caller sends again to other nodes crashes two engines, while requests that share its first part are served', async () => {
  const fleet = startFleet({nodes: 5});
  const prompt = createPrompt('shared', 'own');
  assert.equal(await sendDeadlyPrompt(fleet, prompt, 9), 2);
  const {promptId} = fleet.guards[0].getPromptHistory(prompt);
  assert.deepEqual([...fleet.fake.records.keys()], [promptId]);
});

test('a prompt with parts that no other request has is kept away, and its parts are not', async () => {
  const fleet = startFleet({nodes: 5});
  const prompt = createPrompt('rare', 'own');
  for (let crash = 0; crash < 9; crash++) {
    await fleet.crashUnderPrompt(crash % 5, crash, prompt);
  }
  for (const guard of fleet.guards) {
    assert.notEqual(guard.tryFindBlock(prompt), undefined);
    assert.equal(guard.tryFindBlock(createModel('rare')), undefined);
  }
});

test('one request of all nodes tries a prompt that is kept away, and an answer ends its quarantine', async () => {
  const fleet = startFleet({nodes: 5});
  const prompt = createPrompt('shared', 'own');
  const {promptId = ''} = fleet.guards[0].getPromptHistory(prompt);
  await sendDeadlyPrompt(fleet, prompt, 4);
  assert.equal(fleet.count(), 5);
  await fleet.clock.advance(FIRST_TRIAL_MS);
  const claims = fleet.guards.map(guard => guard.claimTrial(promptId));
  await fleet.clock.advance(SECOND_MS);
  const granted = await Promise.all(claims);
  assert.equal(granted.filter(Boolean).length, 1);
  const winner = fleet.guards[granted.indexOf(true)];
  assert.equal(winner.tryFindBlock(prompt, promptId), undefined);
  winner.recordCompleted(createEntry(), prompt, true);
  await fleet.clock.advance(2 * LEARN_MS);
  assert.equal(fleet.count(), 0);
});

test('a prompt that was answered between its crashes is not kept away', async () => {
  const fleet = startFleet({nodes: 3});
  const prompt = createPrompt('shared', 'own');
  for (let crash = 0; crash < 9; crash++) {
    await fleet.crashUnderPrompt(crash % 3, crash, prompt);
    fleet.guards[(crash + 1) % 3].recordCompleted(createEntry(), prompt, true);
    await fleet.clock.advance(SECOND_MS);
  }
  assert.equal(fleet.count(), 0);
});

test('a request is not sent to a second engine by the node once its prompt has crashed one before', async () => {
  const fleet = startFleet({nodes: 2});
  const prompt = createPrompt('shared', 'own');
  assert.equal(fleet.guards[1].isDoubted(prompt), false);
  await fleet.crashUnderPrompt(0, 0, prompt);
  assert.equal(fleet.guards[1].isDoubted(prompt), true);
  assert.equal(fleet.guards[1].isDoubted(createModel('shared')), false);
});

test('a deadly part is found although each of its prompts is sent twice', async () => {
  const fleet = startFleet({nodes: 4});
  let crash = 0;
  while (crash < 9 && !fleet.fake.records.has('bad')) {
    const prompt = createModel('bad');
    await fleet.crashUnderPrompt(crash % 4, crash++, prompt);
    await fleet.crashUnderPrompt(crash % 4, crash++, prompt);
  }
  assert.ok(crash <= 4, `${crash} crashes`);
});

test('a prompt that nobody sends again is forgotten', async () => {
  const fleet = startFleet({nodes: 3});
  await sendDeadlyPrompt(fleet, createPrompt('shared', 'own'), 4);
  assert.equal(fleet.count(), 3);
  await fleet.clock.advance(400 * SECOND_MS);
  assert.equal(fleet.count(), 0);
  assert.equal(fleet.fake.records.size, 0);
});
