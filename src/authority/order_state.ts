/** Tells whether an engine's report shows what an order chose. */
import {type EngineOrder, type EngineReport, EngineState} from '../backends';
import {assertNever} from '../runtime';

/** True when the engine reports the state that the order chose. */
export function isOrderApplied(
  report: EngineReport,
  order: EngineOrder,
): boolean {
  switch (order.kind) {
    case 'set-role':
      return (
        report.role === order.role && report.state !== EngineState.ChangingRole
      );
    case 'load-model':
      return report.models.includes(order.model);
    case 'unload-model':
      return !report.models.includes(order.model);
    case 'load-adapter':
      return report.adapters.includes(order.adapter);
    case 'set-version':
      return (
        report.version === order.version && report.state !== EngineState.Loading
      );
    case 'set-draining':
      return (report.state === EngineState.Draining) === order.isDraining;
    default:
      return assertNever(order);
  }
}

/** True while the engine is still carrying out an order. */
export function isChanging(report: EngineReport): boolean {
  return (
    report.state === EngineState.ChangingRole ||
    report.state === EngineState.Loading
  );
}

/** Returns the name of the weights that an order needs at the engine. */
export function tryGetRequiredWeights(order: EngineOrder): string | undefined {
  if (order.kind === 'load-model') return order.model;
  if (order.kind === 'load-adapter') return order.adapter;
  return undefined;
}
