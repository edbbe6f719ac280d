/** Network cost of sending a request to a server. */
import type {BackendEntry} from './types';

/** Network position and open connections of this node. */
export interface PathView {
  /** Failure domain of this node. */
  readonly localDomain: string;
  /** True when an idle connection to the server is open. */
  readonly hasConnection: (serverId: string) => boolean;
}

/** Additional network latency to another failure domain, in milliseconds: the round trips of one request. */
const CROSS_DOMAIN_MS = 3;
/** Bytes sent to another failure domain that count as one millisecond, because all nodes share the links between domains. */
const CROSS_DOMAIN_BYTES_PER_MS = 2_000;
/** Cost of opening a connection, in milliseconds: a round trip and the server's handshake. */
const NEW_CONNECTION_MS = 4;

/** Returns the network cost of sending a request to a server, in milliseconds of predicted time. */
export function computePathMs(
  server: BackendEntry,
  view: PathView,
  bodyBytes = 0,
): number {
  const domainMs =
    server.failureDomain === view.localDomain
      ? 0
      : CROSS_DOMAIN_MS + bodyBytes / CROSS_DOMAIN_BYTES_PER_MS;
  const connectMs = view.hasConnection(server.id) ? 0 : NEW_CONNECTION_MS;
  return domainMs + connectMs;
}
