/** A dispatcher that records the requests it is given in a demand meter. */
import type {Dispatcher} from '../routing';
import type {DemandMeter} from './demand_meter';

/** Wraps a dispatcher so that each request is recorded when it is submitted and when it ends. */
export function createMeteredDispatcher(
  dispatcher: Dispatcher,
  meter: DemandMeter,
): Dispatcher {
  return {
    ...dispatcher,
    submit: (request, sink) => {
      const {promptTokens, maxTokens} = request;
      meter.recordAdmitted({promptTokens, maxTokens});
      return dispatcher.submit(request, {
        ...sink,
        onEnd: end => {
          const {cachedTokens, generatedTokens} = end;
          meter.recordEnded({
            promptTokens,
            maxTokens,
            cachedTokens,
            generatedTokens,
          });
          sink.onEnd(end);
        },
      });
    },
  };
}
