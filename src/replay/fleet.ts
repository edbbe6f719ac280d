/** The backend servers of a replay and the platform's list of them. */
import {EngineState, type BackendServer} from '../backends';
import type {Clock} from '../runtime';
import {createEngineModel, type EngineModel} from '../standins';
import {REPLAY_MODEL} from './request_input';
import {createReplayService, type ReplayService} from './replay_service';
import type {BackendMonitor} from './backend_monitor';
import type {ReplaySettings, Trace, TraceService} from './types';

/** Options of the fleet. */
export interface ReplayFleetOptions {
  readonly trace: Trace;
  readonly settings: ReplaySettings;
  readonly clock: Clock;
  readonly backendMonitor: BackendMonitor;
  readonly getRandom: () => number;
  /** Called when the list of backend servers changes, after its lag. */
  readonly onServers: (servers: readonly BackendServer[]) => void;
}

/** The backend servers of a replay. */
export interface ReplayFleet {
  readonly engines: ReadonlyMap<string, EngineModel>;
  readonly services: ReadonlyMap<string, ReplayService>;
  readonly serviceNames: readonly string[];
  listServers(): readonly BackendServer[];
  getFailureDomain(server: string): string | undefined;
  /** Marks a server as leaving, or as back; `listServers` shows the change after `vmListLagMs`. */
  setLeaving(server: string, isLeaving: boolean): void;
  /**
   * Lists the role of each engine in the trace's order, or its state when it is not ready; `down`
   * after a crash.
   */
  listRoles(): readonly string[];
}

/** Creates the backend servers that a trace's header describes. */
export function createReplayFleet(options: ReplayFleetOptions): ReplayFleet {
  const {trace, settings, clock, backendMonitor} = options;
  const {header} = trace;
  const leaving = new Set<string>();
  const serviceServers = listServiceServers(trace);
  const engines = new Map<string, EngineModel>();
  for (const engine of header.engines) {
    const model = createEngineModel({
      id: engine.id,
      address: `engine:${engine.id}`,
      clock,
      role: engine.role,
      models: [REPLAY_MODEL],
      roleChangeMs: header.role_change_ms,
      checksFencing: engine.checks_fencing,
      reportLagMs: header.report_lag_ms,
      cacheEventLagMs: header.report_lag_ms,
      cacheEventLoss: 0.01,
      tokensPerEvent: settings.tokensPerEvent,
      getRandom: options.getRandom,
      importKv: handle =>
        engines.get(handle.engine)?.exportKv(handle.id) ?? false,
      observer: backendMonitor.createObserver(engine.id),
    });
    engines.set(engine.id, model);
  }
  const services = new Map(
    serviceServers.map(server => [
      server.id,
      createReplayService({
        id: server.id,
        durationMs: settings.serviceMs,
        onRun: backendMonitor.recordServiceRun,
      }),
    ]),
  );
  return {
    engines,
    services,
    serviceNames: [...new Set(serviceServers.map(server => server.service))],
    listServers,
    getFailureDomain: server =>
      listServers().find(item => item.id === server)?.failureDomain,
    setLeaving,
    listRoles,
  };

  function listServers(): readonly BackendServer[] {
    return [
      ...header.engines.map(engine => ({
        ...createServer(engine.id, engine.failure_domain),
        kind: 'model_engine' as const,
        checksFencing: engine.checks_fencing,
      })),
      ...serviceServers.map(server => ({
        ...createServer(server.id, server.failure_domain),
        kind: 'service' as const,
        service: server.service,
        checksFencing: false,
      })),
    ];
  }

  function createServer(id: string, failureDomain: string) {
    return {
      id,
      address: `replay:${id}`,
      failureDomain,
      region: header.deployment,
      building: header.deployment,
      isLeaving: leaving.has(id),
    };
  }

  function setLeaving(server: string, isLeaving: boolean): void {
    backendMonitor.setLeaving(server, isLeaving);
    engines.get(server)?.setLeaving(isLeaving);
    clock.schedule(settings.vmListLagMs, () => {
      if (isLeaving) leaving.add(server);
      else leaving.delete(server);
      options.onServers(listServers());
    });
  }

  function listRoles(): readonly string[] {
    return [...engines.values()].map(engine => {
      if (!engine.isUp()) return 'down';
      const {role, state} = engine.getStatus();
      return state === EngineState.Ready ? role : state;
    });
  }
}

/** Returns the servers in the trace's header, or one for each service that a request names. */
function listServiceServers(trace: Trace): readonly TraceService[] {
  if (trace.header.services !== undefined) return trace.header.services;
  const names = new Set<string>();
  for (const request of trace.requests) {
    if (request.service !== undefined) names.add(request.service);
  }
  const {failure_domain} = trace.header.engines[0];
  return [...names].map(service => ({
    id: `${service}-1`,
    failure_domain,
    service,
  }));
}
