/** Answers requests for this node's snapshot, a few at a time. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {promisify} from 'node:util';
import {constants, deflate} from 'node:zlib';
import type {Clock} from '../runtime/types';
import {type Snapshot, SNAPSHOT_ENCODING, trimSnapshot} from './snapshot';

/** Answers a request with this query. */
export type SnapshotResponder = (
  request: IncomingMessage,
  response: ServerResponse,
  query: URLSearchParams,
) => void;

/** Options of the responder. */
export interface SnapshotResponderOptions {
  readonly clock: Pick<Clock, 'getMonotonicMs'>;
  readonly getSnapshot: () => Snapshot;
}

/** An encoded snapshot. */
interface CachedBody {
  readonly atMs: number;
  readonly body: Promise<Buffer>;
}

/** Maximum number of answers at a time: on the slowest link each of them takes a few tenths of a second then. Further nodes ask another one. */
const MAX_OPEN_ANSWERS = 3;
/** How long an encoded snapshot is used again, in milliseconds: nodes that start together ask at about the same time. */
const CACHE_MS = 200;
/** Time after which an answer ends whose receiver takes no bytes, in milliseconds. */
const STALL_TIMEOUT_MS = 1_000;

const compress = promisify<Buffer, {level: number}, Buffer>(deflate);

/** Creates a responder. */
export function createSnapshotResponder(
  options: SnapshotResponderOptions,
): SnapshotResponder {
  const {clock} = options;
  const cache = new Map<string, CachedBody>();
  let openCount = 0;
  return (request, response, query) => {
    if (openCount >= MAX_OPEN_ANSWERS) {
      response.writeHead(503, {'content-length': 0});
      response.end();
      return;
    }
    openCount++;
    response.on('close', () => openCount--);
    response.setTimeout(STALL_TIMEOUT_MS, () => response.destroy());
    const accepted = String(request.headers['accept-encoding'] ?? '');
    void answer(response, query, accepted.includes(SNAPSHOT_ENCODING));
  };

  async function answer(
    response: ServerResponse,
    query: URLSearchParams,
    isCompressed: boolean,
  ): Promise<void> {
    const body = await getBody(query, isCompressed);
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': body.length,
      ...(isCompressed ? {'content-encoding': SNAPSHOT_ENCODING} : {}),
    });
    response.end(body);
  }

  function getBody(
    query: URLSearchParams,
    isCompressed: boolean,
  ): Promise<Buffer> {
    const nowMs = clock.getMonotonicMs();
    for (const [key, {atMs}] of cache) {
      if (nowMs - atMs > CACHE_MS) cache.delete(key);
    }
    const key = `${isCompressed ? SNAPSHOT_ENCODING : ''} ${query.toString()}`;
    const known = cache.get(key);
    // Only compressed snapshots are large enough to be worth keeping, and only other nodes ask for them.
    if (known !== undefined && isCompressed) return known.body;
    const body = encodeSnapshot(options.getSnapshot(), query, isCompressed);
    if (isCompressed) cache.set(key, {atMs: nowMs, body});
    return body;
  }
}

function encodeSnapshot(
  snapshot: Snapshot,
  query: URLSearchParams,
  isCompressed: boolean,
): Promise<Buffer> {
  const trimmed = trimSnapshot(snapshot, query);
  if (!isCompressed) return Promise.resolve(encodeJson(trimmed));
  // The snapshot may be as old as the cache allows when it is sent.
  const aged = {...trimmed, ageMs: trimmed.ageMs + CACHE_MS};
  // The thread pool compresses, so that requests go on meanwhile.
  return compress(encodeJson(aged), {level: constants.Z_BEST_SPEED});
}

function encodeJson(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}
