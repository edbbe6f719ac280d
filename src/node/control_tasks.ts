/**
 * Control tasks of one node: a lease manager, command sender and control loop for each shard that
 * the node is a lease candidate for.
 */
import {
  type Authority,
  type CommandSender,
  type ControlEntry,
  type ControlPolicy,
  type ControlLoop,
  type ControlState,
  createCommandSender,
  createControlLoop,
  createLeaseManager,
  FLEET_SHARD,
  type LeaseManager,
  tryGetCandidateRank,
} from '../authority';
import {
  type BackendServer,
  createHttpEngineClient,
  type EngineReport,
} from '../backends';
import type {EventRing} from '../diagnostics';
import {type Vm, VmState, type WeightStore} from '../control_services';
import type {Clock, Timer} from '../runtime';
import type {NodeStream} from './node_streams';

/** Options of the control tasks. */
export interface ControlTasksOptions {
  readonly node: string;
  readonly clock: Clock;
  readonly events: EventRing;
  readonly control: NodeStream<ControlState, ControlEntry>;
  readonly getVms: () => readonly Vm[];
  readonly getServers: () => readonly BackendServer[];
  readonly listReports: () => readonly EngineReport[];
  readonly weightStore: WeightStore;
  readonly retentionMs: number;
  readonly guardMs: number;
  /**
   * Ids of the engines that check fencing numbers; `BackendServer.checksFencing` decides when
   * absent.
   */
  readonly fencingEngines?: readonly string[];
  /** Creates the policy that decides the commands of a shard. */
  readonly createPolicy: (shard: string) => ControlPolicy;
}

/** The lease holder of a shard, as this node has read it from the log. */
export interface ShardStatus {
  readonly shard: string;
  readonly holder: string;
  readonly term: number;
}

/** The control tasks of one node. */
export interface ControlTasks {
  start(): void;
  /** Stops immediately without releasing leases, as in a crash. */
  stop(): void;
  /**
   * Waits for commands in progress, releases the leases of shards that have none left, then stops.
   */
  drain(): Promise<void>;
  listShards(): readonly ShardStatus[];
  /** Returns the authority over a shard while this process holds its lease. */
  tryGetAuthority(shard: string): Authority | undefined;
}

interface ShardTask {
  readonly loop: ControlLoop;
  readonly lease: LeaseManager;
  readonly sender: CommandSender;
}

/** Interval at which the shards and the candidates' ranks are computed again, in milliseconds. */
const REFRESH_MS = 1_000;

/** Creates the tasks; they do nothing before `start`. */
export function createControlTasks(options: ControlTasksOptions): ControlTasks {
  const {node, clock, events, control, getServers} = options;
  const tasks = new Map<string, ShardTask>();
  let ranks = new Map<string, number>();
  let timer: Timer | undefined;
  return {
    start: () => {
      control.recovery.start();
      updateTasks();
    },
    stop,
    drain,
    tryGetAuthority: shard => tasks.get(shard)?.lease.tryGetAuthority(),
    listShards: () =>
      [...control.follower.getState().leases.values()]
        .filter(lease => !lease.isReleased)
        .map(({shard, holder, term}) => ({shard, holder, term})),
  };

  function updateTasks(): void {
    timer = clock.schedule(REFRESH_MS, updateTasks);
    ranks = computeRanks(node, options.getVms(), getServers());
    for (const shard of ranks.keys()) {
      if (!tasks.has(shard)) tasks.set(shard, startShard(shard));
    }
    for (const [shard, task] of tasks) {
      const isNeeded =
        ranks.has(shard) || task.lease.tryGetAuthority() !== undefined;
      if (isNeeded) continue;
      task.loop.stop();
      tasks.delete(shard);
    }
  }

  function startShard(shard: string): ShardTask {
    const {follower, writer} = control;
    const policy = options.createPolicy(shard);
    const lease = createLeaseManager({
      shard,
      clock,
      follower,
      writer,
      getRank: () => ranks.get(shard),
      onChange: authority => {
        if (authority === undefined) sender.close();
        emitAuthorityEvent(shard, authority);
        policy.onAuthorityChange?.(authority);
      },
    });
    const sender = createCommandSender({
      clock,
      lease,
      follower,
      writer,
      weightStore: options.weightStore,
      guardMs: options.guardMs,
      getRandom: Math.random,
      checksFencing: isFencingChecked,
      tryCreateClient: engine => {
        const server = getServers().find(item => item.id === engine);
        if (server === undefined) return undefined;
        return createHttpEngineClient({server, clock, maxConnections: 1});
      },
    });
    const loop = createControlLoop({
      clock,
      lease,
      sender,
      follower,
      writer,
      policy,
      listReports: () => listShardReports(shard),
      retentionMs: options.retentionMs,
    });
    loop.start();
    return {loop, lease, sender};
  }

  function emitAuthorityEvent(
    shard: string,
    authority: Authority | undefined,
  ): void {
    events.emit({
      kind: authority === undefined ? 'lease-lost' : 'lease-granted',
      shard,
      cause:
        authority === undefined
          ? `shard ${shard}`
          : `shard ${shard}, term ${authority.term}`,
    });
  }

  function isFencingChecked(engine: string): boolean {
    if (options.fencingEngines !== undefined) {
      return options.fencingEngines.includes(engine);
    }
    const server = getServers().find(item => item.id === engine);
    return server?.checksFencing ?? false;
  }

  function listShardReports(shard: string): readonly EngineReport[] {
    const reports = options.listReports();
    if (shard === FLEET_SHARD) return reports;
    const engines = new Set(
      getServers()
        .filter(server => server.failureDomain === shard)
        .map(server => server.id),
    );
    return reports.filter(report => engines.has(report.engine));
  }

  function stop(): void {
    timer?.cancel();
    for (const task of tasks.values()) task.loop.stop();
    tasks.clear();
    control.recovery.stop();
    control.writer.stop();
  }

  async function drain(): Promise<void> {
    timer?.cancel();
    await Promise.all([...tasks.values()].map(task => task.loop.drain()));
    stop();
  }
}

/**
 * Returns this node's rank among the lease candidates of each shard, for the shards that it is a
 * candidate for.
 */
function computeRanks(
  node: string,
  vms: readonly Vm[],
  servers: readonly BackendServer[],
): Map<string, number> {
  const nodes = vms
    .filter(vm => vm.purpose === 'node' && vm.state === VmState.Live)
    .map(vm => vm.id);
  const shards = new Set([FLEET_SHARD]);
  for (const server of servers) {
    if (server.kind === 'model_engine') shards.add(server.failureDomain);
  }
  const ranks = new Map<string, number>();
  for (const shard of shards) {
    const rank = tryGetCandidateRank(shard, node, nodes);
    if (rank !== undefined) ranks.set(shard, rank);
  }
  return ranks;
}
