/** Failures of calls to the store. */
import {Err} from 'ts-results';
import type {StoreFailure} from '../gateway';
import {
  type Fields,
  tryGetFields,
  tryGetNumber,
  tryParseJson,
} from './wire_decode';

/** Maps the status of an answer to a failure. */
export function mapStatus(status: number, body: Buffer): StoreFailure {
  const message = `status ${status}: ${body.toString('utf8', 0, 200)}`;
  switch (status) {
    case 410:
      return {
        kind: 'expired',
        mayHaveTakenEffect: false,
        message,
        firstOffset: tryGetNumber(parseFields(body)['first']) ?? 0,
      };
    case 409:
    case 412:
      return {kind: 'conflict', mayHaveTakenEffect: false, message};
    default:
      return {
        kind: 'unavailable',
        // With these statuses the store refused the call without executing it.
        mayHaveTakenEffect: status !== 429 && status !== 503 && status !== 507,
        message,
      };
  }
}

/** Parses the body of an answer; the result has no fields when it is not an object. */
export function parseFields(body: Buffer): Fields {
  return tryParseFields(body) ?? {};
}

/** Parses the body of an answer; returns undefined when it is not an object. */
export function tryParseFields(body: Buffer): Fields | undefined {
  return tryGetFields(tryParseJson(body.toString('utf8')));
}

/** Creates the failure of a call whose offset belongs to another era than the answer. */
export function createEraConflict(
  mayHaveTakenEffect: boolean,
): Err<StoreFailure> {
  return Err({
    kind: 'conflict',
    mayHaveTakenEffect,
    message: 'the store is in another era than the offset',
  });
}

/** Creates the failure of a read from an offset of an earlier era, whose number may stand for another record now. */
export function createExpiredOffset(fromOffset: number): Err<StoreFailure> {
  return Err({
    kind: 'expired',
    mayHaveTakenEffect: false,
    message: `offset ${fromOffset} belongs to an earlier era`,
    firstOffset: 0,
  });
}

/** Creates the failure of a call whose answer has a lower era than the highest known one. */
export function createStaleError(
  mayHaveTakenEffect: boolean,
): Err<StoreFailure> {
  return Err({
    kind: 'unavailable',
    mayHaveTakenEffect,
    message: 'stale answer: its era is lower than a known one',
  });
}

/** Creates the failure of a call whose answer cannot be read. */
export function createMalformedError(call: string): Err<StoreFailure> {
  return Err({
    kind: 'malformed',
    mayHaveTakenEffect: true,
    message: `malformed response to ${call}`,
  });
}
