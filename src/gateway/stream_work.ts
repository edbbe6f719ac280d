/** Predicts the time that a model request takes. */
import type {FlowContext} from './flow_context';
import type {PrefillPlacement} from './placement';
import type {EngineLimits, ModelRequest, Route} from './types';

/** Time to the first event besides prefill and KV transfer, in milliseconds: network hops and the first decode step. */
export const FIRST_EVENT_OVERHEAD_MS = 15;

/** Inputs to the prediction of a request's engine time. */
export interface EngineWorkInput {
  readonly service: string;
  readonly route: Pick<Route, 'name'>;
  readonly engine: EngineLimits;
  readonly model: ModelRequest;
  /** Undefined when all engines are full. */
  readonly placement: PrefillPlacement | undefined;
}

/** Predicts the time from sending a prompt to its first event, in milliseconds. */
export function predictFirstEventMs(
  placement: PrefillPlacement | undefined,
): number {
  return (placement?.prefillMs ?? 0) + FIRST_EVENT_OVERHEAD_MS;
}

/** Predicts the engine time of a request, in milliseconds: its prefill, and its part of a decode engine. */
export function predictEngineMs(
  {speeds}: Pick<FlowContext, 'speeds'>,
  {service, route, engine, model, placement}: EngineWorkInput,
): number {
  const prefillMs =
    placement?.prefillMs ??
    speeds.predictPrefillMs(service, model.promptTokens, 0);
  const slotMs = speeds.predictRunMs(service, route.name);
  return prefillMs + slotMs / Math.max(1, engine.maxRunning);
}
