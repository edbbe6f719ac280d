/** Puts one node together: followers, writers, routing and listeners. */
import {randomUUID} from 'node:crypto';
import {
  createHttpEngineClient,
  createHttpServiceClient,
  type EngineClient,
} from '../backends';
import {createClaimsLedger, createClaimsStream} from '../claims';
import {createEventRing, type Logger} from '../diagnostics';
import {
  createCallerApp,
  createOperatorApp,
  createRequestPipeline,
} from '../entry';
import {createHttpLogService, createHttpVmList, type Vm} from '../platform';
import {createDispatcher, createServiceDispatcher} from '../routing';
import {type Clock, openListener} from '../runtime';
import type {Settings} from '../settings';
import {configStream, createStreamFollower, createStreamWriter} from '../state';
import {getBackendServers} from './fleet_view';

/** Options of a node. */
export interface NodeOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A running node. */
export interface AnvilstackNode {
  readonly id: string;
  /** Base addresses of its listeners. */
  readonly callerAddress: string;
  readonly operatorAddress: string;
  /** True once the state in force is known. */
  isReady(): boolean;
  /** Graceful shutdown: finishes what is open, then closes. */
  drain(): Promise<void>;
  /** Ends at once, as a crash would. */
  kill(): Promise<void>;
}

const CLAIMS_STREAM = 'claims-0';

/** Starts a node. */
export async function startNode(options: NodeOptions): Promise<AnvilstackNode> {
  const {settings, clock, logger} = options;
  const id = settings.node.id;
  const writerId = `${id}.${randomUUID().slice(0, 8)}`;
  const events = createEventRing({clock, node: id});
  const log = createHttpLogService({address: settings.platform.log_address});
  const vmList = createHttpVmList({
    address: settings.platform.vm_list_address,
  });
  const config = createStreamFollower({
    definition: configStream,
    log,
    clock,
    onHealthChange: reportLogHealth,
  });
  const claimsFollower = createStreamFollower({
    definition: createClaimsStream(CLAIMS_STREAM),
    log,
    clock,
  });
  const configWriter = createStreamWriter({
    follower: config,
    log,
    clock,
    writer: writerId,
  });
  const claimsWriter = createStreamWriter({
    follower: claimsFollower,
    log,
    clock,
    writer: writerId,
  });
  const engineClients = new Map<string, EngineClient>();
  let vms: readonly Vm[] = [];
  let isRunning = true;
  const dispatcher = createDispatcher({
    clock,
    getEngineClient,
    getRandom: Math.random,
    emitEvent: events.emit,
  });
  const services = createServiceDispatcher({
    clock,
    client: createHttpServiceClient(),
  });
  const pipeline = createRequestPipeline({
    clock,
    dispatcher,
    services,
    claims: createClaimsLedger({
      node: id,
      clock,
      follower: claimsFollower,
      writer: claimsWriter,
    }),
  });
  const callers = await openListener({
    app: createCallerApp({
      clock,
      pipeline,
      tryGetConfig: () => (isReady() ? config.getState() : undefined),
    }),
    ...parseListenAddress(settings.listen.callers),
  });
  const operators = await openListener({
    app: createOperatorApp({
      node: id,
      operators: settings.operator.map(operator => ({
        name: operator.name,
        tokenSha256: operator.token_sha256,
      })),
      config,
      configWriter,
      events,
      getFleet: () => ({node: id, vms}),
    }),
    ...parseListenAddress(settings.listen.operators),
  });
  config.start();
  claimsFollower.start();
  void watchFleet();
  logger.log('info', 'node started', {callers: callers.address});
  return {
    id,
    callerAddress: callers.address,
    operatorAddress: operators.address,
    isReady,
    drain,
    kill,
  };

  function isReady(): boolean {
    return config.isCaughtUp() && claimsFollower.isCaughtUp() && vms.length > 0;
  }

  function reportLogHealth(isHealthy: boolean, message: string): void {
    events.emit({
      kind: isHealthy ? 'log-back' : 'log-out',
      cause: isHealthy ? 'the log answers again' : message,
    });
  }

  function getEngineClient(engine: string): EngineClient {
    const known = engineClients.get(engine);
    if (known !== undefined) return known;
    const server = getBackendServers(vms).find(item => item.id === engine);
    if (server === undefined) throw new Error(`no engine ${engine}`);
    const client = createHttpEngineClient({server, clock});
    engineClients.set(engine, client);
    return client;
  }

  async function watchFleet(): Promise<void> {
    while (isRunning) {
      const answer = await vmList.list();
      if (answer.ok) vms = answer.val;
      const servers = getBackendServers(vms);
      dispatcher.updateServers(servers);
      services.updateServers(servers);
      await Promise.all(
        servers
          .filter(server => server.kind === 'model_engine')
          .map(server => readReport(server.id)),
      );
      await clock.sleep(settings.routing.report_interval_ms);
    }
  }

  async function readReport(engine: string): Promise<void> {
    const report = await getEngineClient(engine).getReport();
    if (report.ok) dispatcher.updateReport(report.val);
  }

  async function drain(): Promise<void> {
    await dispatcher.drain();
    await Promise.all([callers.close(), operators.close()]);
    stopTasks();
  }

  async function kill(): Promise<void> {
    stopTasks();
    await Promise.all([callers.destroy(), operators.destroy()]);
  }

  function stopTasks(): void {
    isRunning = false;
    config.stop();
    claimsFollower.stop();
    configWriter.stop();
    claimsWriter.stop();
    for (const client of engineClients.values()) client.close();
  }
}

function parseListenAddress(text: string): {host: string; port: number} {
  const [host, port] = text.split(':');
  return {host, port: Number(port)};
}
