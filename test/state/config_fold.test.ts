/** The fold of `config`: operators' rights, concurrent changes, carried records, trimmed logs. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {LogRecord} from '../../src/control_services';
import {
  type ConfigEntry,
  type ConfigState,
  configStream,
  createStreamFold,
  encodeEnvelope,
  exportCarried,
  type StreamFold,
} from '../../src/state';
import {createAccountTemplate} from '../support/account_template';

const SEED = 43;
const ACCOUNTS = ['a1', 'b2', 'c3'];
const OPERATORS = ['petra', 'jan', 'mallory'];

type ConfigFold = StreamFold<ConfigState, ConfigEntry>;

/** A log of `config` records, and the fold of a process that has read all of them. */
function createConfigLog(): {
  records: LogRecord[];
  fold: ConfigFold;
  append: (entry: unknown) => ReturnType<ConfigFold['applyRecord']>;
} {
  const records: LogRecord[] = [];
  const fold = createStreamFold(configStream);
  return {records, fold, append};

  function append(entry: unknown): ReturnType<ConfigFold['applyRecord']> {
    const offset = records.length;
    const body = encodeEnvelope({
      version: 1,
      writer: 'w',
      sequence: offset + 1,
      entries: [entry],
    });
    const record = {offset, appendedAtMs: 1_000 * offset, body};
    records.push(record);
    return fold.applyRecord(record);
  }
}

/** Returns the part of the state that must be equal on all processes. */
function getComparable(state: ConfigState): unknown {
  return {
    templates: [...state.templates]
      .map(([account, stored]) => ({account, ...stored.toJSON()}))
      .sort((left, right) => (left.account < right.account ? -1 : 1)),
    keys: [...state.accountByKeyHash].sort(),
    retired: [...state.retired.keys()].sort(),
  };
}

interface Step {
  readonly kind: 'publish' | 'amend' | 'retire' | 'carry' | 'noise';
  readonly account: number;
  readonly operator: number;
  /** How many versions the operator, or records the carrying process, lags behind. */
  readonly lag: number;
  readonly value: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(
    'publish',
    'amend',
    'amend',
    'retire',
    'carry',
    'noise',
  ),
  account: fc.nat({max: ACCOUNTS.length - 1}),
  operator: fc.nat({max: OPERATORS.length - 1}),
  lag: fc.constantFrom(0, 0, 0, 1, 2),
  value: fc.integer({min: 1, max: 5}),
});

/** Returns the entry of a step; a lagging carrier uses the state of an older fold. */
function createStepEntry(
  step: Step,
  log: ReturnType<typeof createConfigLog>,
): unknown {
  const clientAccount = ACCOUNTS[step.account];
  const operator = OPERATORS[step.operator];
  const known = log.fold.getState().templates.get(clientAccount);
  const history = known?.history ?? [];
  const base = history[history.length - 1 - step.lag]?.version ?? 0;
  const template = createAccountTemplate(clientAccount, {
    deadline_ms: step.value * 100,
    // All accounts share the first key, so that the assignment of a shared key is tested too.
    api_key_sha256: ['e'.repeat(64), String(step.account).repeat(64)],
  });
  switch (step.kind) {
    case 'publish':
      return {kind: 'template-publish', operator, template};
    case 'amend':
      return {kind: 'template-amend', operator, baseVersion: base, template};
    case 'retire':
      return {
        kind: 'template-retire',
        operator,
        baseVersion: base,
        clientAccount,
      };
    case 'carry':
      return createCarry(log.records, clientAccount, step.lag);
    case 'noise':
      return {kind: 'from-a-newer-program'};
  }
}

function createCarry(
  records: readonly LogRecord[],
  clientAccount: string,
  lag: number,
): unknown {
  const asOfOffset = Math.max(0, records.length - lag);
  const fold = createStreamFold(configStream);
  for (const record of records.slice(0, asOfOffset)) fold.applyRecord(record);
  const state = fold.getState();
  const isKnown =
    state.templates.has(clientAccount) || state.retired.has(clientAccount);
  if (!isKnown) return {kind: 'from-a-newer-program'};
  return {
    kind: 'template-carry',
    asOfOffset,
    carried: exportCarried(state, clientAccount),
  };
}

test('a process that starts on a trimmed log has the same state after one carry period', () => {
  fc.assert(
    fc.property(
      fc.array(stepArbitrary, {minLength: 1, maxLength: 30}),
      fc.array(stepArbitrary, {maxLength: 6}),
      fc.nat(),
      (steps, moreSteps, cut) => {
        const laterSteps = [...moreSteps];
        const log = createConfigLog();
        const accepted = new Map<string, number>();
        for (const step of [...steps]) applyStep(step);
        const startOffset = 1 + (cut % steps.length);
        // Carried records alternate with changes, and the carrying processes lag behind these.
        for (const account of ACCOUNTS) {
          const step = laterSteps.pop();
          if (step !== undefined) applyStep(step);
          const maxLag = log.records.length - startOffset;
          const lag = Math.min(step?.lag ?? 0, maxLag);
          log.append(createCarry(log.records, account, lag));
        }
        for (const step of laterSteps) applyStep(step);

        const trimmedFold = createStreamFold(configStream);
        trimmedFold.advanceTo(startOffset);
        for (const record of log.records.slice(startOffset)) {
          trimmedFold.applyRecord(record);
        }
        assert.deepEqual(
          getComparable(trimmedFold.getState()),
          getComparable(log.fold.getState()),
        );

        function applyStep(step: Step): void {
          for (const applied of log.append(createStepEntry(step, log))) {
            const {entry, outcome} = applied;
            if (entry.kind === 'template-carry') continue;
            if (outcome.kind === 'rejected') continue;
            accepted.set(ACCOUNTS[step.account], outcome.position.offset);
          }
          const state = log.fold.getState();
          for (const [account, version] of accepted) {
            const known =
              state.templates.get(account) ?? state.retired.get(account);
            assert.equal(
              known?.current.version,
              version,
              'an accepted version is never reverted',
            );
          }
        }
      },
    ),
    {seed: SEED, numRuns: 300},
  );
});

test('a fold restored from a snapshot continues like the original', () => {
  fc.assert(
    fc.property(
      fc.array(stepArbitrary, {minLength: 2, maxLength: 20}),
      fc.nat(),
      (steps, cut) => {
        const log = createConfigLog();
        for (const step of steps) log.append(createStepEntry(step, log));
        const cutOffset = 1 + (cut % (steps.length - 1));
        const first = createStreamFold(configStream);
        for (const record of log.records.slice(0, cutOffset)) {
          first.applyRecord(record);
        }
        const second = createStreamFold(configStream);
        const copy: unknown = JSON.parse(
          JSON.stringify(first.exportSnapshot()),
        );
        assert.equal(second.importSnapshot(copy as never), true);
        for (const record of log.records) second.applyRecord(record);
        assert.deepEqual(
          getComparable(second.getState()),
          getComparable(log.fold.getState()),
        );
      },
    ),
    {seed: SEED, numRuns: 100},
  );
});

test('of two concurrent amendments the second is rejected with the operator and changes of the first', () => {
  const log = createConfigLog();
  log.append(createChange('template-publish', 'petra', 500));
  const [first] = log.append(createChange('template-amend', 'jan', 800, 0));
  const [second] = log.append(createChange('template-amend', 'petra', 900, 0));
  assert.equal(first.outcome.kind, 'accepted');
  assert.deepEqual(second.outcome, {
    kind: 'rejected',
    position: {offset: 2, index: 0},
    reason:
      'changed by jan: version 1 is in force, not 0 (jan: deadline_ms: 500 -> 800)',
  });
  const known = log.fold.getState().templates.get('a1');
  assert.equal(known?.template.deadline_ms, 800);
  assert.deepEqual(
    known?.history.map(version => [version.operator, version.change]),
    [
      ['petra', 'publish'],
      ['jan', 'amend'],
    ],
  );
});

test('only operators of a template can change or retire it, and it can be published again', () => {
  const log = createConfigLog();
  const outcomes = [
    createChange('template-publish', 'mallory', 1),
    createChange('template-publish', 'petra', 2),
    createChange('template-amend', 'mallory', 3, 1),
    createRetire('mallory', 1),
    createRetire('jan', 1),
    createChange('template-amend', 'petra', 4, 1),
    createChange('template-publish', 'petra', 5),
  ].map(entry => log.append(entry)[0].outcome.kind);
  assert.deepEqual(outcomes, [
    'rejected',
    'accepted',
    'rejected',
    'rejected',
    'accepted',
    'rejected',
    'accepted',
  ]);
  const known = log.fold.getState().templates.get('a1');
  assert.equal(known?.template.deadline_ms, 5);
  assert.deepEqual(
    known?.history.map(version => version.change),
    ['publish', 'retire', 'publish'],
  );
});

test('a template with unknown keys of a newer program is accepted as the same version', () => {
  const log = createConfigLog();
  log.append(createChange('template-publish', 'petra', 500));
  const amended = createAccountTemplate('a1', {deadline_ms: 700});
  const [applied] = log.append({
    kind: 'template-amend',
    operator: 'jan',
    baseVersion: 0,
    template: {
      ...amended,
      from_newer: 1,
      limits: {...amended.limits, from_newer: 2},
    },
  });
  assert.equal(applied.outcome.kind, 'accepted');
  const state = log.fold.getState();
  assert.equal(state.templates.get('a1')?.template.deadline_ms, 700);
  const carried = exportCarried(state, 'a1').template as {from_newer: number};
  assert.equal(
    carried.from_newer,
    1,
    'unknown keys are kept for newer programs',
  );
});

function createChange(
  kind: 'template-publish' | 'template-amend',
  operator: string,
  deadlineMs: number,
  baseVersion = 0,
): unknown {
  const template = createAccountTemplate('a1', {deadline_ms: deadlineMs});
  return {kind, operator, baseVersion, template};
}

function createRetire(operator: string, baseVersion: number): unknown {
  return {
    kind: 'template-retire',
    operator,
    baseVersion,
    clientAccount: 'a1',
  };
}
