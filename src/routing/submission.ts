/** Decides whether a submitted request starts, waits or is refused. */
import type {RequestFailure} from '../verdict';
import {createOverloadedFailure, tryGetDeadlineRefusal} from './admission';
import type {OpenRequest} from './open_request';
import type {EstimatedPlan, Placement} from './placement';
import type {PoolQueues} from './pool_queues';
import {createWaitingRequest, type WaitingRequest} from './waiting_request';

/** What becomes of a submitted request. */
export type Submission =
  | {readonly kind: 'start'; readonly plan: EstimatedPlan}
  | {readonly kind: 'refuse'; readonly failure: RequestFailure}
  | {
      readonly kind: 'wait';
      readonly item: WaitingRequest;
      /** Predicted wait, in milliseconds. */
      readonly waitMs: number;
    };

/** What the decision depends on besides the request. */
export interface SubmissionContext {
  readonly placement: Pick<Placement, 'tryPlan'>;
  readonly poolQueues: Pick<
    PoolQueues<WaitingRequest>,
    'tryGetQueue' | 'predictWaitMs' | 'canAdd'
  >;
  readonly isQueueing: boolean;
  readonly nowMs: number;
}

/** Decides on a request. */
export function chooseSubmission(
  entry: OpenRequest,
  context: SubmissionContext,
): Submission {
  const {placement, poolQueues, isQueueing, nowMs} = context;
  if (poolQueues.tryGetQueue(entry.pool) === undefined || !isQueueing) {
    const plan = placement.tryPlan(entry, {needsCapacity: isQueueing});
    if (plan !== undefined) return chooseStart(entry, plan, context);
  }
  const estimate = placement.tryPlan(entry, {needsCapacity: false});
  const item = createWaitingRequest(entry, estimate, nowMs);
  const waitMs = poolQueues.predictWaitMs(item);
  const refusal =
    estimate && tryGetRefusal(entry, {waitMs, plan: estimate}, context);
  if (refusal !== undefined) return {kind: 'refuse', failure: refusal};
  if (!poolQueues.canAdd(item)) {
    const failure = createOverloadedFailure('the queue is full', waitMs);
    return {kind: 'refuse', failure};
  }
  return {kind: 'wait', item, waitMs};
}

/** Starts a request that waits for no other one, unless it would miss its deadline. */
export function chooseStart(
  entry: OpenRequest,
  plan: EstimatedPlan,
  context: Pick<SubmissionContext, 'isQueueing' | 'nowMs'>,
): Extract<Submission, {readonly kind: 'start' | 'refuse'}> {
  const failure = tryGetRefusal(entry, {waitMs: 0, plan}, context);
  return failure === undefined
    ? {kind: 'start', plan}
    : {kind: 'refuse', failure};
}

function tryGetRefusal(
  entry: OpenRequest,
  {waitMs, plan}: {readonly waitMs: number; readonly plan: EstimatedPlan},
  {isQueueing, nowMs}: Pick<SubmissionContext, 'isQueueing' | 'nowMs'>,
): RequestFailure | undefined {
  if (!isQueueing) return undefined;
  return tryGetDeadlineRefusal({
    waitMs,
    completionMs: plan.completionMs,
    timeToDeadlineMs: entry.request.deadlineAtMs - nowMs,
  });
}
