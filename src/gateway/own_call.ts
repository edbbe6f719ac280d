/** Calls of the gateway's own to backend servers, with short answers. */
import type {Connections} from './connections';
import type {Clock, Timer} from '../runtime/types';
import type {BackendEntry, OwnCall} from './types';

/** An answer to a call of the gateway's own. */
export interface OwnAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** Sends a call; resolves to undefined when there is no answer in time. */
export function sendOwnCall(
  connections: Connections,
  clock: Clock,
  server: BackendEntry,
  call: OwnCall,
  timeoutMs: number,
): Promise<OwnAnswer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let status = 0;
    let timer: Timer | undefined = undefined;
    const opened = connections.call({
      server,
      ...call,
      handler: {
        onAnswer: answerStatus => {
          status = answerStatus;
        },
        onData: chunk => chunks.push(chunk),
        onEnd: () => settle({status, body: Buffer.concat(chunks)}),
        onFailure: () => settle(undefined),
      },
    });
    timer = clock.schedule(timeoutMs, () => {
      opened.cancel();
      settle(undefined);
    });

    function settle(answer: OwnAnswer | undefined): void {
      timer?.cancel();
      resolve(answer);
    }
  });
}
