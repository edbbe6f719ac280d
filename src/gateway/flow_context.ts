/** Dependencies of the request flows. */
import type {RetryBudget} from '../routing/retry_budget';
import type {ServerCapacities, ServiceTimes} from '../capacity';
import type {Clock} from '../runtime/types';
import type {AccountShares} from '../shares';
import type {Connections} from './connections';
import type {CrashGuard} from './crash_guard';
import type {EngineLiveness} from './engine_liveness';
import type {EngineSpeedEstimator} from './engine_speed_estimator';
import type {FleetDemand} from './fleet_demand';
import type {FleetState} from './fleet_state';
import type {GatewayMetrics} from './gateway_metrics';
import type {EngineAffinity} from './engine_affinity';
import type {PathView} from './path_costs';
import type {PeerMessage} from './peer_messages';
import type {PrefillQueues} from './prefill_queues';
import type {PrefixDirectory} from './prefix_directory';
import type {HealthTracker} from './server_health';
import type {ServerLimits} from './server_limits';
import type {ServerPauses} from './server_pauses';
import type {StreamCounts} from './stream_counts';
import type {BackendProtocol} from './types';
import type {WaitingPrompts} from './waiting_prompts';

/** Dependencies shared by all request flows of a node. */
export interface FlowContext {
  readonly nodeName: string;
  readonly path: PathView;
  readonly state: FleetState;
  readonly connections: Connections;
  readonly protocol: BackendProtocol;
  readonly clock: Clock;
  readonly metrics: GatewayMetrics;
  readonly health: HealthTracker;
  readonly liveness: EngineLiveness;
  readonly pauses: ServerPauses;
  readonly limits: ServerLimits;
  readonly crashGuard: CrashGuard;
  readonly speeds: EngineSpeedEstimator;
  readonly capacities: ServerCapacities;
  readonly serviceTimes: ServiceTimes;
  readonly prefillQueues: PrefillQueues;
  readonly prefixes: PrefixDirectory;
  readonly affinity: EngineAffinity;
  /** True when engines may have cached parts before this node started; see `PlacementInput`. */
  readonly isHomeCacheWarm: boolean;
  readonly streams: StreamCounts;
  readonly waitingPrompts: WaitingPrompts;
  readonly demand: FleetDemand;
  readonly shares: AccountShares;
  /** True while an engine changes to another stage. */
  readonly isChangingStage: (serverId: string) => boolean;
  readonly getRandom: () => number;
  /** Returns this node's share of the fleet's retry budget for a service. */
  readonly getRetryBudget: (service: string) => RetryBudget;
  /** Number of other nodes that this node knows. */
  readonly countPeers: () => number;
  /** Counts a run of a request that has begun at a server, for the usage of its client account. */
  readonly recordRun: (account: string | undefined) => void;
  /** Sends a message to the other nodes. */
  readonly notifyPeers: (message: PeerMessage) => void;
}
