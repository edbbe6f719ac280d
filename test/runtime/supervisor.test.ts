/** Tests of the supervisor on virtual time: restarts, restart limits, groups and stop order. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createSupervisor,
  createVirtualClock,
  type SupervisorEvent,
  type TaskSpec,
} from '../../src/runtime';

function createFixture() {
  const clock = createVirtualClock();
  const events: SupervisorEvent[] = [];
  const supervisor = createSupervisor({
    clock,
    onEvent: event => void events.push(event),
    stopTimeoutMs: 1_000,
  });
  return {clock, events, supervisor};
}

/** Creates a task that runs until its signal is aborted. It fails at once on each start, counted from 1, for which `fails` returns true. */
function createTask(
  name: string,
  log: string[],
  fails: (start: number) => boolean = () => false,
): TaskSpec {
  let starts = 0;
  return {
    name,
    run: signal => {
      log.push(`start ${name}`);
      if (fails(++starts)) return Promise.reject(new Error('broken'));
      return new Promise(resolve =>
        signal.addEventListener('abort', () => {
          log.push(`end ${name}`);
          resolve();
        }),
      );
    },
  };
}

test('a failed task is restarted with delays that double', async () => {
  const {clock, events, supervisor} = createFixture();
  const log: string[] = [];
  const task = supervisor.add(createTask('a', log, start => start <= 3));
  await clock.advance(10_000);
  const delays = events.map(event =>
    event.kind === 'task-restarted' ? event.delayMs : -1,
  );
  assert.deepEqual(delays, [100, 200, 400]);
  assert.equal(task.getState(), 'running');
  assert.equal(log.length, 4);
});

test('failures more than a window apart do not use up the restart budget', async () => {
  const {clock, supervisor} = createFixture();
  let starts = 0;
  const task = supervisor.add({
    name: 'a',
    run: async () => {
      starts++;
      await clock.sleep(61_000);
      throw new Error('broken');
    },
  });
  await clock.advance(1_000_000);
  assert.equal(task.getState(), 'running');
  assert.ok(starts > 10);
});

test('a task that fails permanently stops the others in reverse order of adding', async () => {
  const {clock, events, supervisor} = createFixture();
  const log: string[] = [];
  supervisor.add(createTask('first', log));
  supervisor.add(createTask('second', log));
  supervisor.add({
    ...createTask('broken', log, () => true),
    restart: {maxRestarts: 2},
  });
  await clock.advance(10_000);
  assert.deepEqual(await supervisor.waitForEnd(), {
    kind: 'failed',
    task: 'broken',
    error: 'broken',
  });
  assert.deepEqual(log.slice(-2), ['end second', 'end first']);
  const failed = events.filter(event => event.kind === 'task-failed');
  assert.equal(failed.length, 1);
  assert.throws(() => supervisor.add(createTask('late', log)), /stopped/);
});

test('a group with a permanently failed task is restarted as a whole by its parent', async () => {
  const {clock, events, supervisor} = createFixture();
  const log: string[] = [];
  let groups = 0;
  supervisor.addGroup({name: 'group'}, group => {
    const number = ++groups;
    group.add(createTask(`sibling-${number}`, log));
    group.add({
      ...createTask(`child-${number}`, log, () => number === 1),
      restart: {mode: 'never'},
    });
  });
  await clock.advance(10_000);
  assert.equal(groups, 2);
  assert.deepEqual(log, [
    'start sibling-1',
    'start child-1',
    'end sibling-1',
    'start sibling-2',
    'start child-2',
  ]);
  const kinds = events.map(event => `${event.kind} ${event.task}`);
  assert.deepEqual(kinds, [
    'task-failed child-1',
    'task-ended sibling-1',
    'task-restarted group',
  ]);
  const stopped = supervisor.stop();
  await clock.advance(1);
  await stopped;
  assert.deepEqual(log.slice(-2), ['end child-2', 'end sibling-2']);
});

test('a task that exceeds the stop timeout is reported and does not block the stop', async () => {
  const {clock, events, supervisor} = createFixture();
  const log: string[] = [];
  supervisor.add(createTask('good', log));
  supervisor.add({name: 'deaf', run: () => new Promise(() => undefined)});
  const stopped = supervisor.stop();
  await clock.advance(1_001);
  await stopped;
  assert.deepEqual(
    events.map(event => event.kind),
    ['task-stuck', 'task-ended'],
  );
});

test('a pending restart is cancelled by the stop', async () => {
  const {clock, supervisor} = createFixture();
  const log: string[] = [];
  supervisor.add(createTask('a', log, () => true));
  await clock.advance(50);
  const stopped = supervisor.stop();
  await clock.advance(0);
  await stopped;
  assert.deepEqual(log, ['start a']);
  assert.equal(clock.getPendingTimers(), 0);
});
