/** Tests what a model request does with its account's share. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createGatewayMetrics} from '../../src/gateway/gateway_metrics';
import {createPromptShare} from '../../src/gateway/prompt_share';
import type {RequestTask} from '../../src/gateway/request_task';
import {createVirtualClock} from '../../src/runtime';
import {createToldCallers, type ToldCallers} from '../../src/shares';
import type {PromptClaim} from '../../src/gateway/waiting_prompts';

function createShare(options: {
  hasAccounts: boolean;
  isCovered?: boolean;
  hasAnswerBegun?: boolean;
  told?: ToldCallers;
  nowMs?: number;
}) {
  const lines: string[] = [];
  const calls: string[] = [];
  const claims: Array<PromptClaim | undefined> = [];
  const metrics = createGatewayMetrics();
  const task = {
    rank: 2,
    route: {name: 'ask', objectiveMs: 400},
    account: {name: 'large'},
    service: 'ask',
    exchange: {
      hasAnswerBegun: () => options.hasAnswerBegun === true,
      method: 'POST',
      target: '/ask/',
      // The time left that the caller states decreases.
      request: {deadlineMs: 9_000 - (options.nowMs ?? 0)},
      receivedAtMs: options.nowMs ?? 0,
    },
    hasAccounts: () => options.hasAccounts,
    getRemainingMs: () => 3_000,
    log: (message: string) => lines.push(message),
  } as unknown as RequestTask;
  const share = createPromptShare(
    {
      metrics,
      getRandom: () => 0.5,
      clock: {
        ...createVirtualClock(),
        getMonotonicMs: () => options.nowMs ?? 0,
      },
      waitingPrompts: {
        add: () => () => undefined,
        count: () => 0,
        mustYield: claim => claim.hasWaited !== true,
        predictWaitMs: claim => {
          claims.push(claim);
          return 0;
        },
      },
      shares: {
        told: options.told ?? createToldCallers(),
        isShort: () => true,
        getService: () => assert.fail(),
        tryGetService: () => undefined,
        start: () => undefined,
        stop: () => undefined,
        handlePlan: () => undefined,
        tryCreateReport: () => undefined,
        recordArrival: () => calls.push('arrival'),
        recordStart: workMs => calls.push(`start ${workMs}`),
        recordShortage: () => calls.push('shortage'),
        predictExceeded: () => undefined,
        tryGetExceeded: ({account, rank}) =>
          options.isCovered === true
            ? undefined
            : {
                account,
                rank,
                fraction: 0.25,
                source: 'fleet',
                ageMs: 300,
                arrivedMs: 2_000,
                startedMs: 1_000,
              },
      },
    },
    task,
  );
  return {share, metrics, lines, calls, claims};
}

test('a prompt over the share of its account is refused for that reason, and counted', () => {
  const {share, metrics, lines, calls} = createShare({hasAccounts: true});
  share.recordWork(80);
  // A retry within the gateway is the same work.
  share.recordWork(120);
  share.recordStart();
  assert.equal(share.isOverShare(), true);
  assert.deepEqual(share.refuse(900), {
    reason: 'account-share',
    retryAfterMs: 500,
  });
  assert.deepEqual(calls, ['arrival', 'start 80', 'shortage']);
  assert.deepEqual(lines, [
    'prompt exceeds the share of its account',
    'refused: account-share',
  ]);
  assert.match(
    metrics.render(),
    /account_share_refusals_total\{account="large"\} 1/,
  );
});

test('a prompt within its share, or whose answer has begun, is not held back for its account', () => {
  const covered = createShare({hasAccounts: true, isCovered: true});
  covered.share.recordWork(80);
  assert.equal(covered.share.isOverShare(), false);
  assert.equal(covered.share.refuse(900).reason, 'engines are busy');
  const begun = createShare({hasAccounts: true, hasAnswerBegun: true});
  begun.share.recordWork(80);
  assert.equal(begun.share.isOverShare(), false);
});

test('without accounts, waits, refusals and retries are those of before', () => {
  const {share, lines, calls, claims} = createShare({hasAccounts: false});
  share.recordWork(80);
  share.recordShortage();
  share.recordStart();
  share.predictWaitMs();
  assert.deepEqual(claims, [undefined]);
  assert.deepEqual(share.refuse(2_900), {
    reason: 'engines are busy',
    retryAfterMs: 2_500,
  });
  assert.deepEqual(lines, ['refused: cannot be served in time']);
  assert.deepEqual(calls, []);
});

// Guards against callers that are served more often because they retry at once.
test('a caller that waited as told goes first, one that came early is refused', () => {
  const told = createToldCallers();
  const send = (nowMs: number) => {
    const {share, lines} = createShare({hasAccounts: true, told, nowMs});
    share.recordWork(80);
    return {share, returned: lines.includes('refused caller returned')};
  };
  const first = send(0);
  first.share.recordTold(800);
  const early = send(100);
  assert.equal(early.share.tryGetEarlyMs(), 700);
  early.share.recordTold(800);
  const patient = send(900);
  const all = [first, early, patient];
  assert.deepEqual(
    all.map(item => item.returned),
    [false, true, true],
  );
  assert.deepEqual(
    all.map(({share}) => share.mustYield()),
    [true, true, false],
  );
});

test('at most 16 accounts are labels of the metrics', () => {
  const metrics = createGatewayMetrics();
  for (let index = 0; index < 40; index++) {
    metrics.recordOverShare('refused', 'fleet', `account-${index}`);
  }
  const labels = metrics.render().match(/refusals_total\{account=/g);
  assert.equal(labels?.length, 17);
});
