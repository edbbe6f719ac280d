/** Types of the servers' learned speeds and capacities. */

/** A server's process; another start time under the same id means another process. */
export interface ServerIdentity {
  readonly id: string;
  readonly service: string;
  /** Start time of the server's process, in milliseconds since the Unix epoch; 0 when unknown. */
  readonly startedAtMs: number;
}

/** An answer of a server. */
export interface CapacitySample {
  /** Ratio of the observed to the nominal time of the work. */
  readonly ratio: number;
  /** Requests of all nodes at the server when it was sent, as a fraction of the server's slots. */
  readonly load: number;
}

/** What is known of a server. */
export interface CapacityEstimate {
  /** Ratio of the time that the unloaded server takes to the nominal time. */
  readonly timeFactor: number;
  /** `timeFactor` relative to the server's service; 1 within a tenth of it. */
  readonly relativeFactor: number;
  /** Load up to which the server performs well, as a fraction of its slots; infinite when no limit was found. */
  readonly goodLoad: number;
  /** True when the factor rests on enough of the latest samples. */
  readonly isKnown: boolean;
}

/** A server's estimate as nodes tell it: id, start time of the process, `timeFactor`. */
export type ToldFactor = readonly [
  serverId: string,
  startedAtMs: number,
  timeFactor: number,
];
