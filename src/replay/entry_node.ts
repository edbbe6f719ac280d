/** An entry node of a replay: the production claims, routing and pipeline on a simulated process that can fail. */
import {createClaimsLedger, createClaimsStream} from '../claims';
import {createRequestPipeline, type RequestPipeline} from '../entry';
import type {LogService} from '../control_services';
import {
  createServiceDispatcher,
  type Dispatcher,
  type DispatcherHost,
  type ServiceDispatcher,
} from '../routing';
import type {ServiceClient} from '../backends';
import {createStreamFollower, createStreamWriter} from '../state';
import type {NodeProcess} from './node_environment';

/** Options of a replayed node. */
export interface EntryNodeOptions {
  readonly id: string;
  /** Id of this incarnation of the node's process, under which it appends to the log. */
  readonly writerId: string;
  readonly process: NodeProcess;
  readonly log: LogService;
  /** How long a read of the log waits for a record, in milliseconds. */
  readonly logWaitMs: number;
  readonly serviceClient: ServiceClient;
  readonly host: Omit<DispatcherHost, 'clock'>;
  readonly createDispatcher: (host: DispatcherHost) => Dispatcher;
}

/** A replayed node. */
export interface EntryNode {
  readonly id: string;
  readonly process: NodeProcess;
  readonly pipeline: RequestPipeline;
  readonly dispatcher: Dispatcher;
  readonly services: ServiceDispatcher;
  /** Stops the node at once, as a crash would. */
  kill(): void;
}

const CLAIMS_STREAM = 'claims-0';

/** Starts a replayed node. */
export function startEntryNode(options: EntryNodeOptions): EntryNode {
  const {id, process, log} = options;
  const {clock} = process;
  let isLogUnavailable = false;
  let attempts = 0;
  const follower = createStreamFollower({
    definition: createClaimsStream({stream: CLAIMS_STREAM}),
    log,
    clock,
    waitMs: options.logWaitMs,
    onHealthChange: isHealthy => {
      isLogUnavailable = !isHealthy;
    },
  });
  const writer = createStreamWriter({
    follower,
    log,
    clock,
    writer: options.writerId,
  });
  const dispatcher = options.createDispatcher({...options.host, clock});
  const services = createServiceDispatcher({
    clock,
    client: options.serviceClient,
  });
  const pipeline = createRequestPipeline({
    clock,
    dispatcher,
    services,
    claims: createClaimsLedger({
      node: options.writerId,
      clock,
      follower,
      writer,
      isLogUnavailable: () => isLogUnavailable,
      createAttemptId: () => `${options.writerId}.${++attempts}`,
    }),
  });
  follower.start();
  return {id, process, pipeline, dispatcher, services, kill};

  function kill(): void {
    process.kill();
    follower.stop();
    writer.stop();
  }
}
