/** The place of one model request among the client accounts; without accounts, requests are served as they come. */
import {hash} from 'node:crypto';
import {
  type CallerAttempt,
  computeSpreadRetryMs,
  type KnownShare,
} from '../shares';
import type {FlowContext} from './flow_context';
import type {RequestTask} from './request_task';
import {computeRetryAfterMs, MIN_RETRY_AFTER_MS} from './stream_admission';
import type {PromptClaim} from './waiting_prompts';

/** The share of one model request. */
export interface PromptShare {
  /** Records the predicted engine time, in milliseconds; the first time, decides whether the account's share covers it. */
  recordWork(workMs: number): void;
  recordStart(): void;
  /** Records that the prompt waits or was refused because engines are busy. */
  recordShortage(): void;
  isOverShare(): boolean;
  /** True when the prompt has to leave the next engine to a waiting one whose caller waited as told. */
  mustYield(): boolean;
  /** Returns the time that a caller that came back early has left to wait, in milliseconds, while engines are short: otherwise it would try more often than those that wait. */
  tryGetEarlyMs(): number | undefined;
  /** Records that the caller was told to retry after a time, in milliseconds. */
  recordTold(retryAfterMs: number): void;
  getClaim(): PromptClaim & {readonly workMs: number};
  /** Predicts how long the prompt would wait at this node, in milliseconds. */
  predictWaitMs(): number;
  /** Logs and counts a refusal for want of engines; returns its reason and the time after which the caller may retry, in milliseconds. */
  refuse(predictedMs: number): {reason: string; retryAfterMs: number};
}

/** Reason of a refusal because other accounts use less than their shares. */
export const SHARE_REASON = 'account-share';
/** Reason of a refusal because the caller did not wait as it was told. */
export const EARLY_REASON = 'retried-early';
export const BUSY_REASON = 'engines are busy';

/** Creates the share of a request. */
export function createPromptShare(
  context: Pick<
    FlowContext,
    'clock' | 'shares' | 'waitingPrompts' | 'metrics' | 'getRandom'
  >,
  task: RequestTask,
): PromptShare {
  const {shares, waitingPrompts, metrics} = context;
  let workMs: number | undefined;
  let exceeded: KnownShare | undefined;
  let hasWaited = false;
  let earlyMs: number | undefined;
  let attempt: CallerAttempt | undefined;
  return {
    recordWork,
    recordStart: () => {
      if (task.hasAccounts()) shares.recordStart(workMs ?? 0);
    },
    recordShortage: () => {
      if (task.hasAccounts()) shares.recordShortage();
    },
    isOverShare,
    mustYield: () =>
      task.hasAccounts() &&
      !task.exchange.hasAnswerBegun() &&
      waitingPrompts.mustYield(getClaim()),
    tryGetEarlyMs: () => earlyMs,
    recordTold,
    getClaim,
    predictWaitMs: () =>
      waitingPrompts.predictWaitMs(task.hasAccounts() ? getClaim() : undefined),
    refuse,
  };

  function recordWork(predictedMs: number): void {
    if (workMs !== undefined) return;
    workMs = predictedMs;
    if (!task.hasAccounts()) return;
    recordReturn();
    const {rank, account} = getClaim();
    const work = {account, rank, workMs};
    shares.recordArrival(work);
    exceeded = shares.tryGetExceeded(work);
    if (exceeded === undefined) return;
    metrics.recordOverShare('exceeded', exceeded.source);
    task.log('prompt exceeds the share of its account', {
      workMs: Math.round(workMs),
      ...formatShare(exceeded),
    });
  }

  function recordReturn(): void {
    // Without it, every prompt would be digested.
    if (shares.told.count() === 0) return;
    const known = shares.told.tryTake(
      getAttempt(),
      context.clock.getMonotonicMs(),
    );
    if (known === undefined) return;
    hasWaited = known.hasWaited;
    if (known.lateMs < 0 && !hasWaited && shares.isShort()) {
      earlyMs = Math.max(MIN_RETRY_AFTER_MS, -known.lateMs);
    }
    metrics.recordReturn(hasWaited ? 'as-told' : 'early');
    task.log('refused caller returned', {
      hasWaited,
      lateMs: Math.round(known.lateMs),
      isRefused: earlyMs !== undefined,
      account: task.account?.name,
    });
  }

  function recordTold(retryAfterMs: number): void {
    if (!task.hasAccounts() || task.exchange.hasAnswerBegun()) return;
    const nowMs = context.clock.getMonotonicMs();
    shares.told.record(getAttempt(), retryAfterMs, nowMs);
  }

  function getAttempt(): CallerAttempt {
    return (attempt ??= createAttempt(task));
  }

  /** A request whose answer has begun is not held back: its caller would lose the part that it has. */
  function isOverShare(): boolean {
    return exceeded !== undefined && !task.exchange.hasAnswerBegun();
  }

  function getClaim(): PromptClaim & {readonly workMs: number} {
    return {
      rank: task.rank,
      account: task.account?.name ?? '',
      isOverShare: isOverShare(),
      hasWaited,
      service: task.service,
      workMs: workMs ?? 0,
    };
  }

  function refuse(predictedMs: number): {
    reason: string;
    retryAfterMs: number;
  } {
    if (!task.hasAccounts()) {
      task.log('refused: cannot be served in time', {predictedMs});
      const retryAfterMs = computeRetryAfterMs(task.route, predictedMs);
      return {reason: BUSY_REASON, retryAfterMs};
    }
    shares.recordShortage();
    const retryAfterMs = computeSpreadRetryMs({
      predictedMs,
      remainingMs: task.getRemainingMs(),
      minMs: MIN_RETRY_AFTER_MS,
      random: context.getRandom(),
    });
    const share = isOverShare() ? exceeded : undefined;
    if (share === undefined) {
      task.log('refused: cannot be served in time', {
        predictedMs,
        account: task.account?.name,
      });
      return {reason: BUSY_REASON, retryAfterMs};
    }
    metrics.recordOverShare('refused', share.source, share.account);
    task.log(`refused: ${SHARE_REASON}`, {
      predictedMs,
      retryAfterMs,
      ...formatShare(share),
    });
    return {reason: SHARE_REASON, retryAfterMs};
  }
}

/** What the caller asks for is the same at each of its attempts, unlike its request id. */
function createAttempt(task: RequestTask): CallerAttempt {
  const {method, target, request, receivedAtMs} = task.exchange;
  const {model, deadlineMs} = request;
  const asked = [task.route.name, method, target, model];
  return {
    account: task.account?.name ?? '',
    key: hash('sha256', JSON.stringify(asked), 'base64url'),
    ...(deadlineMs === undefined
      ? {}
      : {deadlineAtMs: receivedAtMs + deadlineMs}),
  };
}

/** Formats a share for the log. */
export function formatShare(
  share: KnownShare,
): Readonly<Record<string, unknown>> {
  const {account, fraction, source, ageMs, arrivedMs, startedMs} = share;
  return {
    account,
    share: Number(fraction.toFixed(3)),
    source,
    ageMs,
    arrivedMsPerS: Math.round(arrivedMs),
    startedMsPerS: Math.round(startedMs),
  };
}
