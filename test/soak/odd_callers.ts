/** Callers that keep to HTTP in part only: slow, half-closed, broken off, pipelined, or with surplus bytes. */
import {PADDING_HEADER, WORK_HEADER} from '../platform/server_standin';
import type {NodeProcess} from './gateway_processes';
import {openRawConnection, type RawConnection} from './raw_connection';
import type {Draw} from './schedule';
import type {SoakRequest} from './violations';

/**
 * How a caller uses its connection. `surplus` sends bytes that are no request after its
 * request, and `part-of-head` the beginning of another head, without ever completing it;
 * `late-head` completes it after the answer. `kept` goes on after answers that announce the end of the connection.
 */
export const MANNERS = [
  'slow-reader',
  'slow-sender',
  'half-close',
  'break-off',
  'surplus',
  'part-of-head',
  'late-head',
  'pipelined',
  'kept',
  'expect',
] as const;
export type Manner = (typeof MANNERS)[number];

/** Options of a caller. */
export interface OddCallerOptions {
  readonly index: number;
  readonly nodes: readonly NodeProcess[];
  readonly requests: SoakRequest[];
  readonly draw: Draw;
  readonly isOver: () => boolean;
}

interface Message {
  readonly request: Omit<SoakRequest, 'sentAtMs'>;
  /** Its bytes as sent. */
  readonly text: string;
}

const ROUTE_NAMES = ['look', 'order', 'ask', 'resume'] as const;
const SURPLUS_TEXTS = [
  '\r\n',
  'neither a head nor a body',
  '\u0000\u0001\u0002\r\n\r\n',
  `POST / HTTP/1.1\r\nlong: ${'x'.repeat(20_000)}`,
];
const HEAD_PART = 'POST /order/never HTTP/1.1\r\nHost: desk.exa';
/** Longest time that a caller waits for its answers, in milliseconds. */
const WAIT_MS = 4_000;
const MAX_WORK_MS = 1_300;
const PADDING_BYTES = 1_000_000;
const READ_PAUSE_MS = 15;
const MAX_PIECES = 6;
const MAX_PIECE_PAUSE_MS = 150;
const MAX_BREAK_OFF_MS = 300;
const KEPT_REQUESTS = 30;

/** Sends requests, one connection after another, until the run is over. */
export async function runOddCaller(options: OddCallerOptions): Promise<void> {
  const {draw, nodes, isOver} = options;
  for (let count = 0; !isOver(); count++) {
    const manner = MANNERS[draw(MANNERS.length)];
    const node = nodes[draw(nodes.length)];
    await runConnection(manner, node, count, options);
    await sleep(draw(60));
  }
}

async function runConnection(
  manner: Manner,
  node: NodeProcess,
  count: number,
  options: OddCallerOptions,
): Promise<void> {
  const {index, requests, draw, isOver} = options;
  const connection = openRawConnection(
    node.callersPort,
    manner === 'slow-reader' ? {readPauseMs: READ_PAUSE_MS} : {},
  );
  const places: number[] = [];
  let preparedCount = 0;
  await sendInManner();
  const {socket} = connection;
  if (!connection.hasEnded()) {
    if (draw(2) === 0) socket.resetAndDestroy();
    else socket.destroy();
  }
  recordAnswers(connection, places, requests);

  async function sendInManner(): Promise<void> {
    switch (manner) {
      case 'slow-reader':
        write(prepareMessage({[PADDING_HEADER]: PADDING_BYTES}));
        return connection.waitForAnswers(1, WAIT_MS);
      case 'slow-sender':
        await writePieces(prepareMessage());
        return connection.waitForAnswers(1, WAIT_MS);
      case 'half-close':
        write(prepareMessage());
        connection.socket.end();
        recordLeft();
        return connection.waitForAnswers(1, WAIT_MS);
      case 'break-off':
        return writeInPart();
      case 'surplus':
        write(prepareMessage());
        await sleep(draw(100));
        connection.socket.write(SURPLUS_TEXTS[draw(SURPLUS_TEXTS.length)]);
        return connection.waitForAnswers(1, WAIT_MS);
      case 'part-of-head':
        write(prepareMessage());
        await sleep(draw(3) === 0 ? draw(100) : 0);
        connection.socket.write(
          HEAD_PART.slice(0, 1 + draw(HEAD_PART.length - 1)),
        );
        return connection.waitForAnswers(1 + draw(2), WAIT_MS);
      case 'late-head':
        return writeLateHead();
      case 'pipelined': {
        const messages = Array.from({length: 2 + draw(4)}, () =>
          prepareMessage(),
        );
        for (const message of messages) recordSent(message);
        connection.socket.write(messages.map(({text}) => text).join(''));
        return connection.waitForAnswers(messages.length, WAIT_MS);
      }
      case 'kept':
        while (places.length < KEPT_REQUESTS && !isOver()) {
          write(prepareMessage());
          await connection.waitForAnswers(places.length, WAIT_MS);
          if (connection.hasEnded()) return;
        }
        return;
      case 'expect':
        write(prepareMessage({Expect: '100-continue'}));
        return connection.waitForAnswers(1, WAIT_MS);
    }
  }

  function prepareMessage(
    headers: Readonly<Record<string, string | number>> = {},
  ): Message {
    const kind = ROUTE_NAMES[draw(ROUTE_NAMES.length)];
    const id = `o${index}-${count}-${preparedCount++}`;
    const workMs = draw(2) * draw(MAX_WORK_MS);
    return {
      request: {id, kind, node: node.name, manner, body: `prompt of ${id}`},
      text: formatRequest(id, kind, draw(2) === 0, {
        ...headers,
        ...(workMs > 0 ? {[WORK_HEADER]: workMs} : {}),
      }),
    };
  }

  function recordSent({request}: Message, isWhole = true): void {
    places.push(requests.length);
    requests.push({...request, isWhole, sentAtMs: performance.now()});
  }

  function recordLeft(): void {
    const place = places[0];
    requests[place] = {...requests[place], leftAtMs: performance.now()};
  }

  function write(message: Message): void {
    recordSent(message);
    connection.socket.write(message.text);
  }

  async function writePieces(message: Message): Promise<void> {
    recordSent(message);
    const {text} = message;
    const cuts = Array.from({length: draw(MAX_PIECES)}, () =>
      draw(text.length),
    );
    const ends = [...cuts, text.length].sort((left, right) => left - right);
    for (const [place, end] of ends.entries()) {
      if (place > 0) await sleep(draw(MAX_PIECE_PAUSE_MS));
      connection.socket.write(text.slice(ends[place - 1] ?? 0, end));
    }
  }

  async function writeLateHead(): Promise<void> {
    const first = prepareMessage();
    const second = prepareMessage();
    const end = 1 + draw(second.text.length - 1);
    recordSent(first);
    connection.socket.write(first.text + second.text.slice(0, end));
    await connection.waitForAnswers(1, WAIT_MS);
    await sleep(draw(2) * draw(MAX_WORK_MS));
    if (connection.hasEnded()) return;
    recordSent(second);
    connection.socket.write(second.text.slice(end));
    return connection.waitForAnswers(2, WAIT_MS);
  }

  async function writeInPart(): Promise<void> {
    const message = prepareMessage();
    const {text} = message;
    const end = draw(2) === 0 ? text.length : 1 + draw(text.length - 1);
    recordSent(message, end === text.length);
    connection.socket.write(text.slice(0, end));
    await sleep(draw(MAX_BREAK_OFF_MS));
    recordLeft();
  }
}

/** Attributes the answers of a connection to its requests, in order. */
function recordAnswers(
  connection: RawConnection,
  places: readonly number[],
  requests: SoakRequest[],
): void {
  const answers = connection.listAnswers();
  const garbage = connection.tryGetGarbage();
  for (const [index, place] of places.entries()) {
    const answer = answers[index];
    const isFirst = index === 0;
    requests[place] = {
      ...requests[place],
      ...(answer === undefined ? {} : {answer}),
      ...(isFirst ? {surplusAnswers: answers.slice(places.length)} : {}),
      ...(isFirst && garbage !== undefined ? {garbage} : {}),
      isDropped: isFirst && answer === undefined && connection.hasEnded(),
    };
  }
}

function formatRequest(
  id: string,
  kind: SoakRequest['kind'],
  isChunked: boolean,
  headers: Readonly<Record<string, string | number>>,
): string {
  const body = `prompt of ${id}`;
  const isModel = kind === 'ask' || kind === 'resume';
  const lines = Object.entries({
    Host: 'desk.example',
    'Anvilstack-Request-Id': id,
    'Anvilstack-Deadline-Ms': '5000',
    ...(isModel
      ? {
          'Anvilstack-Model': 'm',
          'Anvilstack-Token-Count': '1000,9',
          'Anvilstack-Prompt-Prefix': `${id}:300`,
        }
      : {}),
    ...headers,
    ...(isChunked
      ? {'Transfer-Encoding': 'chunked'}
      : {'Content-Length': body.length}),
  }).map(([name, value]) => `${name}: ${value}`);
  const half = Math.floor(body.length / 2);
  const sent = isChunked
    ? [body.slice(0, half), body.slice(half), '']
        .map(part => `${part.length.toString(16)}\r\n${part}\r\n`)
        .join('')
    : body;
  return `POST /${kind}/${id} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${sent}`;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
