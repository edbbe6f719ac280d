/** A caller's TCP connection, on which any bytes can be sent and whose answers are parsed strictly. */
import {connect, type Socket} from 'node:net';
import type {CallerAnswer} from '../platform/system';

/** An open connection. */
export interface RawConnection {
  readonly socket: Socket;
  /** Complete answers so far, in order; after the end of the connection also one that was cut off. */
  listAnswers(): readonly CallerAnswer[];
  /** Bytes that cannot begin an answer, or undefined. */
  tryGetGarbage(): string | undefined;
  /** Returns whether the gateway has ended the connection. */
  hasEnded(): boolean;
  /** Resolves when so many answers are complete, the connection has ended, or the time is over. */
  waitForAnswers(count: number, limitMs: number): Promise<void>;
}

/** Options of a connection. */
export interface RawConnectionOptions {
  /** Pause after each chunk that was read, in milliseconds. */
  readonly readPauseMs?: number;
}

const POLL_MS = 10;
const HEAD_END = '\r\n\r\n';

interface ParsedAnswer {
  readonly answer: CallerAnswer;
  readonly usedBytes: number;
}

interface Body {
  readonly text: string;
  readonly usedBytes: number;
  readonly isComplete: boolean;
}

/** Opens a connection to a loopback port. */
export function openRawConnection(
  port: number,
  {readPauseMs = 0}: RawConnectionOptions = {},
): RawConnection {
  const startedAtMs = performance.now();
  const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
  const answers: CallerAnswer[] = [];
  let pending = '';
  let garbage: string | undefined;
  let isClosed = false;
  socket.setNoDelay(true);
  socket.on('data', (chunk: Buffer) => {
    pending += chunk.toString('latin1');
    takeAnswers(false);
    if (readPauseMs === 0) return;
    socket.pause();
    setTimeout(() => socket.resume(), readPauseMs);
  });
  socket.on('end', () => handleEnd(true));
  socket.on('error', () => handleEnd(false));
  socket.on('close', () => handleEnd(false));
  return {
    socket,
    listAnswers: () => answers,
    tryGetGarbage: () => garbage,
    hasEnded: () => isClosed,
    waitForAnswers: async (count, limitMs) => {
      const endsAt = performance.now() + limitMs;
      while (answers.length < count && !isClosed && performance.now() < endsAt)
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    },
  };

  function handleEnd(isOrderly: boolean): void {
    if (isClosed) return;
    isClosed = true;
    takeAnswers(isOrderly);
    const cut = tryParseHead(pending);
    if (cut !== undefined) {
      const {status, headers, length} = cut;
      pushAnswer(status, headers, pending.slice(length), false);
    }
    socket.end();
  }

  function takeAnswers(isAtEnd: boolean): void {
    while (pending !== '' && garbage === undefined) {
      if (!pending.startsWith('HTTP/1.1 '.slice(0, pending.length))) {
        garbage = pending.slice(0, 100);
        return;
      }
      const parsed = tryParseAnswer(pending, isAtEnd);
      if (parsed === undefined) return;
      pending = pending.slice(parsed.usedBytes);
      const {status, headers, body} = parsed.answer;
      if (!isInterim(status)) pushAnswer(status, headers, body, true);
    }
  }

  function pushAnswer(
    status: number,
    headers: CallerAnswer['headers'],
    body: string,
    isComplete: boolean,
  ): void {
    const elapsedMs = performance.now() - startedAtMs;
    answers.push({status, headers, body, isComplete, elapsedMs});
  }
}

/** Parses the first answer of a text if it is complete. */
export function tryParseAnswer(
  text: string,
  isAtEnd: boolean,
): ParsedAnswer | undefined {
  const head = tryParseHead(text);
  if (head === undefined) return undefined;
  const {status, headers, length} = head;
  const body = parseBody(text, length, status, headers, isAtEnd);
  if (!body.isComplete) return undefined;
  return {
    answer: {status, headers, body: body.text, isComplete: true, elapsedMs: 0},
    usedBytes: body.usedBytes,
  };
}

function tryParseHead(
  text: string,
):
  | {status: number; headers: Record<string, string>; length: number}
  | undefined {
  const end = text.indexOf(HEAD_END);
  if (end < 0) return undefined;
  const [statusLine, ...lines] = text.slice(0, end).split('\r\n');
  const headers: Record<string, string> = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  const status = Number(statusLine.split(' ')[1]);
  return {status, headers, length: end + HEAD_END.length};
}

function parseBody(
  text: string,
  start: number,
  status: number,
  headers: Readonly<Record<string, string>>,
  isAtEnd: boolean,
): Body {
  if (isInterim(status) || status === 204) {
    return {text: '', usedBytes: start, isComplete: true};
  }
  if (headers['transfer-encoding'] === 'chunked') {
    return parseChunks(text, start);
  }
  const stated = headers['content-length'];
  const end = stated === undefined ? text.length : start + Number(stated);
  const isComplete = stated === undefined ? isAtEnd : text.length >= end;
  return {text: text.slice(start, end), usedBytes: end, isComplete};
}

/** Returns whether another answer follows; 101 ends HTTP on the connection, and callers ask for no other protocol. */
function isInterim(status: number): boolean {
  return status >= 100 && status < 200 && status !== 101;
}

function parseChunks(text: string, start: number): Body {
  let body = '';
  let position = start;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', position);
    const size = parseInt(text.slice(position, lineEnd), 16);
    const end = lineEnd + 2 + size + 2;
    if (lineEnd < 0 || text.length < end) {
      return {text: body, usedBytes: position, isComplete: false};
    }
    if (size === 0) return {text: body, usedBytes: end, isComplete: true};
    body += text.slice(lineEnd + 2, end - 2);
    position = end;
  }
}
