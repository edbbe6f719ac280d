/** Folding is deterministic over duplicate, late, malformed and unknown records. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {LogRecord} from '../../src/control_services';
import {
  createStreamFold,
  decodeEnvelope,
  encodeEnvelope,
  type FoldSnapshot,
} from '../../src/state';
import {type TallyState, tallyStream} from '../support/tally_stream';

const SEED = 41;

const envelopeArbitrary = fc.record({
  writer: fc.constantFrom('a', 'b', 'c'),
  sequence: fc.integer({min: 1, max: 6}),
  version: fc.constantFrom(1, 1, 1, 2),
  entries: fc.array(
    fc.oneof(
      fc.string({maxLength: 3}).map(text => ({kind: 'add', text})),
      fc.constant({kind: 'from-a-newer-program', x: 1}),
      fc.jsonValue({maxDepth: 1}),
    ),
    {maxLength: 3},
  ),
});

const bodyArbitrary = fc.oneof(
  {weight: 8, arbitrary: envelopeArbitrary.map(encodeEnvelope)},
  {weight: 1, arbitrary: fc.string({maxLength: 8})},
  {weight: 1, arbitrary: fc.json({maxDepth: 2})},
);

function createRecords(bodies: readonly string[]): LogRecord[] {
  return bodies.map((body, offset) => ({offset, appendedAtMs: offset, body}));
}

/** Reference implementation: the texts that the fold must hold after the records. */
function getExpectedTexts(records: readonly LogRecord[]): string[] {
  const last: Record<string, number> = {};
  const texts: string[] = [];
  for (const {body} of records) {
    const decoded = decodeEnvelope(body);
    if (decoded.kind !== 'envelope') continue;
    const {writer, sequence, entries} = decoded.envelope;
    if (sequence <= (last[writer] ?? 0)) continue;
    last[writer] = sequence;
    for (const value of entries) {
      const entry = tallyStream.tryParseEntry(value);
      if (entry !== undefined) texts.push(entry.text);
    }
  }
  return texts;
}

test('folds of the whole log, of overlapping pages and from a snapshot agree', () => {
  fc.assert(
    fc.property(
      fc.array(bodyArbitrary, {maxLength: 40}),
      fc.nat({max: 40}),
      fc.integer({min: 1, max: 7}),
      (bodies, cut, pageSize) => {
        const records = createRecords(bodies);
        const whole = createStreamFold(tallyStream);
        for (const record of records) whole.applyRecord(record);

        const paged = createStreamFold(tallyStream);
        for (let start = 0; start < records.length; start += pageSize) {
          const page = records.slice(Math.max(0, start - 3), start + pageSize);
          for (const record of page) paged.applyRecord(record);
        }

        const peer = createStreamFold(tallyStream);
        for (const record of records.slice(0, cut)) peer.applyRecord(record);
        const copy = JSON.stringify(peer.exportSnapshot());
        const joined = createStreamFold(tallyStream);
        joined.importSnapshot(JSON.parse(copy) as FoldSnapshot);
        for (const record of records) joined.applyRecord(record);

        const expected = whole.exportSnapshot();
        assert.deepEqual(
          (expected.state as TallyState).texts,
          getExpectedTexts(records),
        );
        assert.deepEqual(paged.exportSnapshot(), expected);
        assert.deepEqual(joined.exportSnapshot(), expected);
        const counts = whole.getCounts();
        assert.equal(
          counts.applied +
            counts.duplicates +
            counts.malformed +
            counts.unknownVersion,
          records.length,
        );
      },
    ),
    {seed: SEED, numRuns: 400},
  );
});

test('an envelope survives encoding and decoding, and the decoder never throws', () => {
  fc.assert(
    fc.property(envelopeArbitrary, fc.string(), (envelope, text) => {
      const decoded = decodeEnvelope(encodeEnvelope(envelope));
      if (envelope.version === 1) {
        const entries: unknown = JSON.parse(JSON.stringify(envelope.entries));
        assert.deepEqual(decoded, {
          kind: 'envelope',
          envelope: {...envelope, entries},
        });
      } else {
        assert.equal(decoded.kind, 'unknown-version');
      }
      assert.notEqual(decodeEnvelope(text).kind, undefined);
    }),
    {seed: SEED, numRuns: 300},
  );
});

test('records and entries of a newer program are skipped and the others applied', () => {
  const fold = createStreamFold(tallyStream);
  const bodies = [
    encodeEnvelope({version: 2, writer: 'new', sequence: 1, entries: [{}]}),
    encodeEnvelope({
      version: 1,
      writer: 'new',
      sequence: 2,
      entries: [{kind: 'newer'}, {kind: 'add', text: 'known'}],
    }),
  ];
  for (const record of createRecords(bodies)) fold.applyRecord(record);
  assert.deepEqual(fold.getState().texts, ['known']);
  assert.equal(fold.getCounts().unknownVersion, 1);
  assert.equal(fold.getCounts().unknownEntries, 1);
});
