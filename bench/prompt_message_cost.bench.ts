/**
 * Processor time and bytes that messages about prompts cost the busiest node of a fleet. The model
 * of the trials gives the messages that this node sends and receives; a process of its own then
 * sends and receives them over loopback, in real time and with the gateway's code.
 * Run: npm run -s transpile && node build/js/bench/prompt_message_cost.bench.js
 */
import {type ChildProcess, fork} from 'node:child_process';
import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {DEFAULT_SCOPE_SIZE} from '../src/announcements';
import {createLogger} from '../src/diagnostics/log';
import {encodeMessage} from '../src/gateway/peer_messages';
import {createPeers} from '../src/gateway/peers';
import {createPrefillQueues} from '../src/gateway/prefill_queues';
import {createPrefixDirectory} from '../src/gateway/prefix_directory';
import {createSystemClock} from '../src/runtime';
import {
  createEngines,
  createRecord,
  DEFAULT_ENGINES_PER_NODE,
} from './prompt_messages_fleet';
import {runModel} from './prompt_messages_model';
import type {MessageEvent, ModelOptions} from './prompt_messages_types';

/** What the measured process is told. */
interface Task {
  readonly nodes: number;
  readonly index: number;
  readonly port: number;
  readonly durationMs: number;
  readonly sent: readonly MessageEvent[];
}

/** What it replies when it is done. */
interface Usage {
  readonly cpuMs: number;
}

interface Trial {
  readonly name: string;
  readonly options: ModelOptions;
}

const DURATION_MS = 8_000;
const IDLE_MS = 3_000;
const ROUNDS = 3;
const TICK_MS = 5;
const START_MS = 200;
const LOAD = 1;
const MAX_RATIO = 1.5;
const KV_TOKENS = 450_000;
/** Room for the bursts of a tick, in bytes. */
const SOCKET_BUFFER_BYTES = 4_000_000;

const TRIALS: readonly Trial[] = [
  createTrial('all nodes', 30, {policy: {kind: 'all'}}),
  createTrial('nodes in scope', 100, createScopeOptions()),
  createTrial('nodes in scope', 300, createScopeOptions()),
];

if (process.send === undefined) await runTrials();
else process.once('message', task => void runMeasured(task as Task));

function createTrial(
  name: string,
  nodes: number,
  options: Pick<ModelOptions, 'policy' | 'rule'>,
): Trial {
  return {
    name,
    options: {nodes, seed: 1, durationMs: DURATION_MS, load: LOAD, ...options},
  };
}

function createScopeOptions(): Pick<ModelOptions, 'policy' | 'rule'> {
  return {
    policy: {kind: 'scope', size: DEFAULT_SCOPE_SIZE},
    rule: {minPrefillMs: 20, assumesEnds: true},
  };
}

async function runTrials(): Promise<void> {
  const traces = TRIALS.map(({options}) => createTrace(options));
  const used: number[][] = TRIALS.map(() => []);
  const bytes = TRIALS.map(() => ({sent: 0, received: 0}));
  // The sizes take turns, so that load from other programs affects all of them alike.
  for (let round = 0; round < ROUNDS; round++) {
    for (const [index, {options}] of TRIALS.entries()) {
      const {nodes} = options;
      const {busiest, events} = traces[index];
      const idle = await runNode(nodes, busiest, [], IDLE_MS);
      const busy = await runNode(nodes, busiest, events, DURATION_MS);
      used[index].push(busy.cpuMsPerS - idle.cpuMsPerS);
      bytes[index] = busy.bytesPerS;
    }
  }
  console.log(
    '| nodes | announced to | processor time, ms/s | datagrams/s | KB/s sent | KB/s received |',
  );
  console.log('| --- | --- | --- | --- | --- | --- |');
  for (const [index, {name, options}] of TRIALS.entries()) {
    const {sent, received} = bytes[index];
    console.log(
      `| ${options.nodes} | ${name} | ` +
        `${used[index].map(ms => ms.toFixed(1)).join(' / ')} | ` +
        `${traces[index].perS.toFixed(0)} | ${formatKb(sent)} | ${formatKb(received)} |`,
    );
  }
  const [small, , large] = used.map(values => Math.min(...values));
  const [smallBytes, , largeBytes] = bytes.map(
    ({sent, received}) => sent + received,
  );
  const ratios = [large / small, largeBytes / smallBytes];
  console.log(
    `300 nodes to 30: processor time ${ratios[0].toFixed(2)}, ` +
      `bytes ${ratios[1].toFixed(2)}; at most ${MAX_RATIO}`,
  );
  if (Math.max(...ratios) > MAX_RATIO) process.exitCode = 1;
}

function formatKb(bytes: number): string {
  return (bytes / 1_000).toFixed(0);
}

function createTrace(options: ModelOptions) {
  const {busiestNode, busiestPerS} = runModel(options);
  const events: MessageEvent[] = [];
  runModel({
    ...options,
    onMessage: event => {
      if (event.node === busiestNode) events.push(event);
    },
  });
  events.sort((left, right) => left.atMs - right.atMs);
  return {busiest: busiestNode, perS: busiestPerS, events};
}

/** Runs the node in a process of its own; this process stands for all other nodes. */
async function runNode(
  nodes: number,
  index: number,
  events: readonly MessageEvent[],
  durationMs: number,
) {
  const socket = createSocket('udp4');
  let sentBytes = 0;
  socket.on('message', datagram => {
    sentBytes += datagram.length;
  });
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  socket.setRecvBufferSize(SOCKET_BUFFER_BYTES);
  const child = fork(fileURLToPath(import.meta.url));
  const task: Task = {
    nodes,
    index,
    port: socket.address().port,
    durationMs,
    sent: events.filter(event => event.isSent),
  };
  child.send(task);
  const [ready] = (await once(child, 'message')) as [{port: number}];
  const done = once(child, 'message') as Promise<[Usage]>;
  const receivedBytes = await sendReceived(socket, ready.port, events, child);
  const [usage] = await done;
  socket.close();
  const perS = 1_000 / durationMs;
  return {
    cpuMsPerS: usage.cpuMs * perS,
    bytesPerS: {sent: sentBytes * perS, received: receivedBytes * perS},
  };
}

async function sendReceived(
  socket: Socket,
  port: number,
  events: readonly MessageEvent[],
  child: ChildProcess,
): Promise<number> {
  let bytes = 0;
  const received = events.filter(event => !event.isSent);
  child.send('start');
  await runTimed(received, ({message}) => {
    const datagram = encodeMessage(message);
    bytes += datagram.length;
    socket.send(datagram, port, '127.0.0.1');
  });
  return bytes;
}

/** Handles the events at their times, in ticks. */
async function runTimed(
  events: readonly MessageEvent[],
  handle: (event: MessageEvent) => void,
): Promise<void> {
  const startMs = performance.now() + START_MS;
  for (const event of events) {
    if (event.atMs > DURATION_MS) return;
    while (performance.now() < startMs + event.atMs) await sleep(TICK_MS);
    handle(event);
  }
}

async function runMeasured(task: Task): Promise<void> {
  const queues = createPrefillQueues();
  const prefixes = createPrefixDirectory(() => KV_TOKENS);
  const engineCount = Math.round(task.nodes * DEFAULT_ENGINES_PER_NODE);
  const entries = createEngines(engineCount).map(({entry}) => entry);
  const byId = new Map(entries.map(entry => [entry.id, entry]));
  const port = await findPort();
  const clock = createSystemClock();
  const peers = createPeers({
    self: {...createRecord(task.index), peerPort: port},
    engines: {listUsable: () => entries, tryGetUsable: id => byId.get(id)},
    logger: createLogger({node: 'n', write: () => undefined}),
    clock,
    getRandom: Math.random,
    onMessage: message => {
      const nowMs = clock.getMonotonicMs();
      if (message.kind === 'placed') {
        queues.add({...message, id: message.jobId}, nowMs);
        prefixes.recordPrefill(message.serverId, message.parts);
      } else if (message.kind === 'overdue') {
        queues.recordOverdue(message.jobId, nowMs);
      } else if (message.kind === 'read') queues.remove(message.jobId, nowMs);
    },
  });
  await peers.open();
  for (let index = 0; index < task.nodes; index++) {
    peers.add({...createRecord(index), peerPort: task.port});
  }
  process.send?.({port});
  await once(process, 'message');
  const before = process.cpuUsage();
  const endMs = performance.now() + START_MS + task.durationMs;
  await runTimed(task.sent, ({message}) => peers.notify(message));
  while (performance.now() < endMs) await sleep(TICK_MS);
  const {user, system} = process.cpuUsage(before);
  peers.close();
  const usage: Usage = {cpuMs: (user + system) / 1_000};
  process.send?.(usage, () => process.disconnect());
}

async function findPort(): Promise<number> {
  const socket = createSocket('udp4');
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  const {port} = socket.address();
  await new Promise<void>(resolve => socket.close(() => resolve()));
  return port;
}
