/** Compares engine reports with orders. */
import {type EngineOrder, type EngineReport, EngineState} from '../backends';
import {assertNever} from '../runtime';

/** Returns whether the engine reports the ordered state. */
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

/** Returns whether the engine is still changing its role or loading weights. */
export function isChanging(report: EngineReport): boolean {
  return (
    report.state === EngineState.ChangingRole ||
    report.state === EngineState.Loading
  );
}

/** Returns the model or adapter whose weights must be at the engine before the order, if any. */
export function tryGetRequiredWeights(order: EngineOrder): string | undefined {
  if (order.kind === 'load-model') return order.model;
  if (order.kind === 'load-adapter') return order.adapter;
  return undefined;
}
