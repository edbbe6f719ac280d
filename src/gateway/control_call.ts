/** Sends the gateway's own requests to backend servers and collects their short responses. */
import type {Connections} from './connections';
import {createBoundedBody} from './bounded_body';
import type {Clock, Timer} from '../runtime/types';
import type {BackendEntry, ControlCall} from './types';

/** The response to a control call. */
export interface ControlResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** Sends a call; resolves to undefined when it fails, times out or its response is too long. */
export function sendControlCall(
  connections: Pick<Connections, 'call'>,
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
        // Bodies that are read are JSON, which does not parse when it is cut short.
        needsProof: () => false,
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
