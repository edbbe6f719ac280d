/** A small HTTP/1.1 server over plain sockets, which lets a stand-in write any bytes, and a client with one request a connection. */
import net from 'node:net';

/** Serves `handle(request, connection)`; `connection.write` writes raw bytes. Resolves to the server once it listens. */
export function serve(host, port, handle) {
  const sockets = new Set();
  const server = net.createServer({noDelay: true}, socket => {
    sockets.add(socket);
    const connection = {
      socket,
      requests: 0,
      write: bytes => {
        if (socket.writable) socket.write(bytes);
      },
    };
    let input = Buffer.alloc(0);
    let isBusy = false;
    socket.on('error', () => undefined);
    socket.on('close', () => {
      sockets.delete(socket);
      connection.onClose?.();
    });
    socket.on('data', chunk => {
      input = Buffer.concat([input, chunk]);
      next();
    });
    function next() {
      if (isBusy) return;
      const request = tryParse();
      if (request === undefined) return;
      isBusy = true;
      connection.requests++;
      Promise.resolve(handle(request, connection))
        .catch(error => console.error('stand-in failed', error))
        .then(() => {
          isBusy = false;
          next();
        });
    }
    function tryParse() {
      const end = input.indexOf('\r\n\r\n');
      if (end < 0) return undefined;
      const [line, ...lines] = input.toString('latin1', 0, end).split('\r\n');
      const headers = {};
      for (const text of lines) {
        const colon = text.indexOf(':');
        headers[text.slice(0, colon).toLowerCase()] = text.slice(colon + 1).trim();
      }
      const length = Number(headers['content-length'] ?? 0);
      const bodyStart = end + 4;
      let body;
      let used;
      if (headers['transfer-encoding'] === 'chunked') {
        const parts = [];
        let at = bodyStart;
        for (;;) {
          const lineEnd = input.indexOf('\r\n', at);
          if (lineEnd < 0) return undefined;
          const size = parseInt(input.toString('latin1', at, lineEnd), 16);
          if (input.length < lineEnd + 2 + size + 2) return undefined;
          parts.push(input.subarray(lineEnd + 2, lineEnd + 2 + size));
          at = lineEnd + 2 + size + 2;
          if (size === 0) break;
        }
        body = Buffer.concat(parts);
        used = at;
      } else {
        if (input.length < bodyStart + length) return undefined;
        body = input.subarray(bodyStart, bodyStart + length);
        used = bodyStart + length;
      }
      input = input.subarray(used);
      const [method, target] = line.split(' ');
      const [path, query = ''] = target.split('?');
      return {method, target, path, query: new URLSearchParams(query), headers, body};
    }
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () =>
      resolve({
        port: server.address().port,
        close: () => {
          server.close();
          for (const socket of sockets) socket.destroy();
        },
      }),
    );
  });
}

const REASONS = {200: 'OK', 202: 'Accepted', 409: 'Conflict', 410: 'Gone', 412: 'Precondition Failed', 421: 'Misdirected Request', 500: 'Internal Server Error', 503: 'Service Unavailable'};

/** Formats an answer with a length. */
export function format(status, headers, body = '') {
  const bytes = Buffer.from(body);
  const lines = Object.entries({...headers, 'Content-Length': bytes.length}).map(([name, value]) => `${name}: ${value}\r\n`);
  return Buffer.concat([Buffer.from(`HTTP/1.1 ${status} ${REASONS[status] ?? 'Status'}\r\n${lines.join('')}\r\n`), bytes]);
}

/** Sends one request on a new connection, or on `options.socket`; resolves to the answer and whether it was complete. */
export function send({host, port, method, path, headers, body = '', timeoutMs = 10_000}) {
  return new Promise(resolve => {
    const socket = net.connect({host, port, noDelay: true});
    let input = Buffer.alloc(0);
    let isDone = false;
    const finish = how => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      socket.destroy();
      resolve({...parseAnswer(input, how !== 'open'), end: how});
    };
    const timer = setTimeout(() => finish('timeout'), timeoutMs);
    socket.on('error', error => finish(`error ${error.code}`));
    socket.on('end', () => finish('end'));
    socket.on('close', () => finish('close'));
    socket.on('data', chunk => {
      input = Buffer.concat([input, chunk]);
      if (parseAnswer(input, false).isComplete) finish('complete');
    });
    const text = Object.entries({...headers, ...(method === 'GET' ? {} : {'Content-Length': Buffer.byteLength(body)})})
      .map(([name, value]) => `${name}: ${value}\r\n`)
      .join('');
    socket.write(`${method} ${path} HTTP/1.1\r\n${text}\r\n${body}`);
  });
}

/** Parses an answer that may be incomplete. */
export function parseAnswer(input) {
  const end = input.indexOf('\r\n\r\n');
  if (end < 0) return {isComplete: false, status: undefined, headers: {}, body: input.toString('utf8')};
  const [line, ...lines] = input.toString('latin1', 0, end).split('\r\n');
  const headers = {};
  for (const text of lines) {
    const colon = text.indexOf(':');
    headers[text.slice(0, colon).toLowerCase()] = text.slice(colon + 1).trim();
  }
  const status = Number(line.split(' ')[1]);
  const rest = input.subarray(end + 4);
  if (headers['transfer-encoding'] === 'chunked') {
    const parts = [];
    let at = 0;
    for (;;) {
      const lineEnd = rest.indexOf('\r\n', at);
      if (lineEnd < 0) return {isComplete: false, status, headers, body: Buffer.concat(parts).toString('utf8')};
      const size = parseInt(rest.toString('latin1', at, lineEnd), 16);
      if (size === 0) return {isComplete: rest.length >= lineEnd + 4, status, headers, body: Buffer.concat(parts).toString('utf8')};
      if (rest.length < lineEnd + 2 + size + 2) return {isComplete: false, status, headers, body: Buffer.concat(parts).toString('utf8')};
      parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
      at = lineEnd + 4 + size;
    }
  }
  const length = Number(headers['content-length']);
  return {isComplete: rest.length >= length, status, headers, body: rest.toString('utf8', 0, length || undefined)};
}
