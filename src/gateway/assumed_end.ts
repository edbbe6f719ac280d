/** Records the speed of an engine from a prefill of another node that ended at its predicted time. */
import type {ServerCapacities} from '../capacity';
import type {FlowContext} from './flow_context';
import type {PrefillJob} from './prefill_queues';

/** Shortest prefill whose end as predicted is a sample of the engine's speed, in milliseconds: the tolerance of 50 ms is a fifth of it. */
const MIN_CONFIRMING_MS = 250;

/** Records the factor of the prediction, which is a sample as the prefill ended as predicted. */
export function recordAssumedEnd(
  context: Pick<FlowContext, 'state' | 'speeds'> & {
    readonly capacities: Pick<ServerCapacities, 'recordSample'>;
  },
  {serverId, endsInMs = 0, factor}: PrefillJob,
): void {
  const server = context.state.tryGetUsable(serverId);
  if (server === undefined || endsInMs < MIN_CONFIRMING_MS) return;
  const ratio = factor ?? context.speeds.getEngineFactor(server.service);
  context.capacities.recordSample(server, {ratio, load: 0});
}
