/** Tests of the queue of waiting prompts and of admission control. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  Admission,
  type AdmissionInput,
  chooseAdmission,
  getFirstEventTimeoutMs,
  getSendBudgetMs,
} from '../../src/gateway/stream_admission';
import {RequestKind, type Route} from '../../src/gateway/types';
import {
  createWaitingPrompts,
  type WaitingPrompt,
} from '../../src/gateway/waiting_prompts';
import {createVirtualClock} from '../../src/runtime';

const ROUTE: Route = {
  name: 'ask',
  host: 'desk.example',
  pathPrefix: '/ask/',
  kind: RequestKind.Stream,
  timeoutMs: 2_000,
  objectiveMs: 150,
  pauseObjectiveMs: 150,
  rank: 0,
  maxServers: 1,
  isResumable: false,
  services: [],
};

function admit(options: Partial<AdmissionInput>): Admission {
  return chooseAdmission({
    route: ROUTE,
    elapsedMs: 0,
    remainingMs: 2_000,
    waitMs: 0,
    workMs: 40,
    ...options,
  });
}

function createList(peers: number) {
  const clock = createVirtualClock();
  const started: string[] = [];
  const waiting = createWaitingPrompts({
    clock,
    getRandom: () => 0.5,
    countPeers: () => peers,
    countEngines: () => 8,
  });
  let isEngineFree = false;
  const add = (name: string, more: Partial<WaitingPrompt> = {}) =>
    waiting.add({
      rank: 1,
      account: '',
      isOverShare: false,
      workMs: 100,
      expiresAtMs: clock.getMonotonicMs() + 1_000,
      tryStart: () => {
        if (isEngineFree) started.push(name);
        return isEngineFree;
      },
      onExpired: () => started.push(`${name} expired`),
      ...more,
    });
  return {
    clock,
    waiting,
    started,
    add,
    setEngineFree: (next: boolean) => {
      isEngineFree = next;
    },
  };
}

test('a prompt that can meet its objective is sent, one behind a long queue waits', () => {
  assert.equal(admit({waitMs: 100}), Admission.Send);
  assert.equal(admit({waitMs: 120}), Admission.Wait);
  assert.equal(admit({elapsedMs: 60, waitMs: 100}), Admission.Wait);
  assert.equal(admit({waitMs: undefined}), Admission.Wait);
});

test('a prompt that will miss its objective is sent only to an engine with a short queue', () => {
  assert.equal(admit({workMs: 400, waitMs: 30}), Admission.Send);
  assert.equal(admit({workMs: 400, waitMs: 60}), Admission.Wait);
});

test('a prompt that would exceed the time-out of its caller is refused', () => {
  assert.equal(getFirstEventTimeoutMs(ROUTE), 2_000);
  assert.equal(admit({workMs: 1_950}), Admission.Refuse);
  assert.equal(admit({workMs: 300, remainingMs: 290}), Admission.Refuse);
  assert.equal(admit({elapsedMs: 1_880}), Admission.Refuse);
});

test('a prompt waits no longer than until its engine could not answer its caller in time', () => {
  // The second try of a caller after an outage states the time that it has left.
  const input = {route: ROUTE, elapsedMs: 100, remainingMs: 600, workMs: 250};
  assert.equal(getSendBudgetMs(input), 350);
  assert.equal(admit({...input, waitMs: 350, workMs: 250}), Admission.Wait);
  assert.equal(admit({...input, remainingMs: 249}), Admission.Refuse);
  assert.equal(getSendBudgetMs({...input, remainingMs: 5_000}), 1_550);
});

test('waiting prompts start one at a time when an engine is free, lowest rank number first', async () => {
  const {clock, started, add, setEngineFree, waiting} = createList(0);
  add('a');
  add('b');
  add('urgent', {rank: 0});
  await clock.advance(100);
  assert.deepEqual(started, []);
  setEngineFree(true);
  await clock.advance(8);
  assert.deepEqual(started, ['urgent']);
  await clock.advance(16);
  assert.deepEqual(started, ['urgent', 'a', 'b']);
  assert.equal(waiting.count(), 0);
});

// Guards against new callers that overtake those that were refused and waited as told.
test('callers that waited as told go first within their rank and share class', async () => {
  const {clock, started, add, setEngineFree, waiting} = createList(0);
  const waited = {hasWaited: true, service: 'ask'};
  add('over, waited', {...waited, isOverShare: true});
  add('new', {service: 'ask'});
  add('waited', waited);
  add('urgent', {rank: 0, service: 'ask'});
  const claim = {rank: 1, account: '', isOverShare: false, service: 'ask'};
  const yields = () => [
    waiting.mustYield(claim),
    waiting.mustYield({...claim, isOverShare: true}),
    waiting.mustYield({...claim, hasWaited: true}),
    waiting.mustYield({...claim, rank: 0}),
    waiting.mustYield({...claim, service: 'other'}),
  ];
  assert.deepEqual(yields(), [true, true, false, false, false]);
  setEngineFree(true);
  await clock.advance(16);
  assert.deepEqual(yields(), [false, true, false, false, false]);
  await clock.advance(16);
  assert.deepEqual(started, ['urgent', 'waited', 'new', 'over, waited']);
  assert.equal(waiting.mustYield({...claim, isOverShare: true}), false);
});

test('the number of nodes that start a prompt in one interval is limited by the number of engines', async () => {
  // With 8 engines, 4 starts are allowed per interval. The random number is always 0.5, so that nodes start a prompt in a fleet of 7 but not in one of 10.
  const few = createList(6);
  const many = createList(9);
  for (const {add, setEngineFree, clock} of [few, many]) {
    add('a');
    setEngineFree(true);
    await clock.advance(50);
  }
  assert.deepEqual(few.started, ['a']);
  assert.deepEqual(many.started, []);
});

test('at most two prompts are tried in one interval, however many wait', async () => {
  const {clock, add} = createList(0);
  let attempts = 0;
  for (let index = 0; index < 200; index++) {
    add(`p${index}`, {
      tryStart: () => {
        attempts++;
        return false;
      },
    });
  }
  await clock.advance(400);
  assert.ok(attempts <= 2 * 50, `${attempts} attempts in 50 intervals`);
});

test('a waiting prompt expires at its time, and a removed one does not start or expire', async () => {
  const {clock, started, add, setEngineFree} = createList(0);
  add('a');
  const leave = add('b');
  leave();
  await clock.advance(1_100);
  setEngineFree(true);
  await clock.advance(100);
  assert.deepEqual(started, ['a expired']);
});

test('the predicted wait of a new prompt follows from the latest starts', async () => {
  const {clock, add, setEngineFree, waiting} = createList(0);
  assert.equal(waiting.predictWaitMs(), 0);
  for (let index = 0; index < 20; index++) add(`p${index}`);
  await clock.advance(200);
  // Twenty prompts wait and none has started for 200 ms.
  assert.ok(waiting.predictWaitMs() >= 20 * 190);
  setEngineFree(true);
  await clock.advance(120);
  assert.ok(waiting.predictWaitMs() < 1_000);
});
