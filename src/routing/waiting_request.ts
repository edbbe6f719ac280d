/** Converts an open request to an item of the queues. */
import type {EnginePool} from './engine_table';
import {getRequestCount, getStepMs} from './estimate';
import type {OpenRequest} from './open_request';
import type {EstimatedPlan} from './placement';
import type {WaitingItem} from './pool_queues';

/** A queued request. */
export interface WaitingRequest extends WaitingItem {
  readonly entry: OpenRequest;
  readonly pool: EnginePool;
}

/** Creates the item; `estimate` is a plan that ignores whether engines have free capacity now. */
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

/** Returns the time that the request takes without work ahead of it, in milliseconds. */
function getServiceMs(estimate: EstimatedPlan | undefined): number {
  if (estimate === undefined) return 0;
  const {prediction} = estimate.choice;
  return estimate.completionMs - prediction.firstTokenMs + prediction.prefillMs;
}

/**
 * Returns the engine time that the request uses, in milliseconds: its prefill and its share of
 * each decode step. Without an estimate, returns its number of tokens as a substitute.
 */
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
