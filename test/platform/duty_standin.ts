/** In-memory stand-in for the platform's interface for duties, with faults that a test sets. */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

/**
 * Fault that the stand-in shows until it is changed. `lost-answer` carries out
 * a call and closes its connection, `half-answer` breaks off the body of a 200,
 * `empty` answers 200 without a body, `silent` never answers.
 */
export type DutyFault =
  | 'none'
  | 'error'
  | 'limited'
  | 'lost-answer'
  | 'half-answer'
  | 'empty'
  | 'silent';

/** A call that the stand-in carried out. */
export interface DutyCall {
  readonly path: string;
  readonly holder: string;
  readonly fencingNumber: number;
  readonly body: Readonly<Record<string, unknown>>;
  readonly atMs: number;
}

/** A running stand-in. */
export interface DutyStandin {
  readonly port: number;
  /** Calls carried out, in order of arrival. */
  readonly calls: DutyCall[];
  /** Calls received, refused ones included. */
  countReceived(): number;
  setFault(fault: DutyFault): void;
  /** Answers orders of servers with 409 and this text. */
  setOrderRefusal(text: string | undefined): void;
  close(): void;
}

/** Starts the stand-in on a free loopback port. It refuses lower fencing numbers than it has seen with 409. */
export async function startDutyStandin(): Promise<DutyStandin> {
  const calls: DutyCall[] = [];
  const highest = new Map<string, number>();
  let fault: DutyFault = 'none';
  let refusal: string | undefined;
  let received = 0;
  const server = createServer((request, response) => {
    received++;
    void handle(request, response);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    calls,
    countReceived: () => received,
    setFault: next => {
      fault = next;
    },
    setOrderRefusal: text => {
      refusal = text;
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (fault === 'silent') return;
    if (fault === 'error') return void response.writeHead(500).end('{}');
    if (fault === 'limited') return void response.writeHead(429).end('{}');
    const path = request.url ?? '';
    const fencingNumber = Number(request.headers['anvilstack-fencing-token']);
    const body = JSON.parse(
      Buffer.concat(chunks).toString(),
    ) as DutyCall['body'];
    const subject = `${path} ${String(body['service'])} ${String(body['zone'])}`;
    if (fencingNumber < (highest.get(subject) ?? 0)) {
      return void response
        .writeHead(409)
        .end('{"error":"fencing token is outdated"}');
    }
    if (path === '/scale' && refusal !== undefined) {
      return void response.writeHead(409).end(refusal);
    }
    highest.set(subject, fencingNumber);
    calls.push({
      path,
      holder: String(request.headers['anvilstack-duty-holder']),
      fencingNumber,
      body,
      atMs: performance.now(),
    });
    if (fault === 'lost-answer') return void request.socket.destroy();
    if (fault === 'half-answer') {
      response.writeHead(200, {'Content-Length': '20'});
      response.write('{"o', () => request.socket.destroy());
      return;
    }
    response.writeHead(200).end(fault === 'empty' ? '' : '{"ok":true}');
  }
}
