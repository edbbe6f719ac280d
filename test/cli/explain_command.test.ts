/** The command `explain` against a listener that answers wrongly: each answer ends with a message, never with an exception. */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, before, test} from 'node:test';
import {runCommand} from '../support/cli_run';

const CASES: ReadonlyArray<[body: string, status: number, message: RegExp]> = [
  // Formatting an answer without its fields would fail with an exception.
  ['{}', 200, /unexpected response/],
  ['[]', 200, /unexpected response/],
  ['<html>', 200, /unexpected response/],
  // A refusal without a reason must not print `undefined`.
  ['{}', 400, /refused the request: status 400/],
  ['<html>', 502, /refused the request: status 502/],
  ['{"error":"path: bad"}', 400, /refused the request: path: bad/],
  ['{"error":"no"}', 401, /refused the operator's token/],
];

let answer: [body: string, status: number];
const server = createServer((request, response) => {
  request.resume();
  response.writeHead(answer[1]).end(answer[0]);
});

before(() => new Promise<void>(done => server.listen(0, '127.0.0.1', done)));
after(() => server.close());

test('an answer that is no explanation ends with a message and exit code 1', async () => {
  const {port} = server.address() as AddressInfo;
  for (const [body, status, message] of CASES) {
    answer = [body, status];
    const run = await runCommand([
      ...['explain', '--node', `127.0.0.1:${port}`],
      ...['--host', 'desk.example', '--path', '/'],
    ]);
    assert.equal(run.code, 1, body);
    assert.match(run.stderr, message);
    assert.equal(run.stdout, '');
  }
});
