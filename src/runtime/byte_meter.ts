/** Counts the bytes of a server's connections. */
import type {Server, Socket} from 'node:net';
import type {ListenerBytes} from './listener_types';

/** The bytes of a server. */
export interface ByteMeter {
  getBytes(): ListenerBytes;
}

/** Counts the bytes of the connections that a server takes from now on. */
export function createByteMeter(server: Server): ByteMeter {
  const openSockets = new Set<Socket>();
  let received = 0;
  let sent = 0;
  server.on('connection', (socket: Socket) => {
    openSockets.add(socket);
    socket.once('close', () => {
      openSockets.delete(socket);
      received += socket.bytesRead;
      sent += socket.bytesWritten;
    });
  });
  return {getBytes};

  function getBytes(): ListenerBytes {
    let openReceived = 0;
    let openSent = 0;
    for (const socket of openSockets) {
      openReceived += socket.bytesRead;
      openSent += socket.bytesWritten;
    }
    return {received: received + openReceived, sent: sent + openSent};
  }
}
