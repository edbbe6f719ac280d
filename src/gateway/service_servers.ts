/** Lists and chooses the servers for one request to a plain service. */
import type {FlowContext} from './flow_context';
import {type ServiceLoad, tryChooseServer} from './service_choice';
import type {BackendEntry} from './types';

/** What the choice of a server depends on. */
export type ServiceServersContext = Pick<
  FlowContext,
  'state' | 'pauses' | 'path' | 'serviceTimes' | 'getRandom'
> & {
  readonly health: Pick<FlowContext['health'], 'listHealthy'>;
  readonly limits: Pick<FlowContext['limits'], 'canSend' | 'getWaitMs'>;
  readonly capacities: Pick<FlowContext['capacities'], 'getRelativeFactor'>;
};

/** The servers for one request. */
export interface ServiceServers {
  /** Lists the servers that can be used, without those that were tried unless there are no others. */
  list(tried: ReadonlySet<string>): readonly BackendEntry[];
  tryChoose(tried: ReadonlySet<string>): BackendEntry | undefined;
  getLoad(server: BackendEntry): ServiceLoad;
  /** Returns the estimated requests of all nodes, this one included, as a fraction of the server's slots. */
  computeLoad(server: BackendEntry): number;
}

/** Creates the servers for a request of a route to a service. */
export function createServiceServers(
  context: ServiceServersContext,
  service: string,
  routeName: string,
): ServiceServers {
  const {serviceTimes, capacities} = context;
  return {
    list,
    tryChoose: tried =>
      tryChooseServer(list(tried), getLoad, context.path, context.getRandom),
    getLoad,
    computeLoad,
  };

  function list(tried: ReadonlySet<string>): readonly BackendEntry[] {
    const servers = context.health
      .listHealthy(
        context.state
          .listUsable(service)
          .filter(server => !context.pauses.isPaused(server)),
      )
      .filter(context.limits.canSend);
    const untried = servers.filter(server => !tried.has(server.id));
    return untried.length > 0 ? untried : servers;
  }

  function getLoad(server: BackendEntry): ServiceLoad {
    const answerMs = serviceTimes.getAnswerMs(service, routeName);
    return {
      openCount: serviceTimes.countOpen(server.id),
      answerMs:
        answerMs * capacities.getRelativeFactor(server, computeLoad(server)),
    };
  }

  function computeLoad({id, maxRunning}: BackendEntry): number {
    return (serviceTimes.estimateFleetOpen(id) + 1) / Math.max(1, maxRunning);
  }
}
