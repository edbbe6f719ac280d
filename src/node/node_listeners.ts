/** Opens the callers' and the operators' listeners of one node. */
import type {EventRing, Logger} from '../diagnostics';
import {
  createCallerApp,
  createOperatorApp,
  createRequestExplainer,
  createResumeService,
  type RequestPipeline,
  type ResumeService,
  type TraceRecorder,
} from '../entry';
import {createPrefixHasher} from '../routing';
import {type Clock, type Listener, openListener} from '../runtime';
import type {Secrets, Settings} from '../settings';
import type {FleetWatch} from './fleet_watch';
import {getListenerOptions} from './listener_options';
import type {NodeControl} from './node_control';
import type {NodeStreams} from './node_streams';
import type {PeerTasks} from './peer_tasks';

/** Options of the listeners. */
export interface NodeListenersOptions {
  readonly settings: Settings;
  readonly secrets?: Secrets;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly events: EventRing;
  readonly streams: NodeStreams;
  readonly fleet: FleetWatch;
  readonly peers: PeerTasks;
  readonly control: NodeControl;
  readonly pipeline: RequestPipeline;
  readonly recorder: TraceRecorder;
  readonly isReady: () => boolean;
  readonly renderMetrics: () => string;
}

/** Opens the callers' listener. */
export async function openCallerListener(
  options: NodeListenersOptions,
): Promise<Listener> {
  const {settings, clock, logger, pipeline, streams} = options;
  const app = createCallerApp({
    clock,
    pipeline,
    isReady: options.isReady,
    getConfig: () => streams.config.follower.getState(),
    renderMetrics: options.renderMetrics,
    maxBodyBytes: settings.limits.max_body_bytes,
    prefixHasher: await createPrefixHasher(),
    resumeService: tryCreateResumeService(options),
  });
  return openListener({
    app,
    ...getListenerOptions(settings, 'callers', logger),
  });
}

/** Returns undefined without a resume secret: the node then resumes no streams. */
function tryCreateResumeService({
  clock,
  secrets,
  fleet,
}: NodeListenersOptions): ResumeService | undefined {
  const secret = secrets?.resumeSecret?.getText();
  if (secret === undefined) return undefined;
  const {getEngineClient} = fleet;
  return createResumeService({clock, secret, getEngineClient});
}

/** Opens the operators' listener. */
export function openOperatorListener(
  options: NodeListenersOptions,
): Promise<Listener> {
  const {settings, logger, streams, peers, control} = options;
  const app = createOperatorApp({
    node: settings.node.id,
    operators: settings.operator.map(operator => ({
      name: operator.name,
      tokenSha256: operator.token_sha256,
      rights: operator.rights,
    })),
    config: streams.config.follower,
    configWriter: streams.config.writer,
    events: options.events,
    recorder: options.recorder,
    collectPeerEvents: peers.reads.collectEvents,
    listProgress: control.moves.listProgress,
    setLogLevel: logger.setLevel,
    explain: createRequestExplainer({
      node: settings.node.id,
      config: streams.config.follower,
      isReady: options.isReady,
      preview: options.pipeline.preview,
    }),
    getFleet: () => getFleetStatus(options),
  });
  return openListener({
    app,
    ...getListenerOptions(settings, 'operators', logger),
  });
}

function getFleetStatus({
  settings,
  fleet,
  peers,
  control,
}: NodeListenersOptions): unknown {
  return {
    node: settings.node.id,
    vms: fleet.getVms(),
    reports: fleet.listReports(),
    shards: control.tasks.listShards(),
    ...peers.getMembershipView(),
  };
}
