/** Helpers for the tests of the gateway. */
import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {Err, Ok} from 'ts-results';
import type {BackendCall, CallHandler} from '../../src/gateway/backend_call';
import type {Connections} from '../../src/gateway/connections';
import type {ProcessChecks} from '../../src/gateway/process_check';
import {CheckResult} from '../../src/gateway/process_proofs';
import type {QuarantineRecord} from '../../src/gateway/part_quarantine';
import {
  type BackendEntry,
  type CallFailure,
  DEFAULT_CALLER_LIMITS,
  type EngineLimits,
  type FleetStore,
  type GatewayConfig,
  type StoreFailure,
} from '../../src/gateway/types';
import {createLogger} from '../../src/diagnostics/log';

/** Engine limits like those of the deployments. */
export const ENGINE_LIMITS: EngineLimits = {
  maxRunning: 64,
  kvTokens: 450_000,
  kvBytesPerToken: 163_840,
  linkMbps: 1_600_000,
  stageChangeMs: 3_000,
  handleLifetimeMs: 5_000,
};

/** A configuration without routes and services. */
export const EMPTY_CONFIG: GatewayConfig = {
  version: 1,
  routes: [],
  services: [],
  limits: DEFAULT_CALLER_LIMITS,
};

/** The failure of a store that does not answer. */
export const SILENT_STORE: StoreFailure = {
  kind: 'unavailable',
  mayHaveTakenEffect: false,
  message: 'silent',
};

/** A logger that discards all lines. */
export const SILENT_LOGGER = createLogger({
  node: 'front-1',
  write: () => undefined,
});

/** Checks of servers that do not state their start. */
export const CHECKS: ProcessChecks = {
  canState: () => false,
  isStating: () => false,
  tryBuild: () => ({
    call: {method: 'GET', path: '/check', headers: []},
    parseResult: () => CheckResult.Nothing,
  }),
  canPrepare: () => true,
  isOwnAnswer: () => true,
};

/** Creates an entry of service discovery. */
export function createEntry(options: Partial<BackendEntry> = {}): BackendEntry {
  return {
    id: 'server-1',
    service: 'app',
    host: '127.0.0.1',
    port: 1,
    failureDomain: 'a',
    maxRunning: 4,
    isLeaving: false,
    startedAtMs: 1,
    ...options,
  };
}

/** A server that answers each request with the bytes that a test chooses. */
export interface RawServer {
  readonly entry: BackendEntry;
  /** Requests seen, as text. */
  readonly requests: string[];
  close(): void;
}

/** Starts a raw server; `answer` is called with each request once its head and body have arrived. */
export async function startRawServer(
  answer: (socket: Socket, request: string, count: number) => void,
  options: Partial<BackendEntry> = {},
): Promise<RawServer> {
  const requests: string[] = [];
  const sockets = new Set<Socket>();
  const server: Server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      const headEnd = text.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
      if (text.length < headEnd + 4 + length) return;
      requests.push(text);
      const request = text;
      text = '';
      answer(socket, request, requests.length);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {
    entry: createEntry({port, ...options}),
    requests,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** How a call ended. */
export interface CallOutcome {
  readonly status: number;
  readonly body: string;
  readonly failure?: CallFailure;
}

/** Sends a call and resolves when it has ended. */
export function sendCall(
  connections: Connections,
  server: BackendEntry,
  options: Partial<BackendCall> = {},
): Promise<CallOutcome> {
  return new Promise(resolve => {
    let status = 0;
    let body = '';
    const handler: CallHandler = {
      onAnswer: answerStatus => {
        status = answerStatus;
      },
      onData: chunk => {
        body += chunk.toString();
      },
      onEnd: () => resolve({status, body}),
      onFailure: failure => resolve({status, body, failure}),
    };
    connections.call({
      server,
      method: 'GET',
      path: '/x/',
      headers: [],
      handler,
      ...options,
    });
  });
}

/** A store of quarantined parts, and what a test reads and sets of it. */
export interface QuarantineFake {
  readonly store: Pick<FleetStore, 'loadQuarantine' | 'appendQuarantine'>;
  readonly fake: {
    isDown: boolean;
    readonly records: ReadonlyMap<string, QuarantineRecord>;
  };
}

/** Creates an empty store; each call first waits for `delay`. */
export function createQuarantineFake(
  delay: () => Promise<void> = () => Promise.resolve(),
): QuarantineFake {
  const records = new Map<string, QuarantineRecord>();
  const fake = {isDown: false, records};
  let endOffset = 0;
  return {
    fake,
    store: {
      loadQuarantine: async () => {
        await delay();
        if (fake.isDown) return Err(SILENT_STORE);
        return Ok({records: [...records.values()], endOffset});
      },
      appendQuarantine: async (entry, expectedEndOffset) => {
        await delay();
        if (fake.isDown) return Err(SILENT_STORE);
        if (expectedEndOffset !== endOffset) {
          return Err({...SILENT_STORE, kind: 'conflict' as const});
        }
        const {partId, version, trialCount, isActive} = entry;
        if (isActive) records.set(partId, {partId, version, trialCount});
        else records.delete(partId);
        return Ok(endOffset++);
      },
    },
  };
}
