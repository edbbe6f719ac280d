/** A listening socket for an h3 application. */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {type H3, toNodeHandler} from 'h3';

/** Options of a listener. */
export interface ListenerOptions {
  readonly app: H3;
  readonly host?: string;
  /** 0 takes a free port. */
  readonly port?: number;
}

/** A listening socket. */
export interface Listener {
  /** Base address, such as `http://127.0.0.1:8101`. */
  readonly address: string;
  /** Takes no new connections; resolves when those open have ended. */
  close(): Promise<void>;
  /** Ends every connection at once. */
  destroy(): Promise<void>;
}

/** Opens a listener. */
export async function openListener(
  options: ListenerOptions,
): Promise<Listener> {
  const host = options.host ?? '127.0.0.1';
  const server = createServer(toNodeHandler(options.app));
  await listen(server, host, options.port ?? 0);
  const {port} = server.address() as AddressInfo;
  return {address: `http://${host}:${port}`, close, destroy};

  function close(): Promise<void> {
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    server.closeIdleConnections();
    return closed;
  }

  function destroy(): Promise<void> {
    const closed = new Promise<void>(resolve => server.close(() => resolve()));
    server.closeAllConnections();
    return closed;
  }
}

function listen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
