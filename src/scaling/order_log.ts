/** Writes the log line of an order. */
import type {Logger} from '../diagnostics/log';
import type {OrderOutcome} from './send_orders';
import {
  computeOrderedPrice,
  type ServicePlan,
  type ServiceView,
} from './service_scaler';
import type {DomainState, ServerOrder} from './types';

/** An order that has ended, and what it was planned with. */
export interface OrderRecord {
  readonly order: ServerOrder;
  readonly outcome: OrderOutcome;
  /** Message of a failure; empty without one. */
  readonly detail: string;
  readonly view: ServiceView;
  readonly plan: ServicePlan;
  readonly fencingNumber: number;
}

/** Logs an order with the inputs of its plan and how it ended. */
export function logServerOrder(logger: Logger, record: OrderRecord): void {
  const {order, outcome, detail, view, plan, fencingNumber} = record;
  const {load, limits} = view;
  const domain = plan.domains.find(
    item => item.failureDomain === order.failureDomain,
  );
  const kind = order.isReclaimable ? domain?.reclaimable : domain?.ordinary;
  logger.log(outcome === 'ordered' ? 'info' : 'warn', 'servers ordered', {
    ...order,
    outcome,
    ...(detail === '' ? {} : {detail}),
    fencingNumber,
    previous: kind?.desired,
    isRepeated: kind?.desired === order.count,
    demand:
      load === undefined
        ? 'unknown'
        : {prefill: load.prefillEngines, decode: load.decodeEngines},
    need: plan.need ?? 'unknown',
    minAfterLoss: plan.minAfterLoss,
    wanted: domain?.wanted,
    ready: {
      ordinary: domain?.ordinary.ready,
      reclaimable: domain?.reclaimable.ready,
    },
    declined: listDeclined(plan.domains),
    pricePerS: computeOrderedPrice(limits, plan.domains),
  });
}

/** Lists the kinds that the platform cannot give at the moment. */
function listDeclined(domains: readonly DomainState[]): string[] {
  return domains.flatMap(({failureDomain, ordinary, reclaimable}) => [
    ...(Number.isFinite(ordinary.available)
      ? [`${failureDomain}: no ordinary servers`]
      : []),
    ...(Number.isFinite(reclaimable.available)
      ? [`${failureDomain}: no reclaimable servers`]
      : []),
  ]);
}
