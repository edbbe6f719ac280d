/** Counts the bytes received and sent on a server's connections. */
import type {Server, Socket} from 'node:net';
import type {ListenerBytes} from './listener_types';

/** Byte counts of one server. */
export interface ByteMeter {
  getBytes(): ListenerBytes;
}

/** Counts the bytes of all connections that the server accepts from now on, open and closed. */
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
