/** Sends a request to a decode engine and relays the stream of the answer. */
import {Verdict} from '../verdict';
import {createAnswerRelay, type RelayOptions} from './answer_relay';
import {computeTransferMs} from './engine_costs';
import type {EventSplitter} from './event_splitter';
import type {FlowContext} from './flow_context';
import type {RequestTask} from './request_task';
import {sendToServer} from './server_call';
import {type StallReason, watchForStall} from './stall_watch';
import type {
  BackendEntry,
  CallFailure,
  EngineLimits,
  KvReference,
  ModelRequest,
} from './types';

/** A decode call in progress. */
export interface DecodeCall {
  cancel(): void;
  /** True once the request has been written to a connection. */
  isSent(): boolean;
}

/** Options of the call. */
export interface DecodeCallOptions {
  readonly context: FlowContext;
  readonly task: RequestTask;
  readonly engine: EngineLimits;
  readonly model: ModelRequest;
  readonly server: BackendEntry;
  /** KV cache to fetch; when absent, the engine prefills the prompt itself. */
  readonly kv?: KvReference;
  /** Predicted wait for a slot or for the prefills queued before this one, in milliseconds. */
  readonly waitMs: number;
  /** Predicted time in which the engine prefills the prompt itself, in milliseconds; 0 when it fetches the KV cache. */
  readonly prefillMs: number;
  /** The same if the engine has nothing cached. */
  readonly uncachedMs: number;
  /** Present when the stream can be resumed on another server. */
  readonly splitter?: EventSplitter;
  /** True while the request may run on one more server. */
  readonly canRunAgain: () => boolean;
  /** Returns the time left until the first event must be sent to the caller, in milliseconds. */
  readonly getBudgetMs: () => number;
  /** Called when the head of the answer has arrived. */
  readonly onHead: () => void;
  readonly onEnd: RelayOptions['onEnd'];
  readonly onFailure: (failure: CallFailure) => void;
}

/** Additional time before a decode engine whose stream has not started is asked for its report, in milliseconds. */
const STALL_SLACK_MS = 600;

/** Sends the request. */
export function startDecodeCall(options: DecodeCallOptions): DecodeCall {
  const {context, task, server, splitter, kv} = options;
  const {clock, health, liveness, protocol} = context;
  const {exchange, route} = task;
  const lastEventId = splitter?.getLastId();
  const {model, engine} = options;
  const transferMs = computeTransferMs(model.promptTokens, engine, true);
  const watch = watchForStall({
    clock,
    health,
    liveness,
    server,
    predictedMs: options.waitMs + transferMs + options.prefillMs,
    uncachedMs: options.waitMs + transferMs + options.uncachedMs,
    slackMs: STALL_SLACK_MS,
    getSpareMs: () => options.getBudgetMs() - transferMs - options.prefillMs,
    onStall: handleStall,
  });
  const relay = createAnswerRelay({
    task,
    protocol,
    isEventStream: true,
    isErrorRetryable: () => route.isResumable && options.canRunAgain(),
    ...(splitter === undefined ? {} : {splitter}),
    onRun: () => context.recordRun(task.account?.name),
    onHead: () => {
      watch.cancel();
      health.recordResponse(server.id);
      liveness.recordCompletion(server.id);
      options.onHead();
    },
    onEnd: (status, isFramed) => {
      watch.cancel();
      options.onEnd(status, isFramed);
    },
    onFailure: failure => {
      watch.cancel();
      options.onFailure(failure);
    },
  });
  const call = sendToServer({
    context,
    task,
    server,
    handler: relay,
    sendOptions: {
      rank: task.rank,
      ...(kv === undefined ? {} : {kv}),
      ...(lastEventId === undefined ? {} : {lastEventId}),
    },
  });
  relay.attach(call);
  return {
    cancel: () => {
      watch.cancel();
      call.cancel();
    },
    isSent: call.isSent,
  };

  /** Fails the call if it can be retried. Otherwise keeps waiting, and only records the engine's failure for later requests. */
  function handleStall(reason: StallReason): void {
    if (task.isOver() || exchange.hasAnswerBegun()) return;
    if (!route.isResumable || !options.canRunAgain()) {
      if (reason === 'moved') return;
      health.recordFailure(server.id, reason, reason === 'stalled');
      return;
    }
    call.cancel();
    options.onFailure({
      verdict: Verdict.MayHaveRun,
      reason,
      evidence: call.getEvidence(),
      message: 'the stream did not start in time',
    });
  }
}
