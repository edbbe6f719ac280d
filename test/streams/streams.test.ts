/** Answers that come late, twice or crossed; resume tokens; resumed answers. */
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

/** Collects an answer. */
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

test('batches that are shuffled, repeated and cut anew come out once and in order', () => {
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

test('a resumed answer whose batches begin elsewhere loses and repeats nothing', () => {
  const buffer = createReorderBuffer();
  const texts = [createBatch(0, 3), createBatch(3, 2), createBatch(3, 6)]
    .flatMap(batch => buffer.takeReady(batch))
    .map(batch => batch.text);
  assert.equal(texts.join(''), createBatch(0, 9).text);
  // An overlap that cannot be cut is dropped, not guessed.
  assert.deepEqual(buffer.takeReady(createBatch(7, 4)), []);
  assert.equal(buffer.getCounts().dropped, 1);
});

test('a token serves its client account alone, until it expires, under each secret in force', () => {
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

test('no changed token is accepted', () => {
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
        // The last letter of base64url carries bits that no byte uses.
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

test('an answer goes on at another node after the first one has died', async () => {
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
      onEnd: () => assert.fail('the first node is dead by then'),
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

test('when the engine is gone too, the caller is told what to do', async () => {
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
  assert.match(unlisted.failure?.message ?? '', /engine-0 is gone/);
});

test('a resumed answer that breaks off is asked for again, a few times and no more', () => {
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
