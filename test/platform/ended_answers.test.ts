/** Answers that their server breaks off, in every framing and at every stage of a request: none is framed as whole. */
import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  type MortalServer,
  type MortalServerOptions,
  type RawRequest,
  startMortalServer,
} from './mortal_server';
import {
  type CallerAnswer,
  isNodeReady,
  loadSnapshot,
  startSystem,
  type TestSystem,
  waitUntil,
} from './system';

type Answer = MortalServerOptions['answer'];

/** How the body of an answer is delimited; the text is that of a body or of its beginning. */
interface Framing {
  readonly version: string;
  readonly lines: (fullBytes: number) => readonly string[];
  readonly format: (text: string, isLast: boolean) => string;
}

const closers: Array<() => Promise<void>> = [];
afterEach(() => Promise.all(closers.splice(0).map(close => close())));

const EVENTS = [1, 2, 3].map(id => `id: ${id}\ndata: piece ${id}\n\n`);
const STREAM = EVENTS.join('');
const PLAIN = 'booked: four boards and twelve brackets';
const ROUTE_NAMES = ['look', 'order', 'ask', 'resume'] as const;
/** Largest plain body that the node holds back until it is whole, in bytes. */
const BUFFERED_BYTES = 65_536;
/** Time between the parts of an answer, in milliseconds. */
const PART_INTERVAL_MS = 20;

const FRAMINGS: Readonly<Record<string, Framing>> = {
  'a length': {
    version: '1.1',
    lines: bytes => [`Content-Length: ${bytes}`],
    format: text => text,
  },
  'a length, HTTP/1.0': {
    version: '1.0',
    lines: bytes => [`Content-Length: ${bytes}`],
    format: text => text,
  },
  chunks: {
    version: '1.1',
    lines: () => ['Transfer-Encoding: chunked'],
    format: (text, isLast) =>
      `${text.length.toString(16)}\r\n${text}\r\n${isLast ? '0\r\n\r\n' : ''}`,
  },
  neither: {version: '1.1', lines: () => [], format: text => text},
  'neither, HTTP/1.0': {version: '1.0', lines: () => [], format: text => text},
  'neither, HTTP/1.0 with keep-alive': {
    version: '1.0',
    lines: () => ['Connection: keep-alive'],
    format: text => text,
  },
};

/** Number of bytes of a stream and of a plain body that arrive before the server's process ends. */
const CUTS: Readonly<Record<string, readonly [number, number]>> = {
  'after the head': [0, 0],
  'inside an event': [EVENTS[0].length + 5, 10],
  'between two events': [EVENTS[0].length * 2, 20],
  'before the last line end': [STREAM.length - 1, PLAIN.length - 1],
};

function isStream({path}: RawRequest): boolean {
  return path.startsWith('/ask') || path.startsWith('/resume');
}

function isFramedAsWhole(answer: CallerAnswer): boolean {
  return answer.status === 200 && answer.isComplete;
}

function writeHead(
  {socket, id}: RawRequest,
  {version, lines}: Framing,
  fullBytes: number,
): void {
  const head = [
    `HTTP/${version} 200 OK`,
    `Anvilstack-Request-Id: ${id ?? ''}`,
    'Anvilstack-Response-Seal: seal',
    ...lines(fullBytes),
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
}

/** Sends the whole body, and ends the connection where nothing else delimits it. */
function answerWhole(request: RawRequest, framing: Framing): void {
  const body = isStream(request) ? STREAM : PLAIN;
  writeHead(request, framing, body.length);
  request.socket.write(framing.format(body, true));
  if (framing === FRAMINGS['a length'] || framing === FRAMINGS['chunks']) {
    return;
  }
  request.socket.end();
}

async function startServers(
  options: ReadonlyArray<Omit<MortalServerOptions, 'store' | 'statesStart'>>,
): Promise<{system: TestSystem; servers: MortalServer[]}> {
  const system = await startSystem({});
  const servers: MortalServer[] = [];
  closers.push(async () => {
    for (const server of servers) server.close();
    await system.close();
  });
  for (const server of options) {
    servers.push(
      await startMortalServer({
        ...server,
        store: system.store,
        statesStart: true,
      }),
    );
  }
  await waitUntil('the node knows all servers', async () => {
    const {entries} = await loadSnapshot(system.nodes[0]);
    return entries.length === options.length && isNodeReady(system.nodes[0]);
  });
  return {system, servers};
}

/** Starts a plain service and an engine that answer alike. */
function startBoth(answer: Answer) {
  return startServers([
    {id: 'app-1', service: 'app', answer},
    {id: 'engine-1', service: 'llm', stage: 'decode', answer},
  ]);
}

let requestCount = 0;

/** Sends a request; again if it was refused, as a busy machine may not serve it in time. */
async function send(
  system: TestSystem,
  name: string,
  id?: string,
): Promise<CallerAnswer> {
  const isModel = name === 'ask' || name === 'resume';
  for (;;) {
    const number = requestCount++;
    const answer = await system.send({
      path: `/${name}/x`,
      method: name === 'look' ? 'GET' : 'POST',
      id: `${id ?? 'request'}-${number}`,
      ...(isModel
        ? {tokens: '900,9', parts: `p${number}:600,q${number}:300`}
        : {}),
    });
    if (answer.status !== 503) return answer;
    await sleep(PART_INTERVAL_MS);
  }
}

for (const [framingName, framing] of Object.entries(FRAMINGS)) {
  for (const [cutName, [streamBytes, plainBytes]] of Object.entries(CUTS)) {
    for (const isKept of [false, true]) {
      const where = isKept ? 'a kept connection' : 'a new connection';
      test(`an answer with ${framingName} whose process ends ${cutName} is not framed as whole: ${where}`, async () => {
        const tryRoute = async (name: string) => {
          const {system} = await startBoth((request, server) => {
            if (request.id?.startsWith('warm')) {
              answerWhole(request, FRAMINGS['a length']);
              return;
            }
            const body = isStream(request) ? STREAM : PLAIN;
            writeHead(request, framing, body.length);
            const part = body.slice(
              0,
              isStream(request) ? streamBytes : plainBytes,
            );
            if (part !== '') request.socket.write(framing.format(part, false));
            setTimeout(
              () => server.killProcess(request.socket, 250),
              PART_INTERVAL_MS,
            );
          });
          if (isKept) {
            const warm = await send(system, name, `warm-${name}`);
            assert.equal(isFramedAsWhole(warm), true, name);
          }
          assert.equal(isFramedAsWhole(await send(system, name)), false, name);
        };
        await Promise.all(ROUTE_NAMES.map(tryRoute));
      });
    }
  }

  test(`whole answers with ${framingName} are framed as whole, on new and on kept connections`, async () => {
    const {system} = await startBoth(request => answerWhole(request, framing));
    for (const name of ROUTE_NAMES) {
      for (let count = 0; count < 3; count++) {
        const answer = await send(system, name);
        assert.equal(isFramedAsWhole(answer), true, `${name} ${count}`);
        const isModel = name === 'ask' || name === 'resume';
        assert.equal(answer.body, isModel ? STREAM : PLAIN);
      }
    }
  });
}

for (const bytes of [BUFFERED_BYTES, BUFFERED_BYTES + 1, 3 * BUFFERED_BYTES]) {
  test(`a plain body without a length that breaks off after ${bytes} bytes is not framed as whole, a whole one is`, async () => {
    const {system} = await startBoth((request, server) => {
      writeHead(request, FRAMINGS['neither'], 0);
      request.socket.write('x'.repeat(bytes));
      if (request.id?.startsWith('whole')) request.socket.end();
      else {
        setTimeout(
          () => server.killProcess(request.socket, 60),
          PART_INTERVAL_MS,
        );
      }
    });
    for (const name of ['look', 'order']) {
      const whole = await send(system, name, `whole-${name}`);
      assert.equal(isFramedAsWhole(whole), true, name);
      assert.equal(whole.body.length, bytes);
      assert.equal(isFramedAsWhole(await send(system, name)), false, name);
    }
  });
}

/** Answers of a prefill engine. */
function answerPrefill({socket}: RawRequest, text: string): void {
  socket.end(
    `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n${text}`,
  );
}

const HANDLE = '{"transferHandle":"3fa0","tokens":900,"version":1}';

test('a handle in an answer without a length is used when it is whole, whoever ends then, and not when it is cut short', async () => {
  for (const text of [HANDLE, HANDLE.slice(0, -1), HANDLE.slice(0, 24), '']) {
    const sources: string[] = [];
    const {system} = await startServers([
      {
        id: 'reader',
        service: 'llm',
        stage: 'prefill',
        answer: (request, server) => {
          answerPrefill(request, text);
          setTimeout(() => server.killProcess(request.socket, 60), 1);
        },
      },
      {
        id: 'writer',
        service: 'llm',
        stage: 'decode',
        answer: request => {
          const source = /anvilstack-kv-source: (\S+)/i.exec(request.text)?.[1];
          if (source !== undefined) sources.push(source);
          answerWhole(request, FRAMINGS['a length']);
        },
      },
    ]);
    const answer = await send(system, 'ask');
    assert.equal(isFramedAsWhole(answer), true, text);
    assert.equal(answer.body, STREAM);
    const isWhole = text === HANDLE;
    assert.equal(sources.length, isWhole ? 1 : 0, text);
    if (isWhole) assert.match(sources[0], /\/3fa0$/);
  }
});

for (const [what, isWhole, endSecond] of [
  [
    'inside an event',
    false,
    ({socket}: RawRequest) => socket.end('id: 3\ndata: pie'),
  ],
  [
    'with its process, between two events',
    false,
    ({socket}: RawRequest, server: MortalServer) =>
      setTimeout(() => server.killProcess(socket, 250), PART_INTERVAL_MS),
  ],
  [
    'with its process, after the last event',
    false,
    ({socket}: RawRequest, server: MortalServer) => {
      socket.write(EVENTS[2]);
      setTimeout(() => server.killProcess(socket, 250), PART_INTERVAL_MS);
    },
  ],
  [
    'after the last event',
    true,
    ({socket}: RawRequest) => socket.end(EVENTS[2]),
  ],
] as const) {
  test(`a stream that a second server resumes without a length is ${isWhole ? '' : 'not '}framed as whole when it ends ${what}`, async () => {
    const answer: Answer = (request, server) => {
      const isResumed = /\r\nlast-event-id: /i.test(request.text);
      writeHead(request, FRAMINGS['neither'], 0);
      request.socket.write(isResumed ? EVENTS[1] : EVENTS[0]);
      if (isResumed) endSecond(request, server);
      else {
        setTimeout(
          () => server.killProcess(request.socket, 250),
          PART_INTERVAL_MS,
        );
      }
    };
    const {system} = await startServers(
      ['one', 'two'].map(id => ({
        id,
        service: 'llm',
        stage: 'decode' as const,
        answer,
      })),
    );
    const result = await send(system, 'resume');
    assert.equal(isFramedAsWhole(result), isWhole);
    if (isWhole) assert.equal(result.body, STREAM);
  });
}

test('a whole answer without a length is framed as whole although the way of the check is slow or its first packet is lost', async () => {
  for (const delayMs of [60, 250, 400]) {
    for (const name of ROUTE_NAMES) {
      let isSlow = false;
      const {system} = await startServers(
        (['app', 'llm'] as const).map(service => ({
          id: `${service}-1`,
          service,
          ...(service === 'llm' ? {stage: 'decode' as const} : {}),
          answer: (request: RawRequest) => {
            isSlow = true;
            answerWhole(request, FRAMINGS['neither']);
          },
          answerCheck: async (request: RawRequest, server: MortalServer) => {
            if (isSlow) await sleep(delayMs);
            server.sendCheckAnswer(request);
          },
        })),
      );
      const answer = await send(system, name);
      assert.equal(isFramedAsWhole(answer), true, `${name}, ${delayMs} ms`);
    }
  }
});

test('an answer whose server is silent afterwards is not framed as whole, and its caller does not wait for its deadline', async () => {
  for (const name of ROUTE_NAMES) {
    const {system} = await startServers(
      (['app', 'llm'] as const).map(service => ({
        id: `${service}-1`,
        service,
        ...(service === 'llm' ? {stage: 'decode' as const} : {}),
        answer: (request: RawRequest) =>
          answerWhole(request, FRAMINGS['neither']),
        answerCheck: () => undefined,
      })),
    );
    const answer = await send(system, name);
    assert.equal(isFramedAsWhole(answer), false, name);
  }
});
