/** Lets a prefill engine read the prompt of a request. */
import type {Timer} from '../runtime/types';
import {Verdict} from '../verdict';
import type {FlowContext} from './flow_context';
import type {PrefillPlace} from './placement';
import type {RequestTask} from './request_task';
import type {CallFailure} from './types';

/** A prompt that is being read. */
export interface PrefillCall {
  cancel(): void;
}

/** Options of the call. */
export interface PrefillCallOptions {
  readonly context: FlowContext;
  readonly task: RequestTask;
  readonly place: PrefillPlace;
  /** Called with the handle of the KV cache and the time that it took, in milliseconds. */
  readonly onRead: (handle: string, observedMs: number) => void;
  readonly onFailure: (failure: CallFailure) => void;
}

/** Slack before a prefill engine that does not answer is given up, in milliseconds. */
const STALL_SLACK_MS = 400;
/** How many times longer than predicted a prefill may take. */
const STALL_FACTOR = 2;
/** Interval of looking again at a prefill engine that is late, in milliseconds. */
const STALL_CHECK_MS = 150;

/** Sends the call. Exactly one of the callbacks comes, unless it is cancelled. */
export function startPrefillCall(options: PrefillCallOptions): PrefillCall {
  const {context, task, place} = options;
  const {clock, health, protocol} = context;
  const {exchange, route} = task;
  const {server} = place;
  const sentAtMs = clock.getMonotonicMs();
  const predictedMs = place.waitMs + place.readMs;
  const chunks: Buffer[] = [];
  let isDone = false;
  const call = context.connections.call({
    server,
    method: exchange.method,
    path: exchange.target,
    headers: protocol.buildHeaders(exchange.rawHeaders, {
      deadlineMs: task.getRemainingMs(),
      serverId: server.id,
      rank: route.rank,
      isPrefillOnly: true,
    }),
    ...(exchange.body === undefined ? {} : {body: exchange.body}),
    handler: {
      onAnswer: checkAnswer,
      onData: chunk => chunks.push(chunk),
      onEnd: handleEnd,
      onFailure: fail,
    },
  });
  let timer: Timer = clock.schedule(
    STALL_FACTOR * predictedMs + STALL_SLACK_MS,
    checkStall,
  );
  return {
    cancel: () => {
      isDone = true;
      timer.cancel();
      call.cancel();
    },
  };

  function checkAnswer(
    status: number,
    rawHeaders: readonly string[],
  ): CallFailure | void {
    const facts = protocol.parseAnswer(status, rawHeaders);
    const isOther =
      facts.requestId !== undefined &&
      facts.requestId !== exchange.request.requestId;
    if (status === 200 && !isOther) return;
    return createFailure(
      isOther ? 'mismatch' : 'rejected',
      `prefill engine answered ${status}`,
    );
  }

  function handleEnd(): void {
    const handle = protocol.parsePrefillAnswer(Buffer.concat(chunks));
    if (handle === undefined) {
      fail(createFailure('mismatch', 'answer names no KV cache'));
      return;
    }
    if (isDone) return;
    isDone = true;
    timer.cancel();
    health.recordSign(server.id);
    options.onRead(handle, clock.getMonotonicMs() - sentAtMs);
  }

  /** An engine that answers others is busy beyond what is known, and gets more time. */
  function checkStall(): void {
    if (health.hasRecentSign(server.id)) {
      timer = clock.schedule(STALL_CHECK_MS, checkStall);
      return;
    }
    call.cancel();
    fail(createFailure('stalled', 'the prompt was not read in time'));
  }

  function fail(failure: CallFailure): void {
    if (isDone) return;
    isDone = true;
    timer.cancel();
    options.onFailure(failure);
  }
}

/** Reading a prompt is no run, whatever became of it. */
function createFailure(
  reason: CallFailure['reason'],
  message: string,
): CallFailure {
  return {verdict: Verdict.NotRun, reason, message};
}
