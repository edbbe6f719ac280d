/** HTTP client of a node's operators listener, or of a gateway's control listener. */
import {Err, Ok, type Result} from 'ts-results';
import {request} from 'undici';
import {z} from 'zod';
import {createMessage, type Message, messages} from '../diagnostics';

/** Options of a client. */
export interface OperatorClientOptions {
  /** Base URL of the listener. */
  readonly address: string;
  /** The operator's token; requests carry none when omitted. */
  readonly token?: string;
  /** Timeout of `read` and `load`, in milliseconds. */
  readonly timeoutMs?: number;
}

/** An HTTP response other than 401 and 403. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Client of one node. */
export interface OperatorClient {
  readonly address: string;
  /** Gets a resource; every status other than 200 is a failure. */
  read<T>(path: string, schema: z.ZodType<T>): Promise<Result<T, Message>>;
  /** Posts a question and loads its answer; every status other than 200 is a failure. */
  load<T>(
    path: string,
    body: unknown,
    schema: z.ZodType<T>,
  ): Promise<Result<T, Message>>;
  /** Deletes a resource; the caller handles all statuses other than 401 and 403. */
  remove(path: string): Promise<Result<OperatorResponse, Message>>;
  /** Posts a JSON body; the caller handles all statuses other than 401 and 403. */
  send(path: string, body: unknown): Promise<Result<OperatorResponse, Message>>;
}

const DEFAULT_READ_TIMEOUT_MS = 5_000;
/**
 * Longer than the 10 s for which a node waits for a change in the log, so that its 503 arrives
 * first.
 */
const CHANGE_TIMEOUT_MS = 15_000;

const errorSchema = z.looseObject({error: z.string()});

export function createOperatorClient(
  options: OperatorClientOptions,
): OperatorClient {
  const {address, token} = options;
  const timeoutMs = options.timeoutMs ?? DEFAULT_READ_TIMEOUT_MS;
  return {address, read, load, send, remove};

  async function read<T>(
    path: string,
    schema: z.ZodType<T>,
  ): Promise<Result<T, Message>> {
    return parseAnswer(await call('GET', path, undefined, timeoutMs), schema);
  }

  async function load<T>(
    path: string,
    body: unknown,
    schema: z.ZodType<T>,
  ): Promise<Result<T, Message>> {
    const text = JSON.stringify(body);
    return parseAnswer(await call('POST', path, text, timeoutMs), schema);
  }

  function parseAnswer<T>(
    answer: Result<OperatorResponse, Message>,
    schema: z.ZodType<T>,
  ): Result<T, Message> {
    if (answer.err) return answer;
    if (answer.val.status !== 200) {
      return Err(
        createMessage(messages.RequestRefused, [
          address,
          getErrorText(answer.val),
        ]),
      );
    }
    const parsed = schema.safeParse(answer.val.body);
    if (parsed.success) return Ok(parsed.data);
    return Err(
      createMessage(messages.UnexpectedNodeResponse, [
        address,
        z.prettifyError(parsed.error).split('\n')[0],
      ]),
    );
  }

  function send(
    path: string,
    body: unknown,
  ): Promise<Result<OperatorResponse, Message>> {
    return call('POST', path, JSON.stringify(body), CHANGE_TIMEOUT_MS);
  }

  function remove(path: string): Promise<Result<OperatorResponse, Message>> {
    return call('DELETE', path, undefined, CHANGE_TIMEOUT_MS);
  }

  async function call(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: string | undefined,
    callTimeoutMs: number,
  ): Promise<Result<OperatorResponse, Message>> {
    try {
      const response = await request(`${address}${path}`, {
        method,
        body,
        headers: {
          ...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
          'content-type': 'application/json',
        },
        signal: AbortSignal.timeout(callTimeoutMs),
      });
      const {statusCode: status} = response;
      const text = await response.body.text();
      if (status === 401 || status === 403) {
        return Err(createMessage(messages.TokenRefused, [address]));
      }
      return Ok({status, body: parseBody(text)});
    } catch (error) {
      return Err(
        createMessage(messages.NodeUnreachable, [
          address,
          getErrorReason(error),
        ]),
      );
    }
  }
}

/** Returns the error text of a response, or its status when the body has none. */
export function getErrorText(answer: OperatorResponse): string {
  const parsed = errorSchema.safeParse(answer.body);
  return parsed.success ? parsed.data.error : `status ${answer.status}`;
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function getErrorReason(error: unknown): string {
  const code = (error as {code?: unknown}).code;
  if (typeof code === 'string') return code;
  return error instanceof Error ? error.message : String(error);
}
