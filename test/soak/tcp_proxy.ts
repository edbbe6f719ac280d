/** A loopback proxy that delays, resets or silences the connections through it. */
import {connect, createServer, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';

/** What the proxy does with bytes. */
export type ProxyMode = 'pass' | 'reset' | 'silent' | 'one-way' | 'slow';

/** The proxy. */
export interface TcpProxy {
  readonly port: number;
  setMode(mode: ProxyMode): void;
  close(): void;
}

/** Delay of each piece while the proxy is slow, in milliseconds. */
const SLOW_DELAY_MS = 250;

/** Starts a proxy before a loopback port. */
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
