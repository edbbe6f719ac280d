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

/** A backend server of a scaled service, as service discovery lists it. */
export interface ListedServer {
  readonly failureDomain: string;
  readonly isReclaimable: boolean;
  /** True when the server accepts no new requests. */
  readonly isLeaving: boolean;
  /** True when the server states how long it stays: the platform takes it away. */
  readonly isReclaimed: boolean;
}

/** Servers of one kind in a failure domain. */
export interface KindState {
  /** Number of listed servers that accept requests. */
  readonly ready: number;
  /** Number that was ordered last. */
  readonly desired: number;
  /** Largest number that can be had at the moment; infinite unless the platform refused an order or takes servers away. */
  readonly available: number;
  /** True when the last order has shown no effect in time and is to be sent again. */
  readonly isOverdue: boolean;
}

/** Servers of a service in one failure domain. */
export interface DomainState {
  readonly failureDomain: string;
  /** Number of servers of both kinds together that the load requires here. */
  readonly wanted: number;
  readonly ordinary: KindState;
  readonly reclaimable: KindState;
}

/** Input of `planServers`. */
export interface ServerPlanInput {
  readonly service: string;
  readonly limits: ScalingLimits;
  readonly domains: readonly DomainState[];
  /** Number of servers that must remain when all reclaimable servers of one failure domain are lost. */
  readonly minAfterLoss: number;
  /** True when servers may be released now. */
  readonly canRelease: boolean;
}

/** Load of a service, as numbers of busy engines. */
export interface ServerLoad {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  /** Fraction of the load that arrives in each failure domain. */
  readonly domainShares: Readonly<Record<string, number>>;
}

/** Numbers of servers that a load requires. */
export interface ServerNeed {
  /** For the load that is expected once a server ordered now takes requests. */
  readonly forecast: number;
  /** For the peak of the recent load; absent until the load has been known for long enough to release servers. */
  readonly peak?: number;
  /** To run the peak of the recent load without reserve. */
  readonly bare: number;
  /** Fraction of the recent load that arrives in each failure domain. */
  readonly domainShares: Readonly<Record<string, number>>;
}

/** Planned and ordered numbers of one failure domain, as nodes tell each other. */
export interface OrderedDomain {
  readonly failureDomain: string;
  readonly wanted: number;
  /** Absent while none of this kind were ordered. */
  readonly ordinary?: number;
  readonly reclaimable?: number;
}

/** A service whose servers are ordered. */
export interface ScaledService {
  readonly name: string;
  readonly limits: ScalingLimits;
  /** True when the servers are engines, which work on one of two stages. */
  readonly hasStages: boolean;
}

/** What the acting node has ordered for a service. */
export interface OrderedServers {
  readonly from: string;
  readonly service: string;
  /** Fencing number of the sender's last grant; 0 when it had none. */
  readonly fencingNumber: number;
  readonly domains: readonly OrderedDomain[];
}
