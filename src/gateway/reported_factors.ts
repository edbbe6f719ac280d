/** Records the speeds of engines that other nodes report to a planning node. */
import {isToldFactor, MAX_TOLD_SERVERS} from '../capacity';
import type {FlowContext} from './flow_context';

/** Records each reported factor as a sample of the engine, if it is listed and has not restarted. */
export function recordReportedFactors(
  {state, capacities}: Pick<FlowContext, 'state' | 'capacities'>,
  factors: unknown,
): void {
  if (!Array.isArray(factors)) return;
  for (const item of factors.slice(0, MAX_TOLD_SERVERS)) {
    if (!isToldFactor(item)) continue;
    const [id, startedAtMs, ratio] = item;
    const server = state.tryGetUsable(id);
    if (server?.startedAtMs !== startedAtMs) continue;
    capacities.recordSample(server, {ratio, load: 0});
  }
}
