/** Connects scaling to the gateway: lists servers and loads, and tells the other nodes what was ordered. */
import type {Logger} from '../diagnostics/log';
import {type Authority, type DutyClient, DutyKind} from '../duties';
import {PLANNER_COUNT} from '../planning/planner_count';
import type {Clock} from '../runtime/types';
import {
  createScaling,
  createSharedParts,
  type OrderedServers,
  type ScaledService,
  type Scaling,
  type SharedParts,
} from '../scaling';
import type {FleetDemand} from './fleet_demand';
import type {FleetState} from './fleet_state';
import type {GatewayMetrics} from './gateway_metrics';
import type {Peers} from './peers';
import {listSharedParts} from './placement';
import type {PrefixDirectory} from './prefix_directory';
import type {GatewaySettings} from './settings';
import type {BackendEntry} from './types';

/** Orders the backend servers of this deployment. */
export interface ServerScaling {
  start(): void;
  handle(message: OrderedServers): void;
  /** Wraps the directory so that the prompt parts in use are known. */
  observePrefixes(directory: PrefixDirectory): PrefixDirectory;
  stop(): void;
}

/** Options of the scaling of a gateway. */
export interface ServerScalingOptions {
  readonly settings: GatewaySettings;
  /** Undefined when the process has no client for duties: nothing is ordered. */
  readonly dutyClient: DutyClient | undefined;
  readonly authority: Pick<Authority, 'tryAcquire'>;
  readonly state: FleetState;
  readonly demand: Pick<FleetDemand, 'tryGetRecentLoad'>;
  readonly peers: Pick<
    Peers,
    'countLowerNames' | 'listFirst' | 'notify' | 'send'
  >;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isStateCurrent: () => boolean;
}

/** Multiple of the shared tokens in use that the KV memory of the prefill engines must hold: caches overlap and also hold other parts. */
const CACHE_RESERVE = 2;

/** Creates the scaling; it does nothing where the duty is not this deployment's. */
export function createServerScaling(
  options: ServerScalingOptions,
): ServerScaling {
  const {settings, dutyClient, state} = options;
  const isDuty = settings.duties?.kinds.includes(DutyKind.Scaling) === true;
  if (!isDuty || dutyClient === undefined) return NO_SCALING;
  const parts = createSharedParts(options.clock);
  const scaling = createTask(options, dutyClient, parts);
  addGauges(options.metrics, scaling);
  return {
    start: scaling.start,
    handle: scaling.handle,
    observePrefixes: directory => observeParts(directory, parts),
    stop: scaling.stop,
  };

  function createTask(
    {authority, demand, peers, clock, logger, metrics}: ServerScalingOptions,
    client: DutyClient,
    sharedParts: SharedParts,
  ): Scaling {
    return createScaling({
      nodeName: settings.nodeName,
      clock,
      logger,
      authority,
      sendOrder: (order, caller) => client.sendServerOrder(order, caller),
      leaseMs: settings.bounds.leaseMs,
      isFirstStart: settings.isFirstStart,
      listServices: () => listScaledServices(state),
      listServers: service =>
        state
          .listEntries()
          .filter(entry => entry.service === service)
          .map(entry => createListed(state, entry)),
      tryGetLoad: service => {
        const engine = state.tryGetService(service)?.engine;
        if (engine === undefined) return undefined;
        return demand.tryGetRecentLoad(service, engine);
      },
      countCacheEngines: service => {
        const kvTokens = state.tryGetService(service)?.engine?.kvTokens ?? 0;
        if (kvTokens <= 0) return 0;
        return Math.ceil(
          (CACHE_RESERVE * sharedParts.countTokens()) / kvTokens,
        );
      },
      getStateKey: () => formatStateKey(state),
      isStateCurrent: options.isStateCurrent,
      countNodesBefore: peers.countLowerNames,
      notify: (ordered, isForAll) => {
        const message = {kind: 'servers-ordered' as const, ...ordered};
        if (isForAll) {
          peers.notify(message);
          return;
        }
        for (const node of peers.listFirst(PLANNER_COUNT)) {
          peers.send(node, message);
        }
      },
      onOutcome: metrics.recordServerOrder,
    });
  }
}

const NO_SCALING: ServerScaling = {
  start: () => undefined,
  handle: () => undefined,
  observePrefixes: directory => directory,
  stop: () => undefined,
};

function listScaledServices(state: FleetState): ScaledService[] {
  const services = state.getConfig()?.services ?? [];
  return services.flatMap(({name, scaling, engine}) =>
    scaling === undefined
      ? []
      : [{name, limits: scaling, hasStages: engine !== undefined}],
  );
}

/** Contains the numbers of servers, not their stages, which also change while nothing starts or ends. */
function formatStateKey(state: FleetState): string {
  const counts = listScaledServices(state).map(
    ({name}) => state.listUsable(name).length,
  );
  return [state.getConfig()?.version, ...counts].join(' ');
}

function createListed(state: FleetState, entry: BackendEntry) {
  const {failureDomain, isReclaimable = false, leavesInMs} = entry;
  return {
    failureDomain,
    isReclaimable,
    isLeaving: state.tryGetUsable(entry.id) === undefined,
    isReclaimed: leavesInMs !== undefined,
  };
}

/** Records the parts that prompts may share as they are placed, by this node or others. */
function observeParts(
  directory: PrefixDirectory,
  parts: SharedParts,
): PrefixDirectory {
  return {
    ...directory,
    recordPrefill: (serverId, promptParts) => {
      for (const {id, tokens} of listSharedParts({parts: promptParts})) {
        parts.record(id, tokens);
      }
      directory.recordPrefill(serverId, promptParts);
    },
  };
}

function addGauges(metrics: GatewayMetrics, scaling: Scaling): void {
  const listCounts = (field: 'ready' | 'desired') =>
    scaling.list().flatMap(({service, domains}) =>
      domains.flatMap(({failureDomain, ordinary, reclaimable}) => [
        {
          labels: {service, failureDomain, kind: 'ordinary'},
          value: ordinary[field],
        },
        {
          labels: {service, failureDomain, kind: 'reclaimable'},
          value: reclaimable[field],
        },
      ]),
    );
  metrics.addGauge(
    'anvilstack_gateway_servers_desired',
    'Servers ordered, by service, failure domain and kind.',
    () => listCounts('desired'),
  );
  metrics.addGauge(
    'anvilstack_gateway_servers_present',
    'Listed servers that accept requests, by service, failure domain and kind.',
    () => listCounts('ready'),
  );
}
