/** Encodes envelopes as the log's record bodies and decodes them. */
import {z} from 'zod';
import {ENVELOPE_VERSION, type Envelope} from './types';

/** Keys are single letters to keep records small: the initials of the envelope's fields. */
const wireSchema = z.object({
  v: z.number().int(),
  w: z.string().min(1),
  s: z.number().int().positive(),
  e: z.array(z.unknown()),
});

/** The result of decoding a record body. */
export type DecodeResult =
  | {readonly kind: 'envelope'; readonly envelope: Envelope}
  | {readonly kind: 'unknown-version'}
  | {readonly kind: 'malformed'};

/** Returns the record body of an envelope. */
export function encodeEnvelope(envelope: Envelope): string {
  return JSON.stringify({
    v: envelope.version,
    w: envelope.writer,
    s: envelope.sequence,
    e: envelope.entries,
  });
}

/** Decodes a record body. Never throws. */
export function decodeEnvelope(body: string): DecodeResult {
  const value = tryParseJson(body);
  const parsed = wireSchema.safeParse(value);
  if (!parsed.success) return {kind: 'malformed'};
  const wire = parsed.data;
  if (wire.v !== ENVELOPE_VERSION) return {kind: 'unknown-version'};
  return {
    kind: 'envelope',
    envelope: {
      version: wire.v,
      writer: wire.w,
      sequence: wire.s,
      entries: wire.e,
    },
  };
}

function tryParseJson(body: string): unknown {
  try {
    return JSON.parse(body) as unknown;
  } catch {
    return undefined;
  }
}
