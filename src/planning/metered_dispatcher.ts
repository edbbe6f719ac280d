/** Measures what a dispatcher is given and what ends. */
import type {Dispatcher} from '../routing';
import type {DemandMeter} from './demand_meter';

/** Puts a meter before a dispatcher. */
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
