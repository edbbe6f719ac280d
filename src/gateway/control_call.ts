/** Calls of the gateway's own to backend servers, with short answers. */
import type {Connections} from './connections';
import {createBoundedBody} from './bounded_body';
import type {Clock, Timer} from '../runtime/types';
import type {BackendEntry, ControlCall} from './types';

/** An answer to a call of the gateway's own. */
export interface ControlResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** Sends a call; resolves to undefined when there is no answer in time. */
export function sendControlCall(
  connections: Connections,
  clock: Clock,
  server: BackendEntry,
  call: ControlCall,
  timeoutMs: number,
): Promise<ControlResponse | undefined> {
  return new Promise(resolve => {
    const body = createBoundedBody();
    let status = 0;
    let timer: Timer | undefined = undefined;
    const openCall = connections.call({
      server,
      ...call,
      handler: {
        onAnswer: answerStatus => {
          status = answerStatus;
        },
        onData: chunk => {
          if (!body.add(chunk)) cancelCall();
        },
        onEnd: () => settle({status, body: body.read()}),
        onFailure: () => settle(undefined),
      },
    });
    timer = clock.schedule(timeoutMs, cancelCall);

    function cancelCall(): void {
      openCall.cancel();
      settle(undefined);
    }

    function settle(answer: ControlResponse | undefined): void {
      timer?.cancel();
      resolve(answer);
    }
  });
}
