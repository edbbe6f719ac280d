/** What becomes of a connection on which bytes arrive that cannot be read as a request. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  formatStatusOnly,
  getErrorStatus,
  isCallerError,
} from './listener_errors';

/** A request without a complete answer. */
interface OpenRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Lets the requests that were read get their answers before a connection ends because of what follows them; Node.js would write its status in their place. */
export function handleUnreadRequests(server: Server): void {
  const connections = new WeakMap<Socket, Set<OpenRequest>>();
  const failed = new WeakSet<Socket>();
  server.prependListener('request', (request, response) => {
    const {socket} = request;
    const open = connections.get(socket) ?? new Set();
    connections.set(socket, open);
    const added = {request, response};
    open.add(added);
    response.on('close', () => open.delete(added));
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (failed.has(socket)) return;
    failed.add(socket);
    const open = [...(connections.get(socket) ?? [])];
    const lastRead = open.findLast(({request}) => request.complete);
    if (!isCallerError(error.code) || lastRead === undefined) {
      closeWithStatus(socket, error, open.at(-1));
      return;
    }
    // Keeps reading, so that a reset by the caller is noticed.
    socket.removeAllListeners('data');
    socket.on('data', () => undefined);
    socket.resume();
    lastRead.response.on('close', () => {
      if (lastRead === open.at(-1)) socket.destroySoon();
      else closeWithStatus(socket, error, open.at(-1));
    });
  });
}

/** Closes a connection, with a status for the request that cannot be read, unless its answer has begun. */
function closeWithStatus(
  socket: Socket,
  {code}: NodeJS.ErrnoException,
  unread: OpenRequest | undefined,
): void {
  const canAnswer = socket.writable && unread?.response.headersSent !== true;
  if (isCallerError(code) && canAnswer) {
    socket.write(formatStatusOnly(getErrorStatus(code)));
  }
  socket.destroySoon();
}
