/** Types of scaling: how many backend servers of a service are ordered in each failure domain. */

/** Limits and prices of a service whose servers are ordered and billed by the second. */
export interface ScalingLimits {
  /** Least number of servers in each failure domain, of both kinds together. */
  readonly minServers: number;
  /** Largest number of servers in each failure domain, of both kinds together. */
  readonly maxServers: number;
  /** Time from an order until a new server takes requests, in milliseconds. */
  readonly startupMs: number;
  /** Price of a reclaimable server relative to an ordinary one; absent when there are none to be had. */
  readonly reclaimablePrice?: number;
  /** Price of an ordinary server for one second, by failure domain; 1 where none is given. */
  readonly domainPrices: Readonly<Record<string, number>>;
}

/** An order for a number of servers of one kind in a failure domain. */
export interface ServerOrder {
  readonly service: string;
  readonly failureDomain: string;
  readonly isReclaimable: boolean;
  /** Number of servers that shall be there. */
  readonly count: number;
}
