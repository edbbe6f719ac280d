/** Sends the orders of one plan under one grant. */
import type {Result} from 'ts-results';
import type {DutyCaller, DutyFailure, Grant} from '../duties';
import type {ServerOrder} from './types';

/** Sends one order; the holder and its fencing number are named with it. */
export type SendServerOrder = (
  order: ServerOrder,
  caller: DutyCaller,
) => Promise<Result<void, DutyFailure>>;

/** How an order ended; `lapsed` means that it was not sent, since the grant was no longer valid. */
export type OrderOutcome =
  'ordered' | 'unknown' | 'lapsed' | Exclude<DutyFailure['kind'], 'expired'>;

/** Options of `sendOrders`. */
export interface SendOrdersOptions {
  readonly holder: string;
  readonly grant: Grant;
  readonly send: SendServerOrder;
  readonly onOutcome: (
    order: ServerOrder,
    outcome: OrderOutcome,
    message: string,
  ) => void;
}

/** Outcomes after which no further order is sent under the grant. */
const FINAL_OUTCOMES: ReadonlySet<OrderOutcome> = new Set([
  'fenced',
  'limited',
  'unavailable',
  'unknown',
  'lapsed',
]);

/** Sends orders one after another in each failure domain, and to the failure domains at the same time: a call of several seconds would outlast the grant. */
export async function sendOrders(
  orders: readonly ServerOrder[],
  options: SendOrdersOptions,
): Promise<void> {
  let isStopped = false;
  const domains = new Set(orders.map(order => order.failureDomain));
  await Promise.all(
    [...domains].map(async domain => {
      for (const order of orders) {
        if (order.failureDomain !== domain || isStopped) continue;
        if (FINAL_OUTCOMES.has(await sendOrder(order))) isStopped = true;
      }
    }),
  );

  async function sendOrder(order: ServerOrder): Promise<OrderOutcome> {
    const {grant, holder, onOutcome} = options;
    if (!grant.isValid()) {
      onOutcome(order, 'lapsed', 'the grant has expired');
      return 'lapsed';
    }
    const {fencingNumber, isValid} = grant;
    const caller = {holder, fencingNumber, isValid};
    const sent = await options.send(order, caller);
    if (sent.ok) {
      onOutcome(order, 'ordered', '');
      return 'ordered';
    }
    const {kind, mayHaveTakenEffect, message} = sent.val;
    const outcome = getOutcome(kind, mayHaveTakenEffect);
    onOutcome(order, outcome, message);
    return outcome;
  }
}

function getOutcome(
  kind: DutyFailure['kind'],
  mayHaveTakenEffect: boolean,
): OrderOutcome {
  if (kind === 'expired') return 'lapsed';
  return kind === 'unavailable' && mayHaveTakenEffect ? 'unknown' : kind;
}
