/** Tests of listeners over real sockets: graceful shutdown, limits, and reload of TLS certificates. */
import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {copyFileSync, mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {
  Agent as HttpAgent,
  get as httpGet,
  type IncomingMessage,
} from 'node:http';
import {type Socket, connect as netConnect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {connect as tlsConnect} from 'node:tls';
import {test} from 'node:test';
import {H3} from 'h3';
import {Agent, request} from 'undici';
import {createTlsConnector, openListener} from '../../src/runtime';

const DIRECTORY = mkdtempSync(join(tmpdir(), 'anvilstack-tls-'));

function createApp(): H3 {
  const app = new H3();
  app.get('/hello', () => 'hello');
  app.post('/echo', event => event.req.text());
  return app;
}

/** Creates a self-signed certificate for 127.0.0.1 with openssl. */
function createCertificate(name: string): {certFile: string; keyFile: string} {
  const certFile = join(DIRECTORY, `${name}.crt`);
  const keyFile = join(DIRECTORY, `${name}.key`);
  execFileSync(
    'openssl',
    [
      ...['req', '-x509', '-newkey', 'ec', '-pkeyopt'],
      ...['ec_paramgen_curve:prime256v1', '-nodes', '-days', '2'],
      ...['-subj', `/CN=${name}`, '-addext', 'subjectAltName=IP:127.0.0.1'],
      ...['-keyout', keyFile, '-out', certFile],
    ],
    {stdio: 'ignore'},
  );
  return {certFile, keyFile};
}

function readCommonName(address: string): Promise<string> {
  const {port} = new URL(address);
  return new Promise((resolve, reject) => {
    const socket = tlsConnect(
      {host: '127.0.0.1', port: Number(port), rejectUnauthorized: false},
      () => {
        const name = String(socket.getPeerCertificate().subject.CN);
        socket.destroy();
        resolve(name);
      },
    );
    socket.once('error', reject);
  });
}

/** Sends raw text and returns everything received until the connection closes. */
function sendRaw(address: string, text: string): Promise<string> {
  const {port} = new URL(address);
  return new Promise((resolve, reject) => {
    const chunks: string[] = [];
    const socket: Socket = netConnect(Number(port), '127.0.0.1', () =>
      socket.write(text),
    );
    socket.on('data', chunk => chunks.push(chunk.toString()));
    socket.once('close', () => resolve(chunks.join('')));
    socket.once('error', reject);
  });
}

test('close waits for the response in flight and closes idle keep-alive connections', async () => {
  let finish: () => void = () => undefined;
  const answerGate = new Promise<void>(resolve => {
    finish = resolve;
  });
  const app = createApp();
  const started = new Promise<void>(resolve => {
    app.get('/slow', async () => {
      resolve();
      await answerGate;
      return 'whole answer';
    });
  });
  const listener = await openListener({app});
  const agent = new HttpAgent({keepAlive: true});
  const idle = await readAnswer(`${listener.address}/hello`, agent);
  assert.equal(idle, 'hello');
  const slow = readAnswer(`${listener.address}/slow`, agent);
  await started;
  const closed = listener.close();
  finish();
  assert.equal(await slow, 'whole answer');
  await closed;
  agent.destroy();
  await assert.rejects(request(`${listener.address}/hello`));
});

function readAnswer(url: string, agent: HttpAgent): Promise<string> {
  return new Promise((resolve, reject) => {
    httpGet(url, {agent}, (response: IncomingMessage) => {
      const chunks: string[] = [];
      response.on('data', chunk => chunks.push(String(chunk)));
      response.on('end', () => resolve(chunks.join('')));
    }).once('error', reject);
  });
}

test('headers and bodies beyond the limits are rejected', async () => {
  const listener = await openListener({
    app: createApp(),
    limits: {maxHeaderBytes: 2_048, maxBodyBytes: 100},
  });
  const long = await request(`${listener.address}/hello`, {
    headers: {'x-long': 'x'.repeat(4_096)},
  });
  assert.equal(long.statusCode, 431);
  const url = `${listener.address}/echo`;
  const statuses: number[] = [];
  for (const body of ['x'.repeat(100), 'x'.repeat(101)]) {
    statuses.push((await request(url, {method: 'POST', body})).statusCode);
  }
  const chunked = await sendRaw(
    listener.address,
    'POST /echo HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n',
  );
  assert.deepEqual(statuses, [200, 413]);
  assert.match(chunked, /^HTTP\/1\.1 411 /);
  assert.ok(listener.getBytes().received > 4_096);
  await listener.destroy();
});

test('headers and uploads beyond their timeouts get a 408', async () => {
  const listener = await openListener({
    app: createApp(),
    limits: {headerTimeoutMs: 200, uploadTimeoutMs: 400},
  });
  const [headers, upload] = await Promise.all([
    sendRaw(listener.address, 'GET /hello HTTP/1.1\r\nhost: x\r\n'),
    sendRaw(
      listener.address,
      'POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nx',
    ),
  ]);
  assert.match(headers, /^HTTP\/1\.1 408 /);
  assert.match(upload, /^HTTP\/1\.1 408 /);
  await listener.destroy();
});

test('connections beyond the limit are dropped', async () => {
  const listener = await openListener({
    app: createApp(),
    limits: {maxConnections: 1},
  });
  const agent = new HttpAgent({keepAlive: true});
  await readAnswer(`${listener.address}/hello`, agent);
  assert.equal(await sendRaw(listener.address, '').catch(() => ''), '');
  agent.destroy();
  await listener.destroy();
});

test('changed certificates are reloaded without a restart; a mismatched pair is rejected', async () => {
  const first = createCertificate('first');
  const second = createCertificate('second');
  const tls = {
    certFile: join(DIRECTORY, 'used.crt'),
    keyFile: join(DIRECTORY, 'used.key'),
  };
  copyFileSync(first.certFile, tls.certFile);
  copyFileSync(first.keyFile, tls.keyFile);
  const errors: Error[] = [];
  const listener = await openListener({
    app: createApp(),
    tls,
    onReloadError: error => void errors.push(error),
  });
  assert.match(listener.address, /^https:/);
  assert.equal(await readCommonName(listener.address), 'first');
  copyFileSync(second.certFile, tls.certFile);
  assert.equal(listener.updateCertificates(), false);
  assert.equal(errors.length, 1);
  assert.equal(await readCommonName(listener.address), 'first');
  copyFileSync(second.keyFile, tls.keyFile);
  process.emit('SIGHUP', 'SIGHUP');
  assert.equal(await readCommonName(listener.address), 'second');
  await listener.destroy();
});

test('a client without a certificate signed by the CA is rejected', async () => {
  const server = createCertificate('server');
  const client = createCertificate('client');
  const stranger = createCertificate('stranger');
  const listener = await openListener({
    app: createApp(),
    tls: {...server, clientCaFile: client.certFile},
  });
  const url = `${listener.address}/hello`;
  const ca = readFileSync(server.certFile);
  const known = createTlsAgent(ca, client);
  const answer = await request(url, {dispatcher: known});
  assert.equal(await answer.body.text(), 'hello');
  for (const agent of [
    createTlsAgent(ca, stranger),
    new Agent({connect: {ca}}),
  ]) {
    await assert.rejects(request(url, {dispatcher: agent}));
    await agent.destroy();
  }
  await known.destroy();
  await listener.destroy();
});

function createTlsAgent(
  ca: Buffer,
  files: {certFile: string; keyFile: string},
): Agent {
  return new Agent({
    connect: {
      ca,
      cert: readFileSync(files.certFile),
      key: readFileSync(files.keyFile),
    },
  });
}

test('a connector presents the certificate of its files and trusts their CA', async () => {
  const files = createCertificate('peer');
  const tls = {...files, clientCaFile: files.certFile};
  const listener = await openListener({app: createApp(), tls});
  const agent = new Agent({connect: createTlsConnector(tls)});
  const url = `${listener.address}/hello`;
  const answer = await request(url, {dispatcher: agent});
  assert.equal(await answer.body.text(), 'hello');
  await agent.destroy();
  await listener.destroy();
});

test('openListener rejects when a certificate cannot be parsed', async () => {
  const certFile = join(DIRECTORY, 'broken.crt');
  writeFileSync(certFile, 'not a certificate');
  await assert.rejects(
    openListener({app: createApp(), tls: {certFile, keyFile: certFile}}),
  );
});
