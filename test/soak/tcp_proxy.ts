/** A loopback TCP proxy that can delay, split, hold back, reset or silently drop traffic. */
import {connect, createServer, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {createDraw, type Draw} from './schedule';

/**
 * What the proxy does with data; `silent` drops it in both directions, `one-way` that
 * from the target. The modes that begin with `hold` keep data and the ends of connections
 * back until another mode is set, and lose nothing. `split` sends pieces that end at
 * random places, `jitter` delays by random times, and `reset-some` resets random
 * connections in the middle of a chunk.
 */
export type ProxyMode =
  | 'pass'
  | 'reset'
  | 'silent'
  | 'one-way'
  | 'slow'
  | 'hold'
  | 'hold-requests'
  | 'hold-answers'
  | 'split'
  | 'jitter'
  | 'reset-some';

/** A running proxy. */
export interface TcpProxy {
  readonly port: number;
  setMode(mode: ProxyMode): void;
  /** Forwards later connections to this loopback port, and listens again if that was stopped. */
  openTo(targetPort: number): Promise<void>;
  /** Resets the connection whose side at the target has this remote port. A reset that arrives together with data looks like an orderly end to the proxy, which would pass that on. */
  resetConnection(targetRemotePort: number): void;
  /** Refuses later connections; open ones stay. */
  stopListening(): void;
  close(): void;
}

/** Options of a proxy. */
export interface TcpProxyOptions {
  /** Loopback port; may be left out until `openTo` is called. */
  readonly targetPort?: number;
  readonly draw?: Draw;
}

type Direction = 'to-target' | 'to-client';

/** Delay of each chunk in mode `slow`, in milliseconds. */
const SLOW_DELAY_MS = 250;
const MAX_JITTER_MS = 150;
const MAX_PIECES = 8;
const MAX_PIECE_PAUSE_MS = 20;
/** One of so many chunks ends its connection in mode `reset-some`. */
const RESET_ONE_IN = 6;
const HOLD_CHECK_MS = 5;
/** Bytes that wait to be forwarded above which a connection is not read. */
const MAX_PENDING_BYTES = 262_144;
const DROPPED_MODES: Readonly<Record<Direction, readonly ProxyMode[]>> = {
  'to-target': ['silent'],
  'to-client': ['silent', 'one-way'],
};
const HELD_MODES: Readonly<Record<Direction, readonly ProxyMode[]>> = {
  'to-target': ['hold', 'hold-requests'],
  'to-client': ['hold', 'hold-answers'],
};

/** Starts a proxy on a free loopback port that forwards to another loopback port. */
export async function startTcpProxy(
  options: TcpProxyOptions,
): Promise<TcpProxy> {
  const draw = options.draw ?? createDraw(0);
  let targetPort = options.targetPort ?? 0;
  let mode: ProxyMode = 'pass';
  const sockets = new Set<Socket>();
  /** Both sides of a connection, by the port of the proxy's side at the target. */
  const pairs = new Map<number, readonly Socket[]>();
  const server = createServer({allowHalfOpen: true}, clientSocket => {
    const targetSocket = connect({
      port: targetPort,
      host: '127.0.0.1',
      allowHalfOpen: true,
    });
    for (const socket of [clientSocket, targetSocket]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('close', () => sockets.delete(socket));
    }
    targetSocket.on('connect', () => {
      const {localPort = 0} = targetSocket;
      pairs.set(localPort, [clientSocket, targetSocket]);
      targetSocket.on('close', () => pairs.delete(localPort));
    });
    sendOnward(clientSocket, targetSocket, 'to-target');
    sendOnward(targetSocket, clientSocket, 'to-client');
  });
  await listen(0);
  const {port} = server.address() as AddressInfo;
  return {
    port,
    setMode: next => {
      mode = next;
      if (mode !== 'reset') return;
      for (const socket of sockets) socket.resetAndDestroy();
    },
    openTo: async nextPort => {
      targetPort = nextPort;
      if (!server.listening) await listen(port);
    },
    resetConnection: targetRemotePort => {
      for (const socket of pairs.get(targetRemotePort) ?? []) {
        socket.resetAndDestroy();
      }
    },
    stopListening: () => {
      if (server.listening) server.close();
    },
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };

  function listen(onPort: number): Promise<void> {
    return new Promise(resolve => server.listen(onPort, '127.0.0.1', resolve));
  }

  /** Forwards the data and the end of one direction in order; a reset overtakes both, as it does on a network. */
  function sendOnward(from: Socket, to: Socket, direction: Direction): void {
    let forwarded = Promise.resolve();
    let pendingBytes = 0;
    let hasEnded = false;
    from.on('data', (chunk: Buffer) => {
      if (mode === 'reset') return void from.resetAndDestroy();
      if (DROPPED_MODES[direction].includes(mode)) return;
      pendingBytes += chunk.length;
      if (pendingBytes > MAX_PENDING_BYTES) from.pause();
      const dueAtMs = performance.now() + chooseDelayMs();
      forwarded = forwarded.then(async () => {
        await sleep(dueAtMs - performance.now());
        await sendPieces(chunk, from, to, direction);
        pendingBytes -= chunk.length;
        from.resume();
      });
    });
    from.on('end', () => {
      hasEnded = true;
      forwarded = forwarded.then(async () => {
        await waitWhileHeld(to, direction);
        to.end();
      });
    });
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => {
      if (!hasEnded) to.destroy();
    });
  }

  function chooseDelayMs(): number {
    if (mode === 'slow') return SLOW_DELAY_MS;
    return mode === 'jitter' ? draw(MAX_JITTER_MS) : 0;
  }

  async function sendPieces(
    chunk: Buffer,
    from: Socket,
    to: Socket,
    direction: Direction,
  ): Promise<void> {
    await waitWhileHeld(to, direction);
    const isReset = mode === 'reset-some' && draw(RESET_ONE_IN) === 0;
    const pieces =
      mode === 'split' || isReset ? splitChunk(chunk, draw) : [chunk];
    for (const [index, piece] of pieces.entries()) {
      if (to.destroyed) return;
      if (!to.write(piece)) await waitForDrain(to);
      if (pieces.length > 1) await sleep(draw(MAX_PIECE_PAUSE_MS));
      if (!isReset || index < pieces.length - 2) continue;
      for (const socket of [from, to]) socket.resetAndDestroy();
      return;
    }
  }

  async function waitWhileHeld(
    to: Socket,
    direction: Direction,
  ): Promise<void> {
    while (HELD_MODES[direction].includes(mode) && !to.destroyed) {
      await sleep(HOLD_CHECK_MS);
    }
  }
}

/** Splits a chunk at random places. */
function splitChunk(chunk: Buffer, draw: Draw): Buffer[] {
  const cuts = Array.from({length: draw(MAX_PIECES)}, () => draw(chunk.length));
  const ends = [...cuts, chunk.length].sort((left, right) => left - right);
  return ends
    .map((end, index) => chunk.subarray(ends[index - 1] ?? 0, end))
    .filter(piece => piece.length > 0);
}

function waitForDrain(socket: Socket): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      socket.off('drain', finish);
      socket.off('close', finish);
      resolve();
    };
    socket.on('drain', finish);
    socket.on('close', finish);
  });
}

function sleep(durationMs: number): Promise<void> | undefined {
  if (durationMs <= 0) return undefined;
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
