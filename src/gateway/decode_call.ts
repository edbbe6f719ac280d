/** Lets a decode engine stream the answer of a request. */
import type {Timer} from '../runtime/types';
import {Verdict} from '../verdict';
import {createAnswerRelay} from './answer_relay';
import {computeTransferMs} from './engine_costs';
import type {EventSplitter} from './event_splitter';
import type {FlowContext} from './flow_context';
import type {RequestTask} from './request_task';
import type {
  BackendEntry,
  CallFailure,
  EngineLimits,
  KvReference,
  ModelRequest,
} from './types';

/** A stream in progress. */
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
  /** KV cache to fetch; without it the engine reads the prompt by itself. */
  readonly kv?: KvReference;
  /** Time in which the engine reads the prompt by itself, in milliseconds. */
  readonly readMs: number;
  /** Present when the stream may go on at another server. */
  readonly splitter?: EventSplitter;
  /** True while the stream may run on one more server. */
  readonly canRunAgain: () => boolean;
  /** Called when the stream begins. */
  readonly onHead: () => void;
  readonly onEnd: (status: number) => void;
  readonly onFailure: (failure: CallFailure) => void;
}

/** Slack and factor before a decode engine whose stream does not begin is suspected, in milliseconds. */
const STALL_SLACK_MS = 600;
const STALL_FACTOR = 2;
/** Interval of looking again at a decode engine that is late, in milliseconds. */
const STALL_CHECK_MS = 150;

/** Sends the call. */
export function startDecodeCall(options: DecodeCallOptions): DecodeCall {
  const {context, task, server, splitter, kv} = options;
  const {clock, health, protocol} = context;
  const {exchange, route} = task;
  const lastEventId = splitter?.getLastId();
  let timer: Timer | undefined;
  const relay = createAnswerRelay({
    task,
    protocol,
    holdBytes: 0,
    isErrorRepeatable: () => route.isResumable && options.canRunAgain(),
    ...(splitter === undefined ? {} : {splitter}),
    onHead: () => {
      timer?.cancel();
      health.recordSign(server.id);
      options.onHead();
    },
    onEnd: status => {
      timer?.cancel();
      options.onEnd(status);
    },
    onFailure: failure => {
      timer?.cancel();
      options.onFailure(failure);
    },
  });
  const call = context.connections.call({
    server,
    method: exchange.method,
    path: exchange.target,
    headers: protocol.buildHeaders(exchange.rawHeaders, {
      deadlineMs: task.getRemainingMs(),
      serverId: server.id,
      rank: route.rank,
      ...(kv === undefined ? {} : {kv}),
      ...(lastEventId === undefined ? {} : {lastEventId}),
    }),
    ...(exchange.body === undefined ? {} : {body: exchange.body}),
    handler: relay,
  });
  relay.attach(call);
  timer = clock.schedule(getStallMs(), checkStall);
  return {
    cancel: () => {
      timer?.cancel();
      call.cancel();
    },
    isSent: call.isSent,
  };

  function getStallMs(): number {
    const {model, engine} = options;
    const moveMs = computeTransferMs(model.promptTokens, engine, true);
    return STALL_FACTOR * (moveMs + options.readMs) + STALL_SLACK_MS;
  }

  /** A stream that may not be repeated is waited for; later requests go elsewhere. */
  function checkStall(): void {
    if (task.isOver() || exchange.hasAnswerBegun()) return;
    if (health.hasRecentSign(server.id)) {
      timer = clock.schedule(STALL_CHECK_MS, checkStall);
      return;
    }
    if (!route.isResumable || !options.canRunAgain()) {
      health.recordFailure(server.id, 'stalled', true);
      return;
    }
    call.cancel();
    options.onFailure({
      verdict: Verdict.MayHaveRun,
      reason: 'stalled',
      message: 'the stream did not begin in time',
    });
  }
}
