/** Token batches that arrive late, twice or out of order; resume tokens; resumed answers. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {EngineClient, EngineSink, TokenBatch} from '../../src/backends';
import {
  type AnswerEnd,
  type AnswerSink,
  createReorderBuffer,
} from '../../src/routing';
import {createVirtualClock} from '../../src/runtime';
import {createEngineModel} from '../../src/standins';
import {
  createResumeToken,
  type ResumeTokenClaims,
  resumeAnswer,
  tryParseResumeToken,
} from '../../src/streams';
import {FailureKind, type RequestFailure} from '../../src/verdict';
import {createModelClient} from '../support/routing_fleet';

const CLAIMS: ResumeTokenClaims = {
  requestId: 'req-1',
  clientAccount: 'studio',
  model: 'small',
  shape: 'chat',
  engine: 'engine-0',
  idempotent: true,
  expiresAtMs: 10_000,
};

function createBatch(firstIndex: number, count: number): TokenBatch {
  const words = Array.from(
    {length: count},
    (_, step) => `${firstIndex + step};`,
  );
  return {
    firstIndex,
    count,
    text: words.join(''),
    firstAtMs: 0,
    lastAtMs: 0,
  };
}

/** Creates a sink that records an answer. */
function createCollector(): AnswerSink & {
  text: string;
  end?: AnswerEnd;
  failure?: RequestFailure;
} {
  const collector: ReturnType<typeof createCollector> = {
    text: '',
    onTokens: batch => {
      collector.text += batch.text;
    },
    onEnd: end => {
      collector.end = end;
    },
    onFailure: failure => {
      collector.failure = failure;
    },
  };
  return collector;
}

test('batches of any size that arrive shuffled and repeated are delivered once and in order', () => {
  const total = 24;
  const whole = createBatch(0, total).text;
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 1, max: 6}), {minLength: 1, maxLength: 24}),
      fc.infiniteStream(fc.nat()),
      (sizes, numbers) => {
        const batches: TokenBatch[] = [];
        let index = 0;
        for (let turn = 0; index < total; turn++) {
          const count = Math.min(sizes[turn % sizes.length], total - index);
          batches.push(createBatch(index, count));
          index += count;
        }
        const order = [...batches, ...batches]
          .map(batch => ({batch, rank: numbers.next().value}))
          .sort((left, right) => left.rank - right.rank);
        const buffer = createReorderBuffer();
        let text = '';
        for (const {batch} of order) {
          for (const ready of buffer.takeReady(batch)) text += ready.text;
        }
        assert.equal(text, whole);
        assert.equal(buffer.getNextIndex(), total);
        assert.equal(buffer.getText(), whole);
      },
    ),
    {seed: 7, numRuns: 300},
  );
});

test('a resumed answer with other batch boundaries neither loses nor repeats tokens', () => {
  const buffer = createReorderBuffer();
  const texts = [createBatch(0, 3), createBatch(3, 2), createBatch(3, 6)]
    .flatMap(batch => buffer.takeReady(batch))
    .map(batch => batch.text);
  assert.equal(texts.join(''), createBatch(0, 9).text);
  // A batch that overlaps delivered tokens but starts at no known boundary cannot be trimmed,
  // so it is dropped.
  assert.deepEqual(buffer.takeReady(createBatch(7, 4)), []);
  assert.equal(buffer.getCounts().dropped, 1);
});

test('a resume token is accepted for its client account only, until it expires, under each secret in force', () => {
  const token = createResumeToken('old', CLAIMS);
  const context = {clientAccount: 'studio', nowWallMs: 5_000};
  assert.deepEqual(
    tryParseResumeToken(['new', 'old'], token, context).val,
    CLAIMS,
  );
  assert.ok(tryParseResumeToken(['new'], token, context).err);
  const otherAccount = {...context, clientAccount: 'choir'};
  const refused = tryParseResumeToken(['old'], token, otherAccount);
  const unknown = tryParseResumeToken(['old'], 'none.none', otherAccount);
  assert.deepEqual(refused.val, unknown.val);
  const late = tryParseResumeToken(['old'], token, {
    ...context,
    nowWallMs: 10_000,
  });
  assert.ok(late.err);
  assert.match(late.val.message, /expired; send the request again/);
});

test('a modified token is refused', () => {
  const token = createResumeToken('secret', CLAIMS);
  const context = {clientAccount: 'studio', nowWallMs: 0};
  fc.assert(
    fc.property(
      fc.nat({max: token.length - 1}),
      fc.constantFrom(...'abcXYZ019-_.'),
      (index, letter) => {
        const changed = token.slice(0, index) + letter + token.slice(index + 1);
        if (changed === token) return;
        const parsed = tryParseResumeToken(['secret'], changed, context);
        // The last character of base64url has unused bits: changing it may leave the bytes
        // unchanged.
        assert.ok(parsed.err || index === token.length - 1);
      },
    ),
    {seed: 7, numRuns: 500},
  );
  fc.assert(
    fc.property(fc.string({maxLength: 200}), text => {
      assert.ok(tryParseResumeToken(['secret'], text, context).err);
    }),
    {seed: 7, numRuns: 300},
  );
});

test('an answer is resumed on another node after the first node has failed', async () => {
  const clock = createVirtualClock();
  const model = createEngineModel({id: 'engine-0', address: '', clock});
  const first = createCollector();
  let delivered = 0;
  model.start(
    {
      requestId: 'req-1',
      model: 'small',
      prompt: 'tape',
      promptTokens: 100,
      maxTokens: 40,
      priority: 0,
      phase: 'full',
      firstTokenIndex: 0,
      prefixHashes: [],
      prefixTokens: 0,
    },
    {
      onTokens: batch => {
        first.onTokens(batch);
        delivered = batch.firstIndex + batch.count;
      },
      onEnd: () => assert.fail('the end of the answer went to the first node'),
      onFailure: failure => assert.fail(failure.message),
    },
  );
  await clock.advance(200);
  assert.ok(delivered > 0 && delivered < 40);
  const second = createCollector();
  const firstText = first.text;
  resumeAnswer({
    claims: CLAIMS,
    firstTokenIndex: delivered,
    getEngineClient: () => createModelClient(model),
    sink: second,
  });
  await clock.advance(5_000);
  const words = Array.from({length: 40}, (_, index) => `w${index}`);
  assert.equal(firstText + second.text, words.join(' '));
  assert.equal(second.end?.engine, 'engine-0');
});

test('when the engine does not hold the answer or is not listed, the failure tells the caller what to do', async () => {
  const clock = createVirtualClock();
  const model = createEngineModel({id: 'engine-0', address: '', clock});
  for (const idempotent of [true, false]) {
    const collector = createCollector();
    resumeAnswer({
      claims: {...CLAIMS, idempotent},
      firstTokenIndex: 3,
      getEngineClient: () => createModelClient(model),
      sink: collector,
    });
    await clock.advance(10);
    assert.equal(collector.failure?.kind, FailureKind.BackendFailed);
    assert.equal(collector.failure?.verdict, 'may-have-run');
    const advice = idempotent ? /send the request again$/ : /Idempotency-Key/;
    assert.match(collector.failure?.message ?? '', advice);
  }
  const unlisted = createCollector();
  resumeAnswer({
    claims: CLAIMS,
    firstTokenIndex: 0,
    getEngineClient: () => {
      throw new Error('not listed');
    },
    sink: unlisted,
  });
  assert.match(unlisted.failure?.message ?? '', /engine-0 is no longer listed/);
});

test('a resumed answer that breaks off is requested at most three times', () => {
  const calls: number[] = [];
  const sinks: EngineSink[] = [];
  const client: Pick<EngineClient, 'resume'> = {
    resume: (_requestId, from, sink) => {
      calls.push(from);
      sinks.push(sink);
      return {cancel: () => undefined, setPaused: () => undefined};
    },
  };
  const sink = createCollector();
  resumeAnswer({
    claims: CLAIMS,
    firstTokenIndex: 0,
    getEngineClient: () => client as EngineClient,
    sink,
  });
  const broken = {
    kind: 'broken',
    verdict: 'may-have-run',
    message: 'the answer broke off',
  } as const;
  sinks[0].onTokens(createBatch(0, 4));
  sinks[0].onFailure(broken);
  sinks[0].onTokens(createBatch(4, 4));
  assert.deepEqual(calls, [0, 4]);
  assert.equal(sink.text, createBatch(0, 4).text);
  sinks[1].onFailure(broken);
  sinks[2].onFailure(broken);
  assert.equal(calls.length, 3);
  assert.ok(sink.failure !== undefined);
});
