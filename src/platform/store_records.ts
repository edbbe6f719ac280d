/** Records of the store as its calls carry them. */
import {Ok, type Result} from 'ts-results';
import type {StoreFailure} from '../gateway';
import {createMalformedError} from './store_failures';

/** One record of a keyed topic, of which the store keeps the newest record of each key readable. */
export interface KeyedRecord {
  readonly key: string;
  /** Undefined when the record is a tombstone, which deletes its key. */
  readonly value?: string;
}

/** Records read from a topic. */
export interface RecordPage {
  readonly records: readonly Buffer[];
  /** Offset that the next appended record gets. */
  readonly endOffset: number;
  /** Offset from which the next read continues. */
  readonly nextOffset: number;
  /** Era to which the offsets belong. */
  readonly era: number;
}

const MAX_KEY_BYTES = 255;
const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;

/** Encodes a record of a keyed topic: one byte of key length, the key (at most 255 bytes), the value. An empty value deletes the key. */
export function encodeKeyedRecord(key: string, value: string): Buffer {
  const keyBytes = Buffer.from(key).subarray(0, MAX_KEY_BYTES);
  return Buffer.concat([
    Buffer.from([keyBytes.length]),
    keyBytes,
    Buffer.from(value),
  ]);
}

/** Decodes a record of a keyed topic; returns undefined when its key is empty or cut off. */
export function tryDecodeKeyedRecord(record: Buffer): KeyedRecord | undefined {
  const keyEnd = 1 + (record[0] ?? 0);
  if (record.length < keyEnd || keyEnd === 1) return undefined;
  const key = record.toString('utf8', 1, keyEnd);
  if (record.length === keyEnd) return {key};
  return {key, value: record.toString('utf8', keyEnd)};
}

/** Prefixes a record with its length, as the body of an append has it. */
export function encodeRecord(content: Buffer): Buffer {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

/**
 * Decodes the body of a read: the end offset, the first retained offset, then
 * the records, each after its length. A record that is cut off is left out.
 */
export function decodePage(
  body: Buffer,
  fromOffset: number,
  era: number,
): Result<RecordPage, StoreFailure> {
  if (body.length < 2 * OFFSET_BYTES) return createMalformedError('read');
  const endOffset = Number(body.readBigUInt64BE(0));
  const records: Buffer[] = [];
  let position = 2 * OFFSET_BYTES;
  while (position + LENGTH_BYTES <= body.length) {
    const start = position + LENGTH_BYTES;
    const end = start + body.readUInt32BE(position);
    if (end > body.length) break;
    records.push(body.subarray(start, end));
    position = end;
  }
  return Ok({
    records,
    endOffset,
    nextOffset: fromOffset + records.length,
    era,
  });
}
