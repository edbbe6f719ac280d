/** A connection to a backend server, which undici opens when it is used. */
import type {Socket} from 'node:net';
import {buildConnector, Client} from 'undici';
import type {ReadTurns} from '../memory';
import type {ProcessLink} from './process_proofs';
import {createStatusLineCheck, type StatusLineCheck} from './status_line_check';
import type {BackendEntry} from './types';

/** A connection and what has happened on it; `answerCount` and what follows it start anew when it is opened again. */
export interface Connection extends ProcessLink {
  readonly client: Client;
  /** True while its socket is open. */
  isOpen: boolean;
  isIdle: boolean;
  /** Number of the open socket, counted by this node. */
  number: number;
  /** True once the connection was reset instead of being closed by the server. */
  wasReset: boolean;
  /** Number of answers that have arrived on it. */
  answerCount: number;
  acceptedAtMs: number | undefined;
  /** True while its answer has no length and therefore ends with the connection. */
  isUnframed: boolean;
  /** True when the bytes of an answer did not begin with a status line. */
  hasInvalidAnswer: boolean;
  /** Expects the answer to a request that is about to be sent. */
  expectAnswer(): void;
}

/** Options of a connection. */
export interface ConnectionOptions {
  readonly server: BackendEntry;
  readonly connectTimeoutMs: number;
  /** Idle time after which the connection is closed, in milliseconds, unless its server states a keep-alive time-out. */
  readonly idleTimeoutMs: number;
  /** Returns the number of a socket that has been opened. */
  readonly countOpened: () => number;
  readonly onClose: () => void;
  /** Spreads the reading of long answers; without it, the runtime reads them as fast as they come. */
  readonly turns?: ReadTurns | undefined;
}

/** How long before its server's stated keep-alive time-out a connection is closed, in milliseconds. */
const IDLE_MARGIN_MS = 700;
/** Upper bound on a server's stated keep-alive time-out, in milliseconds. */
const MAX_IDLE_TIMEOUT_MS = 30_000;

/** Creates a connection, which is opened by its first request. */
export function createConnection(options: ConnectionOptions): Connection {
  const {server} = options;
  const statusLines = createStatusLineCheck();
  /** Bytes received of the present answer. */
  let receivedBytes = 0;
  const connector = buildConnector({timeout: options.connectTimeoutMs});
  const client = new Client(`http://${server.host}:${server.port}`, {
    connect: (connectOptions, callback) => {
      connector(connectOptions, (error, socket) => {
        if (error !== null) {
          callback(error, null);
          return;
        }
        watchSocket(socket);
        callback(null, socket);
      });
    },
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: options.idleTimeoutMs,
    keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
    pipelining: 1,
  });
  const connection: Connection = {
    client,
    isOpen: false,
    isIdle: false,
    number: 0,
    wasReset: false,
    answerCount: 0,
    acceptedAtMs: undefined,
    isUnframed: false,
    hasInvalidAnswer: false,
    expectAnswer: () => {
      receivedBytes = 0;
      statusLines.expectAnswer();
    },
  };
  return connection;

  function watchSocket(socket: Socket): void {
    connection.number = options.countOpened();
    connection.isOpen = true;
    connection.answerCount = 0;
    connection.acceptedAtMs = undefined;
    connection.isUnframed = false;
    connection.hasInvalidAnswer = false;
    checkStatusLines(socket, {
      isValid: chunk => {
        receivedBytes += chunk.length;
        return statusLines.isValid(chunk);
      },
      onInvalid: () => {
        connection.hasInvalidAnswer = true;
      },
    });
    if (options.turns !== undefined) {
      readInTurns(socket, options.turns, () => receivedBytes);
    }
    let isOpen = true;
    const recordClose = () => {
      if (!isOpen) return;
      isOpen = false;
      connection.isOpen = false;
      options.onClose();
    };
    socket.prependListener('end', recordClose);
    socket.on('close', recordClose);
    watchResets(socket, connection);
  }
}

/** Ends the connection at bytes that are no answer, before undici reads them. */
function checkStatusLines(
  socket: Socket,
  {
    isValid,
    onInvalid,
  }: Pick<StatusLineCheck, 'isValid'> & {readonly onInvalid: () => void},
): void {
  const read = socket.read.bind(socket);
  socket.read = (size?: number) => {
    const chunk = read(size) as Buffer | null;
    if (chunk === null || isValid(chunk)) return chunk;
    onInvalid();
    socket.destroy(new Error('answer has no valid status line'));
    return null;
  };
}

/** Lets the socket ask the kernel for more of an answer when it is its turn; until then, nothing more of it is held here. */
function readInTurns(
  socket: Socket,
  turns: ReadTurns,
  getReceivedBytes: () => number,
): void {
  const read = socket._read.bind(socket);
  socket._read = size =>
    turns.submit(getReceivedBytes(), () => {
      if (!socket.destroyed) read(size);
    });
}

/**
 * Detects that a connection was reset. undici treats a reset as the end of an
 * answer without a length, so the listeners run before those of undici. A reset
 * that arrives together with data is reported as `end`; only a later write
 * reveals it.
 */
function watchResets(socket: Socket, connection: Connection): void {
  let hasEnded = false;
  connection.wasReset = false;
  socket.on('error', () => {
    // After a regular end, a server may answer the write below with a reset.
    if (!hasEnded) connection.wasReset = true;
  });
  socket.prependListener('end', () => {
    hasEnded = true;
    if (!connection.isUnframed) return;
    // Harmless if the connection is intact: servers ignore an empty line before a request.
    socket.write('\r\n', error => {
      const code = (error as NodeJS.ErrnoException | null | undefined)?.code;
      if (code === 'EPIPE' || code === 'ECONNRESET') connection.wasReset = true;
    });
  });
}
