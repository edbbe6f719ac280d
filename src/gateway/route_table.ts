/** Matches requests to routes by host and path. */
import {collectBy} from '../runtime/collect_by';
import type {Route, WeightedService} from './types';

/** Routes by host and path prefix. */
export interface RouteTable {
  /** Returns the route with the longest matching path prefix, or undefined when none matches; `target` may include a query. */
  tryFind(host: string, target: string): Route | undefined;
}

/** Creates a table of these routes. */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  const byHost = collectBy(routes, route => route.host);
  for (const list of byHost.values()) {
    list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return {
    tryFind: (host, target) => {
      const path = target.split('?', 1)[0];
      return byHost
        .get(parseHostName(host))
        ?.find(route => path.startsWith(route.pathPrefix));
    },
  };
}

/** Chooses one of a route's services at random by their weights; `chance` is a random number in [0, 1). */
export function chooseService(
  services: readonly WeightedService[],
  chance: number,
): string | undefined {
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = chance * total;
  for (const {service, weight} of services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return services.at(-1)?.service;
}

function parseHostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
