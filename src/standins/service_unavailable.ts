/** How a stand-in for one of the platform's services says that it is down. */
import type {Result} from 'ts-results';
import {type PlatformFailure, PlatformFailureKind} from '../control_services';

/** Returns the failure of a service that takes no calls. */
export function createUnavailable(): PlatformFailure {
  return {
    kind: PlatformFailureKind.Unavailable,
    mayHaveTakenEffect: false,
    message: 'the service is down',
  };
}

/** Returns the value as an HTTP answer, or status 503. */
export function createAnswer(
  result: Result<unknown, PlatformFailure>,
): Response {
  if (result.err) return new Response('', {status: 503});
  return Response.json(result.val);
}
