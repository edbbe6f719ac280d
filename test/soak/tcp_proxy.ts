/** A loopback TCP proxy that can delay, reset or silently drop traffic. */
import {connect, createServer, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';

/** What the proxy does with data; `silent` drops it in both directions, `one-way` that from the target. */
export type ProxyMode = 'pass' | 'reset' | 'silent' | 'one-way' | 'slow';

/** A running proxy. */
export interface TcpProxy {
  readonly port: number;
  setMode(mode: ProxyMode): void;
  close(): void;
}

/** Delay of each chunk in mode `slow`, in milliseconds. */
const SLOW_DELAY_MS = 250;

/** Starts a proxy on a free loopback port that forwards to another loopback port. */
export async function startTcpProxy(targetPort: number): Promise<TcpProxy> {
  let mode: ProxyMode = 'pass';
  const sockets = new Set<Socket>();
  const server = createServer(clientSocket => {
    const targetSocket = connect(targetPort, '127.0.0.1');
    for (const socket of [clientSocket, targetSocket]) {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => sockets.delete(socket));
    }
    sendOnward(clientSocket, targetSocket, () => mode === 'silent');
    sendOnward(
      targetSocket,
      clientSocket,
      () => mode === 'silent' || mode === 'one-way',
    );
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    setMode: next => {
      mode = next;
      if (mode !== 'reset') return;
      for (const socket of sockets) socket.resetAndDestroy();
    },
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };

  function sendOnward(
    from: Socket,
    to: Socket,
    isSilenced: () => boolean,
  ): void {
    from.on('data', chunk => {
      if (mode === 'reset') return void from.resetAndDestroy();
      if (isSilenced()) return;
      if (mode === 'slow') setTimeout(() => to.write(chunk), SLOW_DELAY_MS);
      else to.write(chunk);
    });
    from.on('close', () => to.destroy());
  }
}
