/** A stream whose node is killed resumes at another node, and only for its own client account. */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {type Cluster, readStream} from '../../src/demo';
import {getKeyDigest} from '../../src/accounts';
import {
  getExpectedText,
  startTestCluster,
  TEST_API_KEY,
} from '../support/cluster';
import {createTestTemplate} from '../support/template';

const TOKENS = 40;
const OTHER_ACCOUNT_KEY = 'key-of-choir';

let cluster: Cluster;

before(async () => {
  cluster = await startTestCluster();
  await cluster.publishTemplate(
    createTestTemplate({
      client_account: 'choir',
      operators: ['demo'],
      api_key_sha256: [getKeyDigest(OTHER_ACCOUNT_KEY)],
    }),
  );
});

after(() => cluster.close());

function sendCompletion(address: string, word: string): Promise<Response> {
  return fetch(`${address}/v1/chat/completions`, {
    method: 'POST',
    headers: {authorization: `Bearer ${TEST_API_KEY}`},
    body: JSON.stringify({
      model: 'small',
      stream: true,
      max_tokens: TOKENS,
      messages: [{role: 'user', content: `[word:${word}]`}],
    }),
  });
}

function sendResume(
  address: string,
  token: string,
  lastEventId: number | string,
  key = TEST_API_KEY,
): Promise<Response> {
  return fetch(`${address}/v1/resume/${token}`, {
    headers: {
      authorization: `Bearer ${key}`,
      'last-event-id': String(lastEventId),
    },
  });
}

test('a stream resumes at another node without losing or repeating a token', async () => {
  const response = await sendCompletion(cluster.nodes[0].callerAddress, 'r-');
  let killed: Promise<void> | undefined;
  const first = await readStream(response, {
    onTokens: count => {
      if (count >= 8) killed ??= cluster.nodes[0].kill();
    },
  });
  await killed;
  assert.ok(first.lastEventId >= 8 && first.lastEventId < TOKENS);
  const {callerAddress} = cluster.nodes[1];
  const otherAccount = await sendResume(
    callerAddress,
    first.resumeToken,
    first.lastEventId,
    OTHER_ACCOUNT_KEY,
  );
  assert.equal(otherAccount.status, 404);
  const resumed = await sendResume(
    callerAddress,
    first.resumeToken,
    first.lastEventId,
  );
  assert.equal(resumed.status, 200);
  const second = await readStream(resumed);
  assert.equal(first.text + second.text, getExpectedText('r-', TOKENS));
  assert.equal(second.lastEventId, TOKENS);
  assert.ok(second.isComplete && !first.isComplete);
});

test('an invalid resume request is refused with a message', async () => {
  const {callerAddress} = cluster.nodes[1];
  const response = await sendCompletion(callerAddress, 'x-');
  const {resumeToken: token} = await readStream(response);
  const [body, signature] = token.split('.');
  const cases: ReadonlyArray<readonly [string, string, number]> = [
    ['nonsense', '0', 404],
    [`${body}.${signature.slice(0, -2)}`, '0', 404],
    [token, '-1', 400],
    [token, 'many', 400],
  ];
  for (const [text, lastEventId, status] of cases) {
    const answer = await sendResume(callerAddress, text, lastEventId);
    assert.equal(answer.status, status, `${text} ${lastEventId}`);
    const {error} = (await answer.json()) as {error: {message: string}};
    assert.ok(error.message.length > 0);
  }
});
