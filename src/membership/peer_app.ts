/** The HTTP application of the peers listener. It accepts only signed tRPC calls. */
import {fetchRequestHandler} from '@trpc/server/adapters/fetch';
import {H3, type H3Event} from 'h3';
import type {Clock} from '../runtime';
import {
  isAuthentic,
  PEER_SIGNATURE_HEADER,
  PEER_TIME_HEADER,
} from './peer_auth';
import {createPeerRouter, type PeerServices} from './peer_router';

/** Options of the application. */
export interface PeerAppOptions {
  readonly clock: Clock;
  /** The shared secret of all nodes. */
  readonly secret: string;
  readonly services: PeerServices;
}

/** Path prefix of the procedures. */
export const PEER_PATH = '/peers';

/** Maximum size of a request body, in bytes. */
const MAX_BODY_BYTES = 65_536;

/** Creates the application. */
export function createPeerApp(options: PeerAppOptions): H3 {
  const {clock, secret} = options;
  const router = createPeerRouter(options.services);
  const app = new H3();
  app.all(`${PEER_PATH}/**`, handlePeerRequest);
  return app;

  async function handlePeerRequest(event: H3Event): Promise<Response> {
    const {req} = event;
    const length = Number(req.headers.get('content-length') ?? 0);
    const isChunked = req.headers.has('transfer-encoding');
    if (isChunked || !(length <= MAX_BODY_BYTES))
      return createEmptyResponse(413);
    const body = await req.text();
    if (!isSigned(req, body)) return createEmptyResponse(401);
    return fetchRequestHandler({
      endpoint: PEER_PATH,
      router,
      req: new Request(req.url, {
        method: req.method,
        headers: req.headers,
        body: req.method === 'GET' ? undefined : body,
      }),
      createContext: () => ({}),
    });
  }

  function isSigned(
    req: Pick<Request, 'url' | 'method' | 'headers'>,
    body: string,
  ): boolean {
    const {pathname, search} = new URL(req.url);
    const request = {
      method: req.method,
      target: pathname + search,
      body,
      sentAtMs: Number(req.headers.get(PEER_TIME_HEADER) ?? NaN),
    };
    const signature = req.headers.get(PEER_SIGNATURE_HEADER) ?? '';
    return isAuthentic(secret, request, signature, clock.getWallMs());
  }
}

function createEmptyResponse(status: number): Response {
  return new Response(null, {status});
}
