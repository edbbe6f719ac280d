/** What the way to a server adds to its predicted time. */
import type {BackendEntry} from './types';

/** What is known of the way to servers. */
export interface PathView {
  /** Failure domain of this node. */
  readonly localDomain: string;
  /** True when a connection to the server can be used without opening one. */
  readonly hasConnection: (serverId: string) => boolean;
}

/** Round trips to another failure domain, in milliseconds. */
const CROSS_DOMAIN_MS = 3;
/** Bytes to another failure domain that count as a millisecond: links between domains are shared by all. */
const CROSS_DOMAIN_BYTES_PER_MS = 2_000;
/** Time and price of opening a connection, in milliseconds: a round trip and the server's handshake. */
const NEW_CONNECTION_MS = 4;

/** Returns what the way of a request to a server costs, in milliseconds of predicted time. */
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
