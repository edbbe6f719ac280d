/** Answers of the stand-ins for the platform's services, and their failure while they are down. */
import type {Result} from 'ts-results';
import {type PlatformFailure, PlatformFailureKind} from '../control_services';

/** Returns the failure of a call to a service that is down. */
export function createUnavailable(): PlatformFailure {
  return {
    kind: PlatformFailureKind.Unavailable,
    mayHaveTakenEffect: false,
    message: 'the service is unavailable',
  };
}

/** Returns the value as an HTTP answer, or status 503. */
export function createAnswer(
  result: Result<unknown, PlatformFailure>,
): Response {
  if (result.err) return new Response('', {status: 503});
  return Response.json(result.val);
}
