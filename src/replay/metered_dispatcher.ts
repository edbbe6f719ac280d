/** Measures what a dispatcher is given and what ends. */
import type {DemandMeter} from '../planning';
import type {Dispatcher} from '../routing';

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
