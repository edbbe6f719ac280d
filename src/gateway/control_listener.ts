/** HTTP listeners for the load balancer's readiness checks, and for other nodes and metrics. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {EXPLAIN_PATH, type ExplainResponder} from '../explain';
import {listen} from '../runtime/listen';
import type {Clock} from '../runtime/types';
import type {Address} from './settings';
import {SNAPSHOT_PATH, type Snapshot} from './snapshot';
import {createSnapshotResponder} from './snapshot_responder';

const METRICS_PATH = '/metrics';
const READY_PATH = '/readyz';

/** A response with a short text body. */
interface PlainResponse {
  readonly status: number;
  readonly type: string;
  readonly body: string;
}

/** The listeners of a node, except the one for callers. */
export interface ControlListeners {
  open(): Promise<void>;
  close(): void;
}

/** Options of the listeners. */
export interface ControlListenersOptions {
  readonly readiness: Address;
  readonly control: Address;
  readonly clock: Clock;
  readonly isReady: () => boolean;
  readonly getSnapshot: () => Snapshot;
  readonly renderMetrics: () => string;
  readonly answerExplain: ExplainResponder;
}

/** Creates the listeners. */
export function createControlListeners(
  options: ControlListenersOptions,
): ControlListeners {
  const readiness = createResponder(path => {
    if (path !== READY_PATH) return undefined;
    return options.isReady()
      ? {status: 200, type: 'text/plain', body: 'ready\n'}
      : {status: 503, type: 'text/plain', body: 'not ready\n'};
  });
  const control = createResponder(path => {
    if (path !== METRICS_PATH) return undefined;
    return {
      status: 200,
      type: 'text/plain; version=0.0.4',
      body: options.renderMetrics(),
    };
  }, createOtherResponder(options));
  return {
    open: async () => {
      await Promise.all([
        listen(readiness, options.readiness),
        listen(control, options.control),
      ]);
    },
    close: () => {
      for (const server of [readiness, control]) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}

/** Creates the answers that are not a short text; they return false for other paths. */
function createOtherResponder(options: ControlListenersOptions) {
  const answerSnapshot = createSnapshotResponder(options);
  return (
    path: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): boolean => {
    if (path === EXPLAIN_PATH) {
      options.answerExplain(request, response);
      return true;
    }
    if (path !== SNAPSHOT_PATH) return false;
    request.resume();
    const [, query] = (request.url ?? '').split('?', 2);
    answerSnapshot(request, response, new URLSearchParams(query));
    return true;
  };
}

function createResponder(
  getResponse: (path: string) => PlainResponse | undefined,
  tryAnswer: (
    path: string,
    request: IncomingMessage,
    response: ServerResponse,
  ) => boolean = () => false,
): Server {
  return createServer((request, response) => {
    const [path] = (request.url ?? '').split('?', 1);
    if (tryAnswer(path, request, response)) return;
    request.resume();
    const answer = getResponse(path) ?? {
      status: 404,
      type: 'text/plain',
      body: 'not found\n',
    };
    response.writeHead(answer.status, {
      'content-type': answer.type,
      'content-length': Buffer.byteLength(answer.body),
    });
    response.end(answer.body);
  });
}
