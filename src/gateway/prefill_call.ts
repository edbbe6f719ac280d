/** Sends the prompt of a request to a prefill engine. */
import {Verdict} from '../verdict';
import type {AnswerTransport} from './backend_call';
import type {FlowContext} from './flow_context';
import type {PrefillPlacement} from './placement';
import type {RequestTask} from './request_task';
import {isMismatchedAnswer, sendToServer} from './server_call';
import {createBoundedBody} from './bounded_body';
import {watchForStall} from './stall_watch';
import type {LivenessCheck} from './engine_liveness';
import type {CallFailure} from './types';

/** A prefill call in progress. */
export interface PrefillCall {
  cancel(): void;
}

/** Options of the call. */
export interface PrefillCallOptions {
  readonly context: FlowContext;
  readonly task: RequestTask;
  readonly placement: PrefillPlacement;
  /** Called with the handle of the KV cache and the duration of the call, in milliseconds. */
  readonly onPrefilled: (handle: string, observedMs: number) => void;
  /** Predicted time to prefill the prompt if the engine has nothing cached, in milliseconds. */
  readonly uncachedMs: number;
  /** Returns the time left until the first event must be sent to the caller, in milliseconds. */
  readonly getBudgetMs: () => number;
  /** Called when the engine is late but has stated that it lives. */
  readonly onLate: (check: LivenessCheck) => void;
  readonly onFailure: (failure: CallFailure) => void;
}

/** Additional time before a prefill engine that has not answered is asked for its report, in milliseconds. */
const STALL_SLACK_MS = 400;

/** Sends the prompt. Exactly one of the callbacks is called, unless the call is cancelled. */
export function startPrefillCall(options: PrefillCallOptions): PrefillCall {
  const {context, task, placement} = options;
  const {clock, health, liveness, protocol} = context;
  const {exchange} = task;
  const {server} = placement;
  const sentAtMs = clock.getMonotonicMs();
  const body = createBoundedBody();
  let isDone = false;
  let answer: Pick<CallFailure, 'evidence' | 'hasRequestId'> = {};
  const watch = watchForStall({
    clock,
    health,
    liveness,
    server,
    predictedMs: placement.waitMs + placement.prefillMs,
    uncachedMs: placement.waitMs + options.uncachedMs,
    slackMs: STALL_SLACK_MS,
    getSpareMs: () => options.getBudgetMs() - placement.prefillMs,
    onAlive: options.onLate,
    onStall: reason => {
      call.cancel();
      fail({
        ...createFailure(reason, 'prefill did not complete in time'),
        evidence: call.getEvidence(),
      });
    },
  });
  const call = sendToServer({
    context,
    task,
    server,
    handler: {
      onAnswer: checkAnswer,
      onData: handleChunk,
      onEnd: handleEnd,
      onFailure: fail,
      // The body is JSON, which does not parse when it is cut short.
      needsProof: () => false,
    },
    sendOptions: {rank: task.rank, isPrefillOnly: true},
  });
  return {
    cancel: () => {
      isDone = true;
      watch.cancel();
      call.cancel();
    },
  };

  function checkAnswer(
    status: number,
    rawHeaders: readonly string[],
    {evidence}: AnswerTransport,
  ): CallFailure | void {
    const head = protocol.parseAnswer(status, rawHeaders);
    answer = {evidence, hasRequestId: head.requestId !== undefined};
    const isMismatched = isMismatchedAnswer(head, exchange);
    if (status === 200 && !isMismatched) return;
    return {
      ...createFailure(
        isMismatched ? 'mismatch' : 'rejected',
        `prefill engine answered ${status}`,
      ),
      status,
    };
  }

  function handleChunk(chunk: Buffer): void {
    if (isDone || body.add(chunk)) return;
    call.cancel();
    fail(createFailure('mismatch', 'prefill answer exceeds the size limit'));
  }

  function handleEnd(): void {
    const handle = protocol.parsePrefillAnswer(body.read());
    if (handle === undefined) {
      fail(
        createFailure('mismatch', 'prefill answer contains no KV cache handle'),
      );
      return;
    }
    if (isDone) return;
    isDone = true;
    watch.cancel();
    health.recordResponse(server.id);
    liveness.recordCompletion(server.id);
    options.onPrefilled(handle, clock.getMonotonicMs() - sentAtMs);
  }

  function fail(failure: CallFailure): void {
    if (isDone) return;
    isDone = true;
    watch.cancel();
    options.onFailure({...answer, ...failure});
  }
}

/** The verdict is always `NotRun`, because a prefill does not count as running the request. */
function createFailure(
  reason: CallFailure['reason'],
  message: string,
): CallFailure {
  return {verdict: Verdict.NotRun, reason, message};
}
