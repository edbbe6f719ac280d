/** The peers' listener and the membership task of one node. */
import type {BackendServer, EngineReport} from '../backends';
import {EngineState} from '../backends';
import type {EventRing, Logger} from '../diagnostics';
import {
  createMembership,
  createPeerApp,
  createPeerClient,
  type Digest,
  type Member,
  type Membership,
  type MembershipChange,
} from '../membership';
import type {Demand} from '../planning';
import type {AccountWindow} from '../planning/move';
import type {Vm} from '../control_services';
import {
  type Clock,
  type Listener,
  type ListenerBytes,
  type ListenerOptions,
  openListener,
} from '../runtime';
import type {FoldSnapshot, StreamFollower} from '../state';
import type {LocalEngineWork} from '../routing';
import {
  createDigestView,
  createLocalLoad,
  type DigestView,
} from './digest_view';
import {createPeerReads, type PeerReads} from './peer_reads';
import {createProcessorMeter} from './processor_meter';

/** What the tasks use of a stream that the node follows. */
export type PeerStream = Pick<
  StreamFollower<unknown, unknown>,
  'stream' | 'getNextOffset' | 'isCaughtUp' | 'exportSnapshot'
>;

/** Options of the tasks. */
export interface PeerTasksOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly events: EventRing;
  readonly node: string;
  /** Names this process: the node, a dot, and what tells its processes apart. */
  readonly process: string;
  /** The secret that all nodes share. Without it this node stays alone. */
  readonly secret?: string;
  readonly listen: Omit<ListenerOptions, 'app'>;
  readonly streams: readonly PeerStream[];
  /** Lists this node's work at each engine that has any. */
  readonly listLocalWork: () => readonly LocalEngineWork[];
  /** Returns the number of requests that wait or run. */
  readonly getOpenRequestCount: () => number;
  /** Returns what a client account's requests on this node came to. */
  readonly getAccountWindow: (
    clientAccount: string,
    windowMs: number,
  ) => AccountWindow;
  /** Returns the work that this node admits in a second. */
  readonly getDemand: () => Demand;
  /** Called when a backend server has begun to leave, or a mark has ended. */
  readonly onServersChanged: () => void;
}

/** The tasks. */
export interface PeerTasks {
  /** Base address of the peers' listener, or empty without one. */
  readonly address: string;
  readonly membership: Membership;
  /** Bytes of the peers' listener. */
  getBytes(): ListenerBytes;
  /** Takes the VM list as read. */
  updateVms(vms: readonly Vm[], servers: readonly BackendServer[]): void;
  /** Takes an engine's report: it may say that the engine leaves. */
  updateReport(report: EngineReport): void;
  /** Returns the servers, with those marked that a peer knows to leave. */
  applyLeavingState(
    servers: readonly BackendServer[],
  ): readonly BackendServer[];
  readonly reads: PeerReads;
  readonly digests: DigestView;
  /** Returns the number of nodes that run, this one included. */
  countNodes(): number;
  /** Returns what `fleet` shows of the nodes. */
  getMembershipView(): MembershipView;
  start(): void;
  drain(): Promise<void>;
  close(): Promise<void>;
}

/** The nodes as this one sees them. */
export interface MembershipView {
  readonly members: readonly Member[];
  readonly leavingServers: readonly string[];
  readonly digests: readonly Digest[];
}

/** Opens the listener; membership starts with `start`. */
export async function openPeerTasks(
  options: PeerTasksOptions,
): Promise<PeerTasks> {
  const {clock, events, node, logger} = options;
  const secret = options.secret ?? '';
  const client = createPeerClient({
    clock,
    secret,
    tls: options.listen.tls,
  });
  const getProcessCores = createProcessorMeter(clock);
  const listener = await tryOpenListener();
  const address = listener?.address ?? '';
  const membership = createMembership({
    node,
    process: options.process,
    address,
    incarnation: Math.floor(clock.getWallMs()),
    host: {
      clock,
      getRandom: Math.random,
      sendExchange: client.sendExchange,
      sendIndirectProbe: client.sendIndirectProbe,
      getLocalLoad: () =>
        createLocalLoad({
          offsets: Object.fromEntries(
            options.streams
              .filter(item => item.isCaughtUp())
              .map(item => [item.stream, item.getNextOffset()]),
          ),
          localWork: options.listLocalWork(),
          openRequests: options.getOpenRequestCount(),
          demand: options.getDemand(),
          processCores: getProcessCores(),
        }),
    },
  });
  membership.subscribe(emitMembershipEvent);
  const reads = createPeerReads({client, membership});
  const digests = createDigestView({
    clock,
    listDigests: membership.listDigests,
  });
  return {
    address,
    membership,
    getBytes: () => listener?.getBytes() ?? {received: 0, sent: 0},
    updateVms,
    updateReport,
    applyLeavingState,
    reads,
    digests,
    countNodes: () => 1 + reads.listLivePeers().length,
    getMembershipView: () => ({
      members: membership.listMembers(),
      leavingServers: membership.listLeavingServers(),
      digests: membership.listDigests(),
    }),
    start: () => {
      if (listener !== undefined) membership.start();
    },
    drain: () => membership.drain(),
    close,
  };

  function tryOpenListener(): Promise<Listener> | undefined {
    if (options.secret === undefined) {
      logger.log('warn', 'no peer secret in the settings: this node is alone');
      return undefined;
    }
    return openListener({
      app: createPeerApp({
        clock,
        secret,
        services: {
          handleExchange: exchange => membership.handleExchange(exchange),
          handleIndirectProbe: probe => membership.handleIndirectProbe(probe),
          tryExportSnapshot,
          listEvents: events.list,
          getAccountWindow: options.getAccountWindow,
        },
      }),
      ...options.listen,
    });
  }

  function tryExportSnapshot(stream: string): FoldSnapshot | undefined {
    const follower = options.streams.find(item => item.stream === stream);
    return follower?.isCaughtUp() === true
      ? follower.exportSnapshot()
      : undefined;
  }

  function updateVms(
    vms: readonly Vm[],
    servers: readonly BackendServer[],
  ): void {
    membership.updateListedNodes(
      vms
        .filter(vm => vm.purpose === 'node')
        .map(vm => ({node: vm.id, address: vm.peerAddress ?? ''})),
    );
    for (const server of servers) {
      if (server.isLeaving) membership.reportLeaving(server.id);
    }
  }

  function updateReport(report: EngineReport): void {
    if (report.state === EngineState.Leaving) {
      membership.reportLeaving(report.engine);
    }
  }

  function applyLeavingState(
    servers: readonly BackendServer[],
  ): readonly BackendServer[] {
    return servers.map(server =>
      membership.isServerLeaving(server.id)
        ? {...server, isLeaving: true}
        : server,
    );
  }

  function emitMembershipEvent(change: MembershipChange): void {
    switch (change.kind) {
      case 'member':
        events.emit({
          kind: `peer-${change.member.status}`,
          cause: `node ${change.member.node} is ${change.member.status}`,
        });
        return;
      case 'server-leaving':
      case 'server-back':
        events.emit({
          kind: change.kind,
          engine: change.server,
          cause: 'membership',
        });
        options.onServersChanged();
    }
  }

  async function close(): Promise<void> {
    membership.stop();
    await Promise.all([listener?.destroy(), client.close()]);
  }
}
