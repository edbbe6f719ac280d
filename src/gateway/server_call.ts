/** Sends a caller's request to a backend server. */
import type {CallHandler, OpenCall} from './backend_call';
import type {Exchange} from './exchange';
import type {FlowContext} from './flow_context';
import type {RequestTask} from './request_task';
import type {AnswerHead, BackendEntry, CallFailure, SendOptions} from './types';

/** A request to a backend server on behalf of a caller. */
export interface ServerCallOptions {
  readonly context: Pick<FlowContext, 'connections' | 'protocol'>;
  readonly task: RequestTask;
  readonly server: BackendEntry;
  readonly handler: CallHandler;
  /** Options for the server besides its id, the time left and the account. */
  readonly sendOptions?: Omit<
    SendOptions,
    'deadlineMs' | 'serverId' | 'account'
  >;
}

/** Sends the caller's request to a server; only the headers of this system are added. */
export function sendToServer(options: ServerCallOptions): OpenCall {
  const {context, task, server, handler} = options;
  const {exchange} = task;
  return context.connections.call({
    server,
    method: exchange.method,
    path: exchange.target,
    headers: context.protocol.buildHeaders(exchange.rawHeaders, {
      deadlineMs: task.getRemainingMs(),
      serverId: server.id,
      ...(task.hasAccounts() ? {account: getSentAccount(task)} : {}),
      ...options.sendOptions,
    }),
    ...(exchange.body === undefined ? {} : {body: exchange.body}),
    holdBody: exchange.holdBody,
    requestId: exchange.request.requestId,
    usedConnections: task.usedConnections,
    handler,
  });
}

function getSentAccount({account}: RequestTask): SendOptions['account'] {
  return account === undefined ? {} : {name: account.name};
}

/** Formats a failed call for the log, with the evidence on which its verdict is based. */
export function formatFailure(
  failure: CallFailure,
): Readonly<Record<string, unknown>> {
  return {
    reason: failure.reason,
    detail: failure.message,
    verdict: failure.verdict,
    ...failure.evidence,
    ...(failure.hasRequestId === undefined
      ? {}
      : {hasRequestId: failure.hasRequestId}),
  };
}

/** True when an answer carries the id of another request. */
export function isMismatchedAnswer(
  head: AnswerHead,
  exchange: Exchange,
): boolean {
  return (
    head.requestId !== undefined &&
    head.requestId !== exchange.request.requestId
  );
}
