/** Client for calls to other nodes: signed tRPC over HTTP. */
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {Agent, request} from 'undici';
import type {TimelineEvent} from '../diagnostics';
import type {AccountWindow} from '../planning/move';
import {type Clock, createTlsConnector, type TlsFiles} from '../runtime';
import type {FoldSnapshot} from '../state';
import {PEER_PATH} from './peer_app';
import {
  createSignature,
  PEER_SIGNATURE_HEADER,
  PEER_TIME_HEADER,
} from './peer_auth';
import type {EventFilter, PeerRouter} from './peer_router';
import type {Exchange, IndirectProbe} from './types';

/** Options of the client. */
export interface PeerClientOptions {
  readonly clock: Clock;
  /** The shared secret of all nodes. */
  readonly secret: string;
  /** Client certificate and trusted CA, for peers that listen with TLS. */
  readonly tls?: TlsFiles;
  /** Timeout of an exchange, in milliseconds. */
  readonly timeoutMs?: number;
  /** Timeout of reading a snapshot or events, in milliseconds. */
  readonly transferTimeoutMs?: number;
}

/** Calls to peers. Each resolves with undefined or false when the call fails or times out. */
export interface PeerClient {
  sendExchange(
    address: string,
    exchange: Exchange,
  ): Promise<Exchange | undefined>;
  sendIndirectProbe(address: string, probe: IndirectProbe): Promise<boolean>;
  readSnapshot(
    address: string,
    stream: string,
  ): Promise<FoldSnapshot | undefined>;
  readEvents(
    address: string,
    filter: EventFilter,
  ): Promise<readonly TimelineEvent[] | undefined>;
  readAccountWindow(
    address: string,
    clientAccount: string,
    windowMs: number,
  ): Promise<AccountWindow | undefined>;
  close(): Promise<void>;
}

/** The part of a response that the tRPC client uses. */
interface PeerResponse {
  readonly ok: boolean;
  readonly status: number;
  json(): Promise<unknown>;
}

const DEFAULT_TIMEOUT_MS = 500;
const DEFAULT_TRANSFER_TIMEOUT_MS = 10_000;
/** How long an idle connection to a peer is kept open, in milliseconds. */
const IDLE_CONNECTION_MS = 4_000;
/** Maximum number of cached clients, one for each peer. */
const MAX_CACHED_CLIENTS = 64;

/** Creates the client. */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const {clock, secret} = options;
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const transferTimeoutMs =
    options.transferTimeoutMs ?? DEFAULT_TRANSFER_TIMEOUT_MS;
  const agent = new Agent({
    keepAliveTimeout: IDLE_CONNECTION_MS,
    connections: 2,
    connect:
      options.tls === undefined ? undefined : createTlsConnector(options.tls),
  });
  const clients = new Map<string, TRPCClient<PeerRouter>>();
  return {
    sendExchange: (address, exchange) =>
      tryCall(signal => getClient(address).exchange.mutate(exchange, {signal})),
    sendIndirectProbe: async (address, probe) => {
      // Twice the timeout, as the peer itself waits up to one timeout for the third node.
      const answer = await tryCall(
        signal => getClient(address).indirectProbe.mutate(probe, {signal}),
        2 * timeoutMs,
      );
      return answer ?? false;
    },
    readSnapshot: async (address, stream) => {
      const answer = await tryCall(
        signal => getClient(address).snapshot.query({stream}, {signal}),
        transferTimeoutMs,
      );
      if (answer === undefined || answer === null) return undefined;
      return {...answer, state: answer.state};
    },
    readEvents: (address, filter) =>
      tryCall(
        signal => getClient(address).events.query(filter, {signal}),
        transferTimeoutMs,
      ),
    readAccountWindow: (address, clientAccount, windowMs) =>
      tryCall(signal =>
        getClient(address).accountWindow.query(
          {clientAccount, windowMs},
          {signal},
        ),
      ),
    close: () => agent.destroy(),
  };

  async function tryCall<Answer>(
    call: (signal: AbortSignal) => Promise<Answer>,
    limitMs = timeoutMs,
  ): Promise<Answer | undefined> {
    const controller = new AbortController();
    const timer = clock.schedule(limitMs, () => controller.abort());
    try {
      return await call(controller.signal);
    } catch {
      return undefined;
    } finally {
      timer.cancel();
    }
  }

  function getClient(address: string): TRPCClient<PeerRouter> {
    const cached = clients.get(address);
    if (cached !== undefined) return cached;
    const client = createTRPCClient<PeerRouter>({
      links: [httpLink({url: address + PEER_PATH, fetch: sendSignedRequest})],
    });
    clients.set(address, client);
    if (clients.size > MAX_CACHED_CLIENTS)
      clients.delete([...clients.keys()][0]);
    return client;
  }

  async function sendSignedRequest(
    input: string | URL | Request,
    init?: {
      method?: string;
      body?: unknown;
      headers?: unknown;
      signal?: AbortSignal | null;
    },
  ): Promise<PeerResponse> {
    const url = new URL(input instanceof Request ? input.url : input);
    const method = init?.method ?? 'GET';
    const body = typeof init?.body === 'string' ? init.body : '';
    const sentAtMs = Math.floor(clock.getWallMs());
    const target = url.pathname + url.search;
    const signature = createSignature(secret, {method, target, body, sentAtMs});
    const answer = await request(url, {
      method: method === 'GET' ? 'GET' : 'POST',
      body: method === 'GET' ? undefined : body,
      headers: {
        ...(init?.headers as Record<string, string>),
        [PEER_TIME_HEADER]: String(sentAtMs),
        [PEER_SIGNATURE_HEADER]: signature,
      },
      signal: init?.signal ?? undefined,
      dispatcher: agent,
    });
    const {statusCode: status} = answer;
    return {ok: status === 200, status, json: () => answer.body.json()};
  }
}
