/** HTTP client of the platform's interface for duties: usage reports and orders of servers. */
import {Readable} from 'node:stream';
import {Err, Ok, type Result} from 'ts-results';
import {Client} from 'undici';
import type {DutyCaller, DutyClient, DutyFailure} from '../gateway';

/** Options of the client. */
export interface DutyClientOptions {
  readonly host: string;
  readonly port: number;
  /** Timeout of a call in milliseconds. */
  readonly timeoutMs?: number;
}

/** Shorter than a grant is valid (1.5 s), so that a lost response can be repeated by the same grant. */
const DEFAULT_TIMEOUT_MS = 700;
/** Bytes of a response that are read: its status decides, the text only explains a refusal. */
const MAX_RESPONSE_BYTES = 4_096;
const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const STATUS_TOO_MANY = 429;
/** Text by which a refusal that is due to the fencing number is told from one for want of servers. */
const FENCING_TEXT = /fenc|token|holder/i;
/** Error codes of calls whose connection was not made. */
const UNSENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

class GrantExpiredError extends Error {}

/** Creates a client. Each call opens a connection of its own: calls are rare, and one that is not answered must not hold back the others. */
export function createDutyClient(options: DutyClientOptions): DutyClient {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const open = new Set<Client>();
  return {
    sendUsage: ({windowId, counts}, caller) =>
      callPlatform('/usage', {windowId, counts}, caller, mapUsageRefusal),
    sendServerOrder: (order, caller) =>
      callPlatform(
        '/scale',
        {
          service: order.service,
          zone: order.failureDomain,
          desired: order.count,
          ...(order.isReclaimable ? {spot: true} : {}),
        },
        caller,
        mapOrderRefusal,
      ),
    close: () => {
      for (const connection of open) void connection.destroy();
    },
  };

  async function callPlatform(
    path: string,
    fields: object,
    caller: DutyCaller,
    mapRefusal: (text: string) => DutyFailure['kind'],
  ): Promise<Result<void, DutyFailure>> {
    const body = Buffer.from(JSON.stringify(fields));
    const connection = openConnection();
    try {
      const response = await connection.request({
        method: 'POST',
        path,
        headers: {
          'Content-Type': 'application/json',
          'Content-Length': String(body.length),
          'Anvilstack-Duty-Holder': caller.holder,
          'Anvilstack-Fencing-Token': String(caller.fencingNumber),
        },
        body: Readable.from(readWhileValid(body, caller)),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await readText(response.body);
      const status = response.statusCode;
      if (status === STATUS_OK) return Ok.EMPTY;
      return Err(mapStatus(status, text, mapRefusal));
    } catch (error) {
      return Err(mapError(error));
    } finally {
      open.delete(connection);
      void connection.destroy();
    }
  }

  function openConnection(): Client {
    const connection = new Client(`http://${options.host}:${options.port}`, {
      connect: {timeout: timeoutMs},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    open.add(connection);
    return connection;
  }
}

/** Yields the body once the connection is open. The head is written together with it, so a call waiting for its connection is not sent after its grant has ended. */
async function* readWhileValid(
  body: Buffer,
  caller: DutyCaller,
): AsyncGenerator<Buffer> {
  if (!caller.isValid()) throw new GrantExpiredError('the grant has ended');
  yield body;
}

/** Reads the body up to the maximum, so that an answer that breaks off before is told from a complete one. */
async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  let text = '';
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > MAX_RESPONSE_BYTES) break;
    text += chunk.toString('utf8');
  }
  return text;
}

function mapUsageRefusal(): DutyFailure['kind'] {
  return 'fenced';
}

/** A refused order states either that a higher number was seen or that there are no such servers; without such a text the latter is assumed, which is the ordinary case. */
function mapOrderRefusal(text: string): DutyFailure['kind'] {
  return FENCING_TEXT.test(text) ? 'fenced' : 'none-available';
}

function mapStatus(
  status: number,
  text: string,
  mapRefusal: (text: string) => DutyFailure['kind'],
): DutyFailure {
  const message = `status ${status}: ${text.slice(0, 200)}`;
  switch (status) {
    case STATUS_CONFLICT:
      return {kind: mapRefusal(text), mayHaveTakenEffect: false, message};
    case STATUS_TOO_MANY:
      return {kind: 'limited', mayHaveTakenEffect: false, message};
    default:
      return {kind: 'unavailable', mayHaveTakenEffect: true, message};
  }
}

function mapError(error: unknown): DutyFailure {
  const isExpired = error instanceof GrantExpiredError;
  const {code} = (error ?? {}) as {code?: unknown};
  const wasConnected = !UNSENT_CODES.has(String(code));
  return {
    kind: isExpired ? 'expired' : 'unavailable',
    mayHaveTakenEffect: !isExpired && wasConnected,
    message: error instanceof Error ? error.message : String(error),
  };
}
