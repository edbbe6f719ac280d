/**
 * The open connections of this node to one backend server. They tell whether
 * its process lived when an answer without a length ended: the end of a process
 * closes all of its connections at once, and one that stays open shows that it
 * lives. An accepted new connection does not, because something else may hold
 * the listening socket.
 */
import type {Socket} from 'node:net';

/** What is under way on a connection; it decides what its end shows. */
export interface LinkState {
  /** True between two requests. */
  isIdle: boolean;
  /** True while nothing is read from it, so that its end is not noticed. */
  isPaused: boolean;
  /** True while its answer has no length and therefore ends with the connection. */
  isUnframed: boolean;
  /** Number of answers that have arrived on it; from the first on, the process has accepted it. */
  answerCount: number;
  /** True once the server has said that it closes the connection after the answer. */
  isClosing: boolean;
}

/** What the other connections show of the server's process. */
export const ProcessSign = {
  /** Another connection that was open before stays open. */
  Lives: 'lives',
  /** An idle connection was closed by the server at the same time. */
  Ended: 'ended',
  /** No connection that could tell is left, or there was none. */
  Unknown: 'unknown',
} as const;
export type ProcessSign = (typeof ProcessSign)[keyof typeof ProcessSign];

/** The end of an answer, as times on the monotonic clock, in milliseconds. */
export interface AnswerEnd {
  /** From when on the process may have ended. */
  readonly sinceMs: number;
  /** When bytes of the answer last arrived, so that the process was at work. */
  readonly lastBytesMs: number;
}

/** The connections to one server. */
export interface ServerLinks {
  /** Follows an open connection until it is closed. */
  add(socket: Socket, state: LinkState): void;
  /** Opens a spare connection unless another one can tell whether the process lives; `isExpected` does so before the answer begins. */
  prepareWitness(isExpected?: boolean): void;
  /** Reports what connections other than that of `own` show of the process, a short time later. */
  observe(
    own: LinkState,
    end: AnswerEnd,
    callback: (sign: ProcessSign) => void,
  ): void;
  /** True when any connection is open. */
  hasOpen(): boolean;
  close(): void;
}

/** Options of the connections to one server. */
export interface ServerLinksOptions {
  /** Opens a connection; the callback gets undefined when the server does not accept it. */
  readonly dial: (callback: (socket: Socket | undefined) => void) => void;
  /** Time after which a spare connection is closed, in milliseconds. */
  readonly spareMs: number;
}

/** Time around the end of an answer within which the process closes its other connections if it ends, in milliseconds: several round trips. */
const SAME_TIME_MS = 30;
/** Time in which a process that is at work accepts a connection, in milliseconds. Until then it waits in the system's queue, which may outlive the process. */
const ACCEPT_MS = 25;
/** Time for which a connection must stay open, in milliseconds, to show that the process lives although it closed an idle one at the same time: idle connections also end by their time-outs and by limits on their number. */
const CONTRADICTION_MS = 300;
/** Shortest interval between two spare connections, in milliseconds. */
const SPARE_INTERVAL_MS = 1_000;
const RESET_CODES = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT']);

interface Link {
  readonly state: LinkState;
  readonly openedAtMs: number;
  isOpen: boolean;
}

/** Creates the connections to one server, none of them open. */
export function createServerLinks(options: ServerLinksOptions): ServerLinks {
  const links = new Set<Link>();
  let spare: Socket | undefined;
  let isDialling = false;
  let isClosed = false;
  let dialledAtMs = Number.NEGATIVE_INFINITY;
  let lostIdleAtMs = Number.NEGATIVE_INFINITY;
  return {
    add,
    prepareWitness,
    observe,
    hasOpen: () => [...links].some(link => link.isOpen),
    close,
  };

  function add(socket: Socket, state: LinkState): void {
    const link: Link = {state, openedAtMs: performance.now(), isOpen: true};
    links.add(link);
    socket.prependListener('end', recordLoss);
    socket.on('error', error => {
      const {code} = error as NodeJS.ErrnoException;
      if (code !== undefined && RESET_CODES.has(code)) recordLoss();
    });
    socket.on('close', () => {
      link.isOpen = false;
      links.delete(link);
      prepareWitness();
    });

    function recordLoss(): void {
      if (!link.isOpen) return;
      link.isOpen = false;
      // A server may reset a connection that exceeds its limit; only one that has carried an answer was accepted for sure.
      if (state.isIdle && !state.isClosing && state.answerCount > 0) {
        lostIdleAtMs = performance.now();
      }
    }
  }

  function prepareWitness(isExpected = false): void {
    const states = [...links].filter(link => link.isOpen).map(getState);
    if (!isExpected && !states.some(state => state.isUnframed)) return;
    if (states.some(state => state.isIdle && !state.isClosing)) return;
    const nowMs = performance.now();
    if (isClosed || isDialling || nowMs - dialledAtMs < SPARE_INTERVAL_MS)
      return;
    isDialling = true;
    dialledAtMs = nowMs;
    options.dial(socket => {
      isDialling = false;
      if (socket !== undefined) addSpare(socket);
    });
  }

  function addSpare(socket: Socket): void {
    if (isClosed) {
      socket.destroy();
      return;
    }
    spare = socket;
    const timer = setTimeout(() => socket.destroy(), options.spareMs);
    timer.unref();
    socket.unref();
    socket.on('close', () => {
      clearTimeout(timer);
      if (spare === socket) spare = undefined;
    });
    add(socket, {
      isIdle: true,
      isPaused: false,
      isUnframed: false,
      answerCount: 0,
      isClosing: false,
    });
    // The end of the connection is reported only once what precedes it has been read.
    socket.resume();
  }

  function observe(
    own: LinkState,
    {sinceMs, lastBytesMs}: AnswerEnd,
    callback: (sign: ProcessSign) => void,
  ): void {
    const acceptedMs = Math.min(sinceMs, lastBytesMs) - ACCEPT_MS;
    const witnesses = [...links].filter(
      link =>
        link.state !== own &&
        link.isOpen &&
        link.openedAtMs < sinceMs &&
        (link.state.answerCount > 0 || link.openedAtMs < acceptedMs),
    );
    if (witnesses.length === 0) {
      callback(hasLostIdle() ? ProcessSign.Ended : ProcessSign.Unknown);
      return;
    }
    waitAndRead(SAME_TIME_MS, () => {
      if (!hasLostIdle()) {
        callback(isAnyOpen() ? ProcessSign.Lives : ProcessSign.Unknown);
        return;
      }
      if (!isAnyOpen()) {
        callback(ProcessSign.Ended);
        return;
      }
      waitAndRead(CONTRADICTION_MS, () =>
        callback(isAnyOpen() ? ProcessSign.Lives : ProcessSign.Ended),
      );
    });

    function isAnyOpen(): boolean {
      return witnesses.some(link => link.isOpen && !link.state.isPaused);
    }

    function hasLostIdle(): boolean {
      return lostIdleAtMs >= sinceMs - SAME_TIME_MS;
    }
  }

  /** Calls back after a time and after what has arrived meanwhile is read, even if the node was held up. */
  function waitAndRead(delayMs: number, callback: () => void): void {
    setTimeout(() => setImmediate(callback), delayMs);
  }

  function close(): void {
    isClosed = true;
    spare?.destroy();
  }
}

function getState(link: Link): LinkState {
  return link.state;
}
