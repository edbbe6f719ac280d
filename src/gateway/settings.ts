/** Settings of one gateway process. */

/** Address of a TCP listener. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Limits set by the deployment. */
export interface GatewayBounds {
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly shutdownMs: number;
  /** Minimum time between the orders of two different holders of authority, in milliseconds. */
  readonly leaseMs: number;
  /** Retries that the whole fleet may send to a service, per request. */
  readonly retryRatio: number;
  /** Retries allowed within a window in addition to the ratio. */
  readonly retrySlack: number;
}

/** Settings of one gateway process. */
export interface GatewaySettings {
  readonly nodeName: string;
  /** Address of this VM. */
  readonly host: string;
  readonly failureDomain: string;
  readonly callers: Address;
  readonly readiness: Address;
  /** Listener for other nodes and for metrics. */
  readonly control: Address;
  /** UDP port for messages between nodes. */
  readonly peerPort: number;
  /** Control addresses of some nodes, used to find the others; they may be out of date. */
  readonly seeds: readonly Address[];
  readonly store: Address;
  readonly bounds: GatewayBounds;
  /** True only when the whole system is started for the first time. */
  readonly isFirstStart: boolean;
}
