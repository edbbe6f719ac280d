/** Answers without a length that must not pass for whole, and those that must, before servers on raw sockets. */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
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

/** A server behind one node that has sent no request yet. */
interface Scene {
  readonly system: TestSystem;
  readonly server: MortalServer;
  send(name: string, id?: string): Promise<CallerAnswer>;
}

const closers: Array<() => Promise<void>> = [];
afterEach(() => Promise.all(closers.splice(0).map(close => close())));

const EVENTS = [1, 2, 3].map(id => `id: ${id}\ndata: piece ${id}\n\n`);
const PLAIN = 'booked: four boards';
/** The requests of callers: name of the route, and whether its service is an engine. */
const ROUTES = [
  ['look', false],
  ['order', false],
  ['ask', true],
  ['resume', true],
] as const;
const EVENT_INTERVAL_MS = 40;

let promptCount = 0;

async function startScene(
  isEngine: boolean,
  options: Pick<MortalServerOptions, 'statesStart' | 'answer' | 'answerCheck'>,
): Promise<Scene> {
  const system = await startSystem({});
  const server = await startMortalServer({
    store: system.store,
    id: 'server-1',
    service: isEngine ? 'llm' : 'app',
    ...(isEngine ? {stage: 'decode' as const} : {}),
    ...options,
  });
  closers.push(async () => {
    server.close();
    await system.close();
  });
  await waitUntil('the node knows the server', async () => {
    const {entries} = await loadSnapshot(system.nodes[0]);
    return entries.length === 1 && isNodeReady(system.nodes[0]);
  });
  return {
    system,
    server,
    send: (name, id) =>
      system.send({
        path: `/${name}/x`,
        method: name === 'look' ? 'GET' : 'POST',
        ...(id === undefined ? {} : {id}),
        ...(isEngine
          ? {tokens: '900,9', parts: `aa:600,own-${promptCount++}:300`}
          : {}),
      }),
  };
}

/** Writes an answer of a kind that fits the request, whole and at once. */
const answerWhole: Answer = (request, server) => {
  sendHeadOf(request, server);
  request.socket.end(isStream(request) ? EVENTS.join('') : PLAIN);
};

/** Answers whole with a length, so that the connection stays open. */
const answerFramed: Answer = (request, server) => {
  const body = isStream(request) ? EVENTS.join('') : PLAIN;
  sendHeadOf(request, server, `Content-Length: ${body.length}`);
  request.socket.write(body);
};

function isStream({path}: RawRequest): boolean {
  return path.startsWith('/ask') || path.startsWith('/resume');
}

function sendHeadOf(
  request: RawRequest,
  server: MortalServer,
  ...lines: string[]
): void {
  const type = isStream(request) ? ['Content-Type: text/event-stream'] : [];
  server.sendHead(request, ...type, ...lines);
}

/** Ends the process between two events, or within a plain body; requests whose id begins with `framed` are answered whole. */
function createDyingAnswer(lateMs: number, ownLateMs = 0): Answer {
  return (request, server) => {
    if (request.id?.startsWith('framed')) {
      // Several connections at a time, so that some are idle later.
      setTimeout(() => answerFramed(request, server), 20);
      return;
    }
    sendHeadOf(request, server);
    const {socket} = request;
    socket.write(isStream(request) ? EVENTS[0] : PLAIN.slice(0, 8));
    setTimeout(() => {
      if (isStream(request)) socket.write(EVENTS[1]);
      setTimeout(
        () => server.killProcess(socket, lateMs, ownLateMs),
        EVENT_INTERVAL_MS,
      );
    }, EVENT_INTERVAL_MS);
  };
}

function isFramedAsWhole({status, isComplete}: CallerAnswer): boolean {
  return status === 200 && isComplete;
}

for (const statesStart of [true, false]) {
  for (const lateMs of [0, 60, 250, 700]) {
    for (const others of [0, 1, 3]) {
      const what = `the ends of ${others} other connections arrive ${lateMs} ms late${statesStart ? '' : ', start not stated'}`;
      test(`an answer whose process ends is not framed as whole: ${what}`, async () => {
        for (const [name, isEngine] of ROUTES) {
          const scene = await startScene(isEngine, {
            statesStart,
            answer: createDyingAnswer(lateMs),
          });
          await Promise.all(
            Array.from({length: others}, (_, index) =>
              scene.send(name, `framed-${name}-${index}-${promptCount}`),
            ),
          );
          const answer = await scene.send(name);
          assert.equal(isFramedAsWhole(answer), false, name);
        }
      });
    }
  }
}

test('an answer whose own end arrives after the server has started again is not framed as whole', async () => {
  for (const [name, isEngine] of ROUTES) {
    const scene = await startScene(isEngine, {
      statesStart: false,
      answer: createDyingAnswer(250, 250),
    });
    const due = scene.send(name);
    await sleep(3 * EVENT_INTERVAL_MS);
    const id = () => `framed-${name}-${promptCount}`;
    await Promise.all([scene.send(name, id()), scene.send(name, `${id()}b`)]);
    assert.equal(isFramedAsWhole(await due), false, name);
  }
});

for (const type of [
  'Text/Event-Stream',
  'TEXT/EVENT-STREAM; charset=utf-8',
  'text/event-streams',
  'application/octet-stream',
  'application/json',
  '',
]) {
  test(`a stream without a length that ends inside an event is not framed as whole: content type '${type}'`, async () => {
    for (const name of ['ask', 'resume']) {
      const {send} = await startScene(true, {
        statesStart: true,
        answer: (request, server) => {
          server.sendHead(request, `Content-Type: ${type}`);
          request.socket.write(EVENTS[0]);
          setTimeout(
            () => request.socket.end('id: 2\ndata: pie'),
            EVENT_INTERVAL_MS,
          );
        },
      });
      assert.equal(isFramedAsWhole(await send(name)), false, name);
    }
  });

  test(`a whole stream without a length of a server that lives is framed as whole: content type '${type}'`, async () => {
    for (const name of ['ask', 'resume']) {
      const {send} = await startScene(true, {
        statesStart: true,
        answer: (request, server) => {
          server.sendHead(request, `Content-Type: ${type}`);
          request.socket.end(EVENTS.join(''));
        },
      });
      const answer = await send(name);
      assert.equal(isFramedAsWhole(answer), true, name);
      assert.equal(answer.body, EVENTS.join(''));
    }
  });
}

for (const [name, isEngine] of ROUTES) {
  for (const statesStart of [true, false]) {
    const start = statesStart ? 'stated' : 'not stated';
    test(`whole answers without a length of a server that lives are framed as whole: ${name}, start ${start}`, async () => {
      const scene = await startScene(isEngine, {
        statesStart,
        answer: answerWhole,
      });
      for (let count = 0; count < 6; count++) {
        const answer = await scene.send(name);
        assert.equal(isFramedAsWhole(answer), true, `answer ${count}`);
        assert.equal(answer.body, isEngine ? EVENTS.join('') : PLAIN);
        await sleep(count < 3 ? 0 : 60);
      }
    });
  }

  test(`whole answers without a length of a server that lives are framed as whole: ${name}, eight at a time`, async () => {
    const scene = await startScene(isEngine, {
      statesStart: false,
      answer: answerWhole,
    });
    const answers = await Promise.all(
      Array.from({length: 8}, () => scene.send(name)),
    );
    assert.deepEqual(answers.map(isFramedAsWhole), Array(8).fill(true));
  });

  test(`whole answers without a length after framed ones are framed as whole: ${name}`, async () => {
    let isFramed = true;
    const scene = await startScene(isEngine, {
      statesStart: false,
      answer: (request, server) =>
        (isFramed ? answerFramed : answerWhole)(request, server),
    });
    assert.equal(isFramedAsWhole(await scene.send(name)), true);
    isFramed = false;
    assert.equal(isFramedAsWhole(await scene.send(name)), true);
  });
}

test('a whole answer without a length is framed as whole although the server refuses checks', async () => {
  for (const [name, isEngine] of ROUTES) {
    const scene = await startScene(isEngine, {
      statesStart: false,
      answer: answerWhole,
      answerCheck: ({socket}) =>
        socket.write(
          'HTTP/1.1 503 Service Unavailable\r\nAnvilstack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
        ),
    });
    assert.equal(isFramedAsWhole(await scene.send(name)), true, name);
  }
});

for (const state of ['draining', 'gone'] as const) {
  test(`a whole answer without a length is framed as whole although its server is ${state} meanwhile`, async () => {
    for (const [name, isEngine] of ROUTES) {
      const scene = await startScene(isEngine, {
        statesStart: false,
        answer: (request, server) => {
          if (state === 'draining') server.publish('draining');
          else server.withdraw();
          // Longer than the node takes to learn of the change, shorter than its patience for a lookup.
          setTimeout(() => answerWhole(request, server), 350);
        },
      });
      assert.equal(isFramedAsWhole(await scene.send(name)), true, name);
    }
  });
}

test('a caller of HTTP/1.0 can tell an answer that broke off from a whole one', async () => {
  for (const isBroken of [true, false]) {
    const scene = await startScene(true, {
      statesStart: true,
      answer: (request, server) => {
        sendHeadOf(request, server);
        request.socket.write(EVENTS[0]);
        setTimeout(
          () => request.socket.end(isBroken ? 'id: 2\ndata: pie' : EVENTS[1]),
          EVENT_INTERVAL_MS,
        );
      },
    });
    const {callersPort} = scene.system.nodes[0];
    const wasReset = await new Promise<boolean>(resolve => {
      const socket = connect(callersPort, '127.0.0.1');
      socket.on('error', () => resolve(true));
      socket.on('end', () => resolve(false));
      socket.resume();
      socket.write(
        `POST /ask/x HTTP/1.0\r\nHost: desk.example\r\nAnvilstack-Request-Id: old-${isBroken}\r\nAnvilstack-Deadline-Ms: 3000\r\nAnvilstack-Model: m\r\nAnvilstack-Token-Count: 900,9\r\nAnvilstack-Prompt-Prefix: aa:600,old-${isBroken}:300\r\nContent-Length: 2\r\n\r\nhi`,
      );
    });
    assert.equal(wasReset, isBroken);
  }
});
