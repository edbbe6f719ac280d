/** The peer listener and the membership task of one node. */
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

/** The part of a stream follower that the peer tasks use. */
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
  /** Identifies this process: name of the node, a dot, and an id that is new at each start. */
  readonly process: string;
  /**
   * The secret that all nodes share. Without it the node opens no peer listener and joins no
   * membership.
   */
  readonly secret?: string;
  readonly listen: Omit<ListenerOptions, 'app'>;
  readonly streams: readonly PeerStream[];
  /** Lists the work that this node has in progress, by engine. */
  readonly listLocalWork: () => readonly LocalEngineWork[];
  /** Returns the number of requests that are queued or in flight. */
  readonly getOpenRequestCount: () => number;
  /**
   * Returns a client account's request counts on this node over the last `windowMs` milliseconds.
   */
  readonly getAccountWindow: (
    clientAccount: string,
    windowMs: number,
  ) => AccountWindow;
  /** Returns the work that this node admits per second. */
  readonly getDemand: () => Demand;
  /** Called when a backend server is reported as leaving, or no longer so. */
  readonly onServersChanged: () => void;
}

/** The peer tasks of one node. */
export interface PeerTasks {
  /** Base address of the peer listener; empty without one. */
  readonly address: string;
  readonly membership: Membership;
  /** Returns the bytes that the peer listener has received and sent. */
  getBytes(): ListenerBytes;
  /** Updates the listed nodes, and reports to membership the servers that are leaving. */
  updateVms(vms: readonly Vm[], servers: readonly BackendServer[]): void;
  /** Tells membership when the report says that the engine is leaving. */
  updateReport(report: EngineReport): void;
  /** Returns the servers with `isLeaving` set for those that membership knows to be leaving. */
  applyLeavingState(
    servers: readonly BackendServer[],
  ): readonly BackendServer[];
  readonly reads: PeerReads;
  readonly digests: DigestView;
  /** Returns the number of live nodes, this one included. */
  countNodes(): number;
  /** Returns the membership part of the operators' fleet view. */
  getMembershipView(): MembershipView;
  start(): void;
  drain(): Promise<void>;
  close(): Promise<void>;
}

/** The members, leaving servers and digests as this node sees them. */
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
      logger.log(
        'warn',
        'no peer secret in the settings; running without peers',
      );
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
