/** The platform's HTTP headers and calls between callers, the gateway and backend servers. */
import {
  type AnswerHead,
  type BackendProtocol,
  type CallerRequest,
  type ControlCall,
  findHeader,
  getKeyDigest,
  type KvReference,
  type ModelRequest,
  type SendOptions,
  type ServerNotice,
  type StageOrder,
  type StageReport,
  tryGetBearerToken,
} from '../gateway';
import {tryParseStage} from './server_entry';
import {
  tryGetFields,
  tryGetNumber,
  tryParseJson,
  tryGetString,
  tryGetWhole,
} from './wire_decode';

const Header = {
  RequestId: 'Anvilstack-Request-Id',
  Deadline: 'Anvilstack-Deadline-Ms',
  /** All parts of the prompt in order, as `id:tokens` separated by commas, not only a prefix. */
  PromptParts: 'Anvilstack-Prompt-Prefix',
  /** Tokens of the prompt and the most tokens of the output, separated by a comma. */
  TokenCounts: 'Anvilstack-Token-Count',
  LastEventId: 'Last-Event-Id',
  /** Seal with which the server confirms the response as its own. */
  Seal: 'Anvilstack-Response-Seal',
  /** Id of the intended backend server; another one at the same address rejects the request. */
  ServerId: 'Anvilstack-Target-Instance',
  /** Name of the client account, set by the system; its callers send their API key in `Authorization`. */
  Account: 'Anvilstack-Tenant',
  Authorization: 'Authorization',
  /** Present when the server states that it did not run the request. */
  NotRun: 'Anvilstack-Not-Executed',
  /** Rank of the route; the smaller the number, the more urgent the request. */
  Urgency: 'Anvilstack-Request-Urgency',
  /** `prefill` when the engine must only prefill the prompt and keep the KV cache. */
  Stage: 'Anvilstack-Stage',
  /** Where the engine fetches the KV cache of the prompt, as HOST:PORT/HANDLE. */
  KvSource: 'Anvilstack-Kv-Source',
  /** `1` when the server drains and takes no new requests. */
  Leaving: 'Server-Leaving',
  RetryAfter: 'Retry-After',
  /** Requests per second, as a decimal number, that the server takes from all nodes together. */
  ServerLimit: 'Server-Limit',
} as const;
const DECIMAL_NUMBER = /^(\d+\.?\d*|\.\d+)$/;

/** Hop-by-hop headers, which are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);
/** Headers that only the system may set; those that callers send are dropped. */
const RESERVED_HEADERS = new Set(
  [
    Header.Deadline,
    Header.ServerId,
    Header.Urgency,
    Header.Stage,
    Header.KvSource,
    'Kv-Fetch',
    'Anvilstack-Hold',
    'Anvilstack-Pin-Ms',
    'Anvilstack-Kv-Backup',
    'Anvilstack-Expect-Version',
  ].map(name => name.toLowerCase()),
);
/** Headers that are dropped, or set by the system, where there are client accounts. */
const ACCOUNT_HEADERS = new Set(
  [Header.Account, Header.Authorization].map(name => name.toLowerCase()),
);
/** Largest urgency number that servers accept; ranks above it are sent as this number. */
const MAX_URGENCY = 9;
const STATUS_UNAVAILABLE = 503;

/** Creates the translation between the gateway's types and the platform's wire format. */
export function createBackendProtocol(): BackendProtocol {
  return {
    parseCallerRequest,
    buildHeaders,
    buildAnswerHeaders,
    parseAnswer,
    tryParseNotice,
    parsePrefillAnswer,
    buildRetryHeaders,
    buildReleaseCall: kv => ({
      method: 'DELETE',
      path: `/kv-handle/${kv.handle}`,
      headers: [Header.ServerId, kv.serverId],
    }),
    buildReportCall: serverId => ({
      method: 'GET',
      path: '/report',
      headers: [Header.ServerId, serverId],
    }),
    buildHealthCall: (serverId, path) => ({
      method: 'GET',
      path,
      headers: [Header.ServerId, serverId],
    }),
    parseReport,
    buildStageOrderCall,
  };
}

function parseCallerRequest(rawHeaders: readonly string[]): CallerRequest {
  const deadlineMs = Number(findHeader(rawHeaders, Header.Deadline) ?? '');
  const lastEventId = findHeader(rawHeaders, Header.LastEventId);
  const model = tryParseModelRequest(rawHeaders);
  const key = tryGetBearerToken(findHeader(rawHeaders, Header.Authorization));
  return {
    requestId: findHeader(rawHeaders, Header.RequestId) ?? '',
    ...(deadlineMs > 0 ? {deadlineMs} : {}),
    ...(lastEventId === undefined ? {} : {lastEventId}),
    ...(model === undefined ? {} : {model}),
    ...(key === undefined ? {} : {keyDigest: getKeyDigest(key)}),
  };
}

function tryParseModelRequest(
  rawHeaders: readonly string[],
): ModelRequest | undefined {
  const counts = findHeader(rawHeaders, Header.TokenCounts);
  if (counts === undefined) return undefined;
  const [promptTokens, maxOutputTokens] = counts.split(',').map(Number);
  if (!(promptTokens >= 0) || !(maxOutputTokens >= 0)) return undefined;
  const parts = (findHeader(rawHeaders, Header.PromptParts) ?? '')
    .split(',')
    .flatMap(part => {
      const [id, tokens] = part.trim().split(':');
      return id !== '' && Number(tokens) > 0
        ? [{id, tokens: Number(tokens)}]
        : [];
    });
  return {promptTokens, maxOutputTokens, parts};
}

function buildHeaders(
  rawHeaders: readonly string[],
  options: SendOptions,
): string[] {
  const isHopByHop = createHopByHopTest(rawHeaders);
  const headers: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase();
    if (isHopByHop(name) || RESERVED_HEADERS.has(name)) continue;
    if (name === 'content-length') continue;
    if (options.account !== undefined && ACCOUNT_HEADERS.has(name)) continue;
    if (name === 'last-event-id' && options.lastEventId !== undefined) continue;
    headers.push(rawHeaders[index], rawHeaders[index + 1]);
  }
  headers.push(
    Header.Deadline,
    String(Math.max(1, Math.floor(options.deadlineMs))),
  );
  headers.push(Header.ServerId, options.serverId);
  if (options.account?.name !== undefined) {
    headers.push(Header.Account, encodeHeaderText(options.account.name));
  }
  if (options.rank !== undefined) {
    headers.push(Header.Urgency, String(Math.min(MAX_URGENCY, options.rank)));
  }
  if (options.isPrefillOnly) headers.push(Header.Stage, 'prefill');
  if (options.kv !== undefined) {
    headers.push(Header.KvSource, formatKvSource(options.kv));
  }
  if (options.lastEventId !== undefined) {
    headers.push(Header.LastEventId, options.lastEventId);
  }
  return headers;
}

/** Encodes text as the bytes of its UTF-8 form: a header's characters are written as one byte each. */
function encodeHeaderText(text: string): string {
  return Buffer.from(text).toString('latin1');
}

function formatKvSource(kv: KvReference): string {
  return `${kv.host}:${kv.port}/${kv.handle}`;
}

function buildAnswerHeaders(rawHeaders: readonly string[]): string[] {
  const isHopByHop = createHopByHopTest(rawHeaders);
  const headers: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (isHopByHop(rawHeaders[index].toLowerCase())) continue;
    headers.push(rawHeaders[index], rawHeaders[index + 1]);
  }
  return headers;
}

/** Creates a test for hop-by-hop headers, including those that the `Connection` header names. */
function createHopByHopTest(rawHeaders: readonly string[]) {
  const namedHeaders = new Set(
    (findHeader(rawHeaders, 'connection') ?? '')
      .split(',')
      .map(name => name.trim().toLowerCase()),
  );
  return (name: string) =>
    HOP_BY_HOP_HEADERS.has(name) || namedHeaders.has(name);
}

function parseAnswer(
  status: number,
  rawHeaders: readonly string[],
): AnswerHead {
  const requestId = findHeader(rawHeaders, Header.RequestId);
  return {
    ...(requestId === undefined ? {} : {requestId}),
    isSealed: findHeader(rawHeaders, Header.Seal) !== undefined,
    isNotRun:
      status === 421 || findHeader(rawHeaders, Header.NotRun) !== undefined,
    isEncoded: findHeader(rawHeaders, 'content-encoding') !== undefined,
  };
}

function tryParseNotice(
  status: number,
  rawHeaders: readonly string[],
): ServerNotice | undefined {
  const isLeaving = findHeader(rawHeaders, Header.Leaving) === '1';
  const pauseMs =
    status === STATUS_UNAVAILABLE
      ? parseRetryAfterMs(findHeader(rawHeaders, Header.RetryAfter))
      : 0;
  const limit = parseLimit(findHeader(rawHeaders, Header.ServerLimit));
  return isLeaving || pauseMs > 0 || limit !== undefined
    ? {isLeaving, pauseMs, ...limit}
    : undefined;
}

function parseLimit(
  text: string | undefined,
): Pick<ServerNotice, 'limitPerS' | 'malformedLimit'> | undefined {
  if (text === undefined) return undefined;
  return DECIMAL_NUMBER.test(text)
    ? {limitPerS: Number(text)}
    : {malformedLimit: text};
}

/** Parses `Retry-After`; servers send seconds, with fractions too. A date or any other value counts as no pause. */
function parseRetryAfterMs(text: string | undefined): number {
  const seconds = Number(text ?? '');
  return Number.isFinite(seconds) ? Math.max(0, seconds * 1_000) : 0;
}

function parsePrefillAnswer(body: Buffer): string | undefined {
  const fields = tryGetFields(tryParseJson(body.toString('utf8')));
  return tryGetString(fields?.['transferHandle']);
}

function parseReport(body: Buffer): StageReport | undefined {
  const fields = tryGetFields(tryParseJson(body.toString('utf8')));
  // In a report `seq` counts the accepted orders; in the store's entries it counts heartbeats.
  const acceptedOrders = tryGetNumber(fields?.['seq']);
  if (fields === undefined || acceptedOrders === undefined) return undefined;
  const stage = tryParseStage(fields['stage']);
  const waitingCount = tryGetWhole(fields['waiting'], 0);
  return {
    ...(stage === undefined ? {} : {stage}),
    ...(waitingCount === undefined ? {} : {waitingCount}),
    isBusy: fields['busy'] === true,
    acceptedOrders,
    startedAtMs: tryGetWhole(fields['born'], 0) ?? 0,
  };
}

function buildStageOrderCall(order: StageOrder): ControlCall {
  const body = {
    operation: 'stage',
    stage: order.stage,
    holder: order.holder,
    fence: order.fencingNumber,
    // The engine refuses the order unless it has accepted exactly this many orders.
    precondition: order.acceptedOrders,
  };
  return {
    method: 'POST',
    path: '/order',
    headers: [
      Header.ServerId,
      order.serverId,
      'Content-Type',
      'application/json',
    ],
    body: Buffer.from(JSON.stringify(body)),
  };
}

function buildRetryHeaders(requestId: string, retryAfterMs: number): string[] {
  const seconds = Math.max(0, retryAfterMs / 1_000).toFixed(3);
  return [Header.RetryAfter, seconds, Header.RequestId, requestId];
}
