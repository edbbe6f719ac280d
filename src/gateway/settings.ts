/** Settings of one gateway process. */

/** Address of a listener. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Bounds that the deployment sets. */
export interface GatewayBounds {
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly shutdownMs: number;
  /** Shortest time between orders of two holders of authority, in milliseconds. */
  readonly leaseMs: number;
  /** Retries for each request that the whole fleet may send to a service. */
  readonly retryRatio: number;
  /** Retries in a window beyond the ratio. */
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
  /** Control addresses of some nodes; they may be stale. */
  readonly seeds: readonly Address[];
  readonly store: Address;
  readonly bounds: GatewayBounds;
  /** True only when the whole system starts for the first time. */
  readonly isFirstStart: boolean;
}
