/**
 * A caller that retries at another node when a node refuses the request, breaks the connection or
 * is unreachable.
 */
import type {Clock} from '../runtime';
import type {DemoRequest} from './short_trace';
import {readStream} from './stream_reader';

/** Outcome of a request, over all of its attempts. */
export interface CallerResult {
  readonly request: DemoRequest;
  readonly isAnswered: boolean;
  readonly isInDeadline: boolean;
  /** True when the stream was resumed at another node after the first connection broke. */
  readonly isResumed: boolean;
  /** Number of times that the request was sent. */
  readonly attempts: number;
  /**
   * Whether the request ran: `ran` when answered, else the `anvilstack-verdict` header of the
   * final refusal, or `not-run` after the last attempt.
   */
  readonly verdict: string;
  readonly text: string;
}

/** Options of `sendRequest`. */
export interface CallerOptions {
  readonly clock: Clock;
  readonly request: DemoRequest;
  readonly apiKey: string;
  /** Base URLs of the nodes, in the order in which they are tried. */
  readonly addresses: readonly string[];
}

/**
 * Final outcome of an attempt; the send functions return undefined where the request must be sent
 * again.
 */
type AttemptOutcome = Pick<
  CallerResult,
  'isAnswered' | 'isResumed' | 'verdict' | 'text'
>;

const MAX_ATTEMPTS = 4;
const RECONNECT_DELAY_MS = 50;

/** Sends a request until it has a final outcome, or until `MAX_ATTEMPTS` attempts were made. */
export async function sendRequest(
  options: CallerOptions,
): Promise<CallerResult> {
  const {clock, request, addresses} = options;
  const startedAtMs = clock.getMonotonicMs();
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
    const address = addresses[(attempt - 1) % addresses.length];
    const nextAddress = addresses[attempt % addresses.length];
    const outcome = await sendOnce(options, address, nextAddress);
    if (outcome === undefined) continue;
    const elapsedMs = clock.getMonotonicMs() - startedAtMs;
    const isInDeadline = outcome.isAnswered && elapsedMs <= request.deadlineMs;
    return {request, ...outcome, isInDeadline, attempts: attempt};
  }
  return {
    request,
    isAnswered: false,
    isInDeadline: false,
    isResumed: false,
    attempts: MAX_ATTEMPTS,
    verdict: 'not-run',
    text: '',
  };
}

async function sendOnce(
  options: CallerOptions,
  address: string,
  nextAddress: string,
): Promise<AttemptOutcome | undefined> {
  try {
    return options.request.kind === 'model'
      ? await sendModelRequest(options, address, nextAddress)
      : await sendServiceRequest(options, address);
  } catch {
    // The connection failed or broke. A retry is safe: the request is idempotent or has an
    // idempotency key.
    await options.clock.sleep(RECONNECT_DELAY_MS);
    return undefined;
  }
}

async function sendModelRequest(
  options: CallerOptions,
  address: string,
  nextAddress: string,
): Promise<AttemptOutcome | undefined> {
  const {request} = options;
  const response = await fetch(`${address}/v1/chat/completions`, {
    method: 'POST',
    headers: getHeaders(options),
    body: JSON.stringify({
      model: request.target,
      stream: true,
      max_tokens: request.outputTokens,
      messages: [{role: 'user', content: `[word:${request.reference}-]`}],
    }),
  });
  if (response.status !== 200) return handleRefusal(options, response);
  const received = await readStream(response);
  if (received.isComplete) return createAnsweredOutcome(received.text, false);
  const resumed = await fetch(
    `${nextAddress}/v1/resume/${received.resumeToken}`,
    {
      headers: {
        ...getHeaders(options),
        'last-event-id': String(received.lastEventId),
      },
    },
  );
  if (resumed.status !== 200) return undefined;
  const remainder = await readStream(resumed);
  if (!remainder.isComplete) return undefined;
  return createAnsweredOutcome(received.text + remainder.text, true);
}

async function sendServiceRequest(
  options: CallerOptions,
  address: string,
): Promise<AttemptOutcome | undefined> {
  const {request} = options;
  const isBooking = request.kind === 'booking';
  const path = isBooking ? 'bookings' : `bookings/${request.reference}`;
  const response = await fetch(
    `${address}/services/${request.target}/${path}`,
    {
      method: isBooking ? 'POST' : 'GET',
      headers: {
        ...getHeaders(options),
        ...(isBooking ? {'idempotency-key': request.reference} : {}),
      },
      body: isBooking ? JSON.stringify({reference: request.reference}) : null,
    },
  );
  if (response.status !== 200) return handleRefusal(options, response);
  return createAnsweredOutcome(await response.text(), false);
}

/**
 * When the verdict is `not-run`, waits for the `retry-after-ms` of the response and returns
 * undefined for a retry; otherwise the refusal is final.
 */
async function handleRefusal(
  {clock}: CallerOptions,
  response: Response,
): Promise<AttemptOutcome | undefined> {
  const verdict = response.headers.get('anvilstack-verdict') ?? '';
  await response.body?.cancel();
  if (verdict !== 'not-run') {
    return {isAnswered: false, isResumed: false, verdict, text: ''};
  }
  await clock.sleep(Number(response.headers.get('retry-after-ms') ?? 0));
  return undefined;
}

function getHeaders({apiKey, request}: CallerOptions): Record<string, string> {
  return {
    authorization: `Bearer ${apiKey}`,
    'content-type': 'application/json',
    'anvilstack-deadline-ms': String(request.deadlineMs),
  };
}

function createAnsweredOutcome(
  text: string,
  isResumed: boolean,
): AttemptOutcome {
  return {isAnswered: true, isResumed, verdict: 'ran', text};
}
