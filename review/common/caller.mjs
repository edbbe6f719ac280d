/** A caller, who keeps one connection open and sends one request at a time. */
import {Agent, request as sendRequest} from 'node:http';

let attemptCount = 0;

export function createCaller({port, host, record}) {
  let agent = new Agent({keepAlive: true, maxSockets: 1});
  return {
    /** Sends one attempt; `status` is 0 when the connection ended without a complete answer. */
    send: ({
      method = 'POST',
      path,
      deadlineMs,
      headers = {},
      body = 'an order',
      isNew = false,
    }) => {
      if (isNew) {
        agent.destroy();
        agent = new Agent({keepAlive: true, maxSockets: 1});
      }
      const id = `${process.pid.toString(16)}-${(++attemptCount).toString(16).padStart(6, '0')}`;
      const sentAt = performance.now();
      record.add(`sent ${id} ${method} ${path}`);
      return new Promise(resolve => {
        let isDone = false;
        const finish = answer => {
          if (isDone) return;
          isDone = true;
          clearTimeout(timer);
          record.add(`answered ${id} ${formatEnd(answer)}`);
          resolve({
            id,
            elapsedMs: performance.now() - sentAt,
            isKept: request.reusedSocket,
            ...answer,
          });
        };
        const request = sendRequest(
          {
            host: '127.0.0.1',
            port,
            path,
            method,
            agent,
            headers: {
              Host: host,
              'Anvilstack-Request-Id': id,
              'Anvilstack-Deadline-Ms': String(deadlineMs),
              ...(method === 'GET'
                ? {}
                : {'Content-Length': Buffer.byteLength(body)}),
              ...headers,
            },
          },
          response => {
            const chunks = [];
            response.on('data', chunk => chunks.push(chunk));
            response.on('error', () => finish({status: 0}));
            response.on('end', () =>
              finish(
                response.complete
                  ? {
                      status: response.statusCode,
                      headers: response.headers,
                      body: Buffer.concat(chunks).toString(),
                    }
                  : {status: 0},
              ),
            );
          },
        );
        const timer = setTimeout(() => {
          request.destroy();
          finish({status: 0, isGivenUp: true});
        }, deadlineMs);
        request.on('error', () => finish({status: 0}));
        request.end(method === 'GET' ? undefined : body);
      });
    },
    /** True while the connection is open, so that the next request goes to the same gateway. */
    isOpen: () =>
      Object.values(agent.freeSockets)
        .flat()
        .some(socket => !socket.destroyed),
    close: () => agent.destroy(),
  };
}

function formatEnd({status, isGivenUp}) {
  if (status !== 0) return status;
  return isGivenUp ? 'nothing until its deadline' : 'connection closed';
}
