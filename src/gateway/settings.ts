/** Settings of one gateway process. */
import type {DutyKind} from '../duties';

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
  /** Time within which a new configuration takes effect, in milliseconds. */
  readonly configApplyMs?: number;
  /** Time within which removed API keys are refused even by nodes that are cut off, in milliseconds; absent when that is not required. */
  readonly revokeMs?: number;
}

/** The platform's interface for duties, and what is due there. */
export interface DutySettings {
  readonly address: Address;
  readonly kinds: readonly DutyKind[];
  /** Calls that the platform takes from all nodes together, per second. */
  readonly callsPerS: number;
  /** Length of a usage window, in milliseconds. */
  readonly usageWindowMs: number;
  /** Time after the end of a window within which its report is due, in milliseconds. */
  readonly usageDueMs: number;
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
  /** Memory above which the process is killed, in MB; absent when the deployment states no limit. */
  readonly memoryMb?: number;
  /** Absent when the deployment has no duties. */
  readonly duties?: DutySettings;
}
