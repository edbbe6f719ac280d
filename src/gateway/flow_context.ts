/** What the flows of requests use. */
import type {RetryBudget} from '../routing/retry_budget';
import type {Clock} from '../runtime/types';
import type {Connections} from './connections';
import type {EngineSpeedBook} from './engine_speeds';
import type {FleetDemand} from './fleet_demand';
import type {FleetState} from './fleet_state';
import type {GatewayMetrics} from './gateway_metrics';
import type {HomeEngines} from './home_engines';
import type {PathView} from './path_costs';
import type {PeerMessage} from './peer_messages';
import type {PrefillBook} from './prefill_book';
import type {PrefixDirectory} from './prefix_directory';
import type {HealthTracker} from './server_health';
import type {ServerPauses} from './server_pauses';
import type {StreamCounts} from './stream_counts';
import type {BackendProtocol} from './types';
import type {WaitingPrompts} from './waiting_prompts';

/** What the flows of requests use. */
export interface FlowContext {
  readonly nodeName: string;
  readonly path: PathView;
  readonly state: FleetState;
  readonly connections: Connections;
  readonly protocol: BackendProtocol;
  readonly clock: Clock;
  readonly metrics: GatewayMetrics;
  readonly health: HealthTracker;
  readonly pauses: ServerPauses;
  readonly speeds: EngineSpeedBook;
  readonly book: PrefillBook;
  readonly prefixes: PrefixDirectory;
  readonly homes: HomeEngines;
  readonly isHomeWarm: boolean;
  readonly streams: StreamCounts;
  readonly waiting: WaitingPrompts;
  readonly demand: FleetDemand;
  /** True while an engine is on its way to another stage. */
  readonly isChanging: (serverId: string) => boolean;
  readonly getRandom: () => number;
  /** This node's share of the retries that the fleet may send to a service. */
  readonly getBudget: (service: string) => RetryBudget;
  /** Number of other nodes known. */
  readonly countPeers: () => number;
  /** Tells the other nodes. */
  readonly notifyPeers: (message: PeerMessage) => void;
}
