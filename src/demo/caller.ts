/** A caller that goes to another node when one refuses, breaks off or is gone. */
import type {Clock} from '../runtime';
import type {DemoRequest} from './short_trace';
import {readStream} from './stream_reader';

/** What a caller got. */
export interface CallerResult {
  readonly request: DemoRequest;
  readonly isAnswered: boolean;
  readonly isInDeadline: boolean;
  /** True when a stream was taken up at another node. */
  readonly isResumed: boolean;
  /** Times that the request was sent. */
  readonly attempts: number;
  readonly verdict: string;
  readonly text: string;
}

/** Options of `sendRequest`. */
export interface CallerOptions {
  readonly clock: Clock;
  readonly request: DemoRequest;
  readonly apiKey: string;
  /** Base addresses of the nodes, in the order in which they are tried. */
  readonly addresses: readonly string[];
}

/** What one sending came to; undefined where the request is to be sent again. */
type AttemptOutcome = Pick<
  CallerResult,
  'isAnswered' | 'isResumed' | 'verdict' | 'text'
>;

const MAX_ATTEMPTS = 4;
const RECONNECT_DELAY_MS = 50;

/** Sends a request until it has its final answer. */
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
    // No connection, or it broke: an idempotent request or a key may be sent again.
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

/** Waits as long as the node says and asks for another sending, unless the verdict forbids it. */
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
