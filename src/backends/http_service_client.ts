/** Client of the plain services, over HTTP. */
import {Err, Ok, type Result} from 'ts-results';
import {Agent, type Dispatcher, request as sendRequest} from 'undici';
import {getBackendFailure} from './http_failure';
import type {
  BackendFailure,
  BackendServer,
  ServiceAnswer,
  ServiceClient,
  ServiceRequest,
} from './types';

/** Options of the client. */
export interface HttpServiceClientOptions {
  readonly maxConnectionsPerServer?: number;
}

const DEFAULT_MAX_CONNECTIONS_PER_SERVER = 128;

/** Creates a client that serves all plain services, with a pool of connections for each server. */
export function createHttpServiceClient(
  options: HttpServiceClientOptions = {},
): ServiceClient {
  const agent = new Agent({
    connections:
      options.maxConnectionsPerServer ?? DEFAULT_MAX_CONNECTIONS_PER_SERVER,
    pipelining: 1,
  });
  return {call};

  async function call(
    server: BackendServer,
    request: ServiceRequest,
    signal?: AbortSignal,
  ): Promise<Result<ServiceAnswer, BackendFailure>> {
    const timeout = AbortSignal.timeout(
      Math.max(1, Math.ceil(request.timeoutMs)),
    );
    try {
      const response = await sendRequest(`${server.address}${request.path}`, {
        dispatcher: agent,
        method: request.method as Dispatcher.HttpMethod,
        headers: {
          ...request.headers,
          'anvilstack-request-id': request.requestId,
        },
        body: request.body === '' ? undefined : request.body,
        signal:
          signal === undefined ? timeout : AbortSignal.any([timeout, signal]),
      });
      const contentType = response.headers['content-type'];
      return Ok({
        status: response.statusCode,
        contentType:
          typeof contentType === 'string'
            ? contentType
            : 'application/octet-stream',
        body: await response.body.text(),
      });
    } catch (error) {
      return Err(getBackendFailure(error));
    }
  }
}
