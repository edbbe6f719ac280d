/** An HTTP or HTTPS listener for an h3 application, with limits, certificate reload and graceful shutdown. */
import {
  createServer as createHttpServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import {
  createServer as createHttpsServer,
  type Server as HttpsServer,
} from 'node:https';
import type {AddressInfo} from 'node:net';
import {toNodeHandler} from 'h3';
import {createByteMeter} from './byte_meter';
import {listen} from './listen';
import type {Listener, ListenerLimits, ListenerOptions} from './listener_types';
import {loadTlsContext, watchTlsFiles} from './tls_files';
import {handleUnreadRequests} from './unread_requests';

type Handler = (request: IncomingMessage, response: ServerResponse) => unknown;

const DEFAULT_LIMITS: ListenerLimits = {
  maxHeaderBytes: 16 * 1_024,
  headerTimeoutMs: 10_000,
  uploadTimeoutMs: 60_000,
  idleTimeoutMs: 65_000,
  maxConnections: 10_000,
};
/** How often connections are checked against the header and upload timeouts, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Opens a listener. Rejects when the address is in use or a certificate cannot be read. */
export async function openListener(
  options: ListenerOptions,
): Promise<Listener> {
  const {tls} = options;
  const host = options.host ?? '127.0.0.1';
  const limits = {...DEFAULT_LIMITS, ...options.limits};
  let isClosing = false;
  const server = createServer(options, limits, createHandler());
  server.maxConnections = limits.maxConnections;
  handleUnreadRequests(server);
  const bytes = createByteMeter(server);
  await listen(server, {host, port: options.port ?? 0});
  const stopWatching =
    tls === undefined
      ? () => undefined
      : watchTlsFiles(tls, updateCertificates);
  const {port} = server.address() as AddressInfo;
  const scheme = tls === undefined ? 'http' : 'https';
  return {
    address: `${scheme}://${host}:${port}`,
    getBytes: bytes.getBytes,
    updateCertificates,
    close,
    destroy,
  };

  function createHandler(): Handler {
    const handle = toNodeHandler(options.app);
    return (request, response) => {
      response.once('close', () => {
        if (isClosing) setImmediate(() => server.closeIdleConnections());
      });
      if (isClosing) response.setHeader('connection', 'close');
      const status = getRejectionStatus(request, limits.maxBodyBytes);
      if (status === undefined) return handle(request, response);
      response.writeHead(status, {connection: 'close'}).end();
      return undefined;
    };
  }

  function updateCertificates(): boolean {
    if (tls === undefined) return true;
    try {
      (server as HttpsServer).setSecureContext(loadTlsContext(tls));
      return true;
    } catch (error) {
      options.onReloadError?.(error as Error);
      return false;
    }
  }

  function close(): Promise<void> {
    isClosing = true;
    stopWatching();
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    server.closeIdleConnections();
    return closed;
  }

  function destroy(): Promise<void> {
    const closed = close();
    server.closeAllConnections();
    return closed;
  }
}

function createServer(
  options: ListenerOptions,
  limits: ListenerLimits,
  handler: Handler,
): Server | HttpsServer {
  const httpOptions: ServerOptions = {
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headerTimeoutMs,
    requestTimeout: limits.uploadTimeoutMs,
    keepAliveTimeout: limits.idleTimeoutMs,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
  };
  const {tls} = options;
  if (tls === undefined) return createHttpServer(httpOptions, handler);
  const tlsContext = loadTlsContext(tls);
  const requiresClientCertificate = tls.clientCaFile !== undefined;
  return createHttpsServer(
    {
      ...httpOptions,
      ...tlsContext,
      minVersion: 'TLSv1.2',
      requestCert: requiresClientCertificate,
      rejectUnauthorized: requiresClientCertificate,
      handshakeTimeout: limits.headerTimeoutMs,
    },
    handler,
  );
}

/**
 * Returns the HTTP status with which to reject a request by its headers, if any:
 * 413 when its Content-Length exceeds the limit, 411 when it has a body without a
 * Content-Length.
 */
function getRejectionStatus(
  request: IncomingMessage,
  maxBodyBytes: number | undefined,
): number | undefined {
  if (maxBodyBytes === undefined) return undefined;
  const length = request.headers['content-length'];
  if (length !== undefined) {
    return Number(length) > maxBodyBytes ? 413 : undefined;
  }
  return request.headers['transfer-encoding'] === undefined ? undefined : 411;
}
