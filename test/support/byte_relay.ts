/** A TCP relay on loopback that counts the bytes of both directions. */
import {type AddressInfo, connect, createServer} from 'node:net';

/** A running relay. */
export interface ByteRelay {
  /** Base address of the relay, to call instead of the target's. */
  readonly address: string;
  getBytes(): number;
  close(): void;
}

/** Opens a relay to a port on loopback. */
export async function openByteRelay(port: number): Promise<ByteRelay> {
  let bytes = 0;
  const server = createServer(socket => {
    const upstream = connect(port, '127.0.0.1');
    socket.on('data', data => (bytes += data.length));
    upstream.on('data', data => (bytes += data.length));
    socket.pipe(upstream).pipe(socket);
    socket.on('error', () => upstream.destroy());
    upstream.on('error', () => socket.destroy());
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    getBytes: () => bytes,
    close: () => server.close(),
  };
}
