/** Gateway processes before servers that state limits, under open-loop traffic. */
import {execFileSync} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {mkdtempSync} from 'node:fs';
import {Agent} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {encodeMessage, type PeerMessage} from '../../src/gateway/peer_messages';
import {createDraw} from '../soak/schedule';
import {
  type NodeProcess,
  type NodeProcesses,
  startNodeProcesses,
} from '../soak/gateway_processes';
import {listLimitViolations} from './limit_check';
import {
  type ServerStandin,
  type ServerStandinOptions,
  startServerStandin,
} from './server_standin';
import {startStoreStandin} from './store_standin';
import {
  buildConfig,
  type CallerAnswer,
  sendAsCaller,
  waitUntil,
} from './system';

/** A request of the traffic. */
export interface SentRequest {
  readonly node: NodeProcess;
  readonly path: string;
  readonly sentAtMs: number;
  /** Undefined when the connection broke or the answer has not ended. */
  answer?: CallerAnswer;
}

/** The fleet. */
export interface LimitedFleet {
  readonly processes: NodeProcesses;
  readonly servers: ReadonlyMap<string, ServerStandin>;
  /** All requests sent, by id. */
  readonly requests: ReadonlyMap<string, SentRequest>;
  /** Lets a server state a limit from now on, in requests per second, or none. */
  setLimit(serverId: string, limitPerS: number | undefined): void;
  /** Cuts a node off from the other nodes, but not from the servers, or lets it hear them again. */
  setCutOff(node: NodeProcess, isCutOff: boolean): void;
  /** Sends requests to `paths` in turn at a mean rate until `durationMs` has passed; nodes with lower indexes get more of them. */
  sendTraffic(options: {
    readonly paths: readonly string[];
    readonly ratePerS: number;
    readonly durationMs: number;
    /** Shared and other tokens of model requests. */
    readonly tokens?: readonly [number, number];
  }): Promise<void>;
  /** Describes the limits that all nodes together exceeded. */
  listViolations(): string[];
  close(): Promise<void>;
}

/** Time that the servers work on a request, in milliseconds. */
const WORK_MS = 5;
/** Shared and other tokens of a model request unless the traffic states others. */
const DEFAULT_TOKENS = [600, 300] as const;
const HOST = '127.0.0.1';
const START_LIMIT_MS = 15_000;

const program = join(mkdtempSync(join(tmpdir(), 'anvilstack-')), 'gateway.cjs');

/** Builds the program that the fleets run. */
export function buildFleetProgram(): void {
  execFileSync(process.execPath, ['scripts/build_gateway.mjs', program]);
}

/** Starts nodes before the servers `app-N`, `r-N` (prefill) and `w-N` (decode). */
export async function startLimitedFleet(options: {
  readonly nodes: number;
  readonly apps?: number;
  readonly prefill?: number;
  readonly decode?: number;
  readonly seed?: number;
  /** Number of events of a stream and the time between them, in milliseconds. */
  readonly stream?: Pick<ServerStandinOptions, 'events' | 'eventIntervalMs'>;
}): Promise<LimitedFleet> {
  const draw = createDraw(options.seed ?? 1);
  const store = await startStoreStandin();
  store.put('keyed.op', 'config', buildConfig(1));
  const servers = new Map<string, ServerStandin>();
  await addServers('app', options.apps ?? 0);
  await addServers('r', options.prefill ?? 0, 'prefill');
  await addServers('w', options.decode ?? 0, 'decode');
  const processes = await startNodeProcesses(
    options.nodes,
    store.port,
    program,
  );
  const {nodes} = processes;
  const agent = new Agent({keepAlive: true});
  const socket = createSocket('udp4');
  socket.bind(0, HOST);
  await once(socket, 'listening');
  const requests = new Map<string, SentRequest>();
  for (const node of nodes) {
    await waitUntil(
      `${node.name} is ready`,
      () => isReady(node),
      START_LIMIT_MS,
    );
  }
  return {
    processes,
    servers,
    requests,
    setLimit,
    setCutOff,
    sendTraffic,
    listViolations,
    close: async () => {
      agent.destroy();
      socket.close();
      await processes.close();
      for (const server of servers.values()) server.close();
      store.close();
    },
  };

  async function addServers(
    prefix: string,
    count: number,
    stage?: 'prefill' | 'decode',
  ): Promise<void> {
    for (let index = 1; index <= count; index++) {
      const id = `${prefix}-${index}`;
      const service = stage === undefined ? 'app' : 'llm';
      const server = await startServerStandin({
        id,
        service,
        zone: 'a',
        store,
        workMs: WORK_MS,
        ...options.stream,
        ...(stage === undefined ? {} : {stage}),
      });
      servers.set(id, server);
    }
  }

  function setLimit(serverId: string, limitPerS: number | undefined): void {
    servers.get(serverId)?.setLimit(limitPerS);
  }

  function setCutOff(node: NodeProcess, isCutOff: boolean): void {
    for (const other of nodes) {
      if (other === node) continue;
      sendAddress(node, other, isCutOff);
      sendAddress(other, node, isCutOff);
    }
  }

  /** Tells a node the address of another one; with `isWrong`, that of this process, which ignores what it gets. */
  function sendAddress(
    node: NodeProcess,
    other: NodeProcess,
    isWrong: boolean,
  ): void {
    const message: PeerMessage = {
      kind: 'hello',
      node: {
        name: other.name,
        host: HOST,
        peerPort: isWrong ? socket.address().port : other.peerPort,
        controlPort: other.controlPort,
        failureDomain: 'a',
      },
      wantsReply: false,
    };
    socket.send(encodeMessage(message), node.peerPort, HOST);
  }

  async function sendTraffic(traffic: {
    readonly paths: readonly string[];
    readonly ratePerS: number;
    readonly durationMs: number;
    readonly tokens?: readonly [number, number];
  }): Promise<void> {
    const endsAtMs = performance.now() + traffic.durationMs;
    const open: Array<Promise<void>> = [];
    for (let count = 0; performance.now() < endsAtMs; count++) {
      open.push(
        sendOne(
          traffic.paths[count % traffic.paths.length],
          traffic.tokens ?? DEFAULT_TOKENS,
        ),
      );
      await sleep((1_000 / traffic.ratePerS) * (0.5 + draw(1_000) / 1_000));
    }
    await Promise.all(open);
  }

  /** Half of the requests go to the first node, half of the others to the second, and so on. */
  function chooseNode(): NodeProcess {
    const index = nodes.findIndex(() => draw(2) === 0);
    return nodes[index < 0 ? nodes.length - 1 : index];
  }

  async function sendOne(
    path: string,
    [shared, other]: readonly [number, number],
  ): Promise<void> {
    const node = chooseNode();
    const id = `q${requests.size}`;
    const isModel = path.startsWith('/ask') || path.startsWith('/resume');
    const request: SentRequest = {node, path, sentAtMs: performance.now()};
    requests.set(id, request);
    request.answer = await sendAsCaller(node.callersPort, {
      path,
      id,
      agent,
      abortAfterMs: 4_000,
      ...(isModel
        ? {
            tokens: `${shared + other},9`,
            parts: `s${draw(5)}:${shared},${id}:${other}`,
          }
        : {}),
    }).catch(() => undefined);
  }

  function listViolations(): string[] {
    return [...servers.values()].flatMap(({id, arrivals, limitChanges}) =>
      listLimitViolations(id, arrivals, limitChanges),
    );
  }
}

async function isReady(node: NodeProcess): Promise<boolean> {
  const url = `http://${HOST}:${node.readyPort}/readyz`;
  const response = await fetch(url).catch(() => undefined);
  await response?.text();
  return response?.status === 200;
}
