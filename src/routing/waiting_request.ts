/** Makes an open request into an item of the waiting room. */
import type {EnginePool} from './engine_table';
import {getRequestCount, getStepMs} from './estimate';
import type {OpenRequest} from './open_request';
import type {EstimatedPlan} from './placement';
import type {WaitingItem} from './pool_queues';

/** A waiting request. */
export interface WaitingRequest extends WaitingItem {
  readonly entry: OpenRequest;
  readonly pool: EnginePool;
}

/** Creates the item; `estimate` is a plan that ignores the engines' present room. */
export function createWaitingRequest(
  entry: OpenRequest,
  estimate: EstimatedPlan | undefined,
  nowMs: number,
): WaitingRequest {
  const {request, job} = entry;
  return {
    entry,
    pool: entry.pool,
    clientAccount: request.clientAccount,
    weight: request.weight,
    isUrgent: request.urgent,
    priority: request.priority,
    latestStartMs: request.deadlineAtMs - getServiceMs(estimate),
    costMs: getCostMs(entry, estimate, nowMs),
    tokens: job.promptTokens + job.outputTokens,
  };
}

/** Time that the request takes once it starts, without what is ahead of it. */
function getServiceMs(estimate: EstimatedPlan | undefined): number {
  if (estimate === undefined) return 0;
  const {prediction} = estimate.choice;
  return estimate.completionMs - prediction.firstTokenMs + prediction.prefillMs;
}

/** Engine time that the request takes from others: its prefill and its part of each step. */
function getCostMs(
  entry: OpenRequest,
  estimate: EstimatedPlan | undefined,
  nowMs: number,
): number {
  const {job} = entry;
  if (estimate === undefined) return job.promptTokens + job.outputTokens;
  const {engine, prediction} = estimate.choice;
  const {report} = engine.load;
  const requests = getRequestCount(engine.load, nowMs) + 1;
  const stepMs = report === undefined ? 1 : getStepMs(report, requests);
  const batch = Math.min(requests, report?.maxRunning ?? 1);
  return prediction.prefillMs + (job.outputTokens * stepMs) / batch;
}
