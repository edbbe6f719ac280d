/** Attaches request class, deadline, priority and servers to a request. */
import type {Clock} from '../runtime';
import {type Classification, getClassification} from './classify';
import type {RequestInput, SelectServers, ServerChoice} from './types';

/** Added to the priority of urgent requests, so that they precede all others. */
const URGENT_PRIORITY_OFFSET = 100;

/** A request with the attributes that the template and the headers give it. */
export interface AdmittedRequest<Input extends RequestInput> {
  readonly input: Input;
  readonly classification: Classification;
  /** When it arrived, on the node's monotonic clock. */
  readonly receivedAtMs: number;
  /** Deadline, in milliseconds from arrival. */
  readonly deadlineMs: number;
  /** When the answer must be complete, on the node's monotonic clock. */
  readonly deadlineAtMs: number;
  readonly priority: number;
  readonly choice: ServerChoice;
  /** True when it runs at most once and needs a claim. */
  readonly needsClaim: boolean;
}

/** Options of `createAdmittedRequest`. */
export interface AdmittedRequestOptions {
  readonly clock: Clock;
  readonly selectServers: SelectServers;
}

/** Classifies a request; its deadline is counted from this call. */
export function createAdmittedRequest<Input extends RequestInput>(
  input: Input,
  options: AdmittedRequestOptions,
): AdmittedRequest<Input> {
  const classification = getClassification(input.template, {
    kind: input.kind,
    target: getTarget(input),
  });
  const receivedAtMs = options.clock.getMonotonicMs();
  const deadlineMs = input.options.deadlineMs ?? classification.deadlineMs;
  const requestedPriority = Math.max(0, input.options.priority ?? 0);
  const priority = Math.min(URGENT_PRIORITY_OFFSET - 1, requestedPriority);
  return {
    input,
    classification,
    receivedAtMs,
    deadlineMs,
    deadlineAtMs: receivedAtMs + deadlineMs,
    priority: classification.urgent
      ? URGENT_PRIORITY_OFFSET + priority
      : priority,
    choice: options.selectServers(input.template, input.options.requestId),
    needsClaim: !classification.idempotent && !isReadOnly(input),
  };
}

/** Returns the name of the model or of the service. */
export function getTarget(input: RequestInput): string {
  return input.kind === 'model' ? input.model : input.service;
}

function isReadOnly(input: RequestInput): boolean {
  if (input.kind === 'model') return false;
  return input.method === 'GET' || input.method === 'HEAD';
}
