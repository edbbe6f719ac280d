/** Metrics of a gateway process. */
import {createMetrics} from '../diagnostics/metrics';
import type {GaugeSpec} from '../diagnostics/metrics_types';
import {MAX_SHARES} from '../shares';
import type {Route} from './types';

/** Records the metrics of requests. */
export interface GatewayMetrics {
  /** Records the end of a request. */
  recordEnd(route: Route, outcome: string, elapsedMs: number): void;
  /** Records that a request was sent to a server again after its first attempt. */
  recordRetry(service: string, reason: string): void;
  /** Records the predicted and the observed time of a prefill, including its wait, in milliseconds. */
  recordPrefill(predictedMs: number, observedMs: number): void;
  /** Records a request to a server that has stated a limit. */
  recordLimitedSend(serverId: string): void;
  /** Records that young streams of this node broke off together with the connections to an engine. */
  recordCrash(): void;
  /** Records a request that was refused because of a part of its prompt. */
  recordQuarantined(): void;
  /** Records how an order of servers ended. */
  recordServerOrder(outcome: string): void;
  /** Records an answer with an invalid status line, or with a body where there is none. */
  recordInvalidAnswer(service: string): void;
  /** Records whether a request was admitted, with or without a client account, or why not. */
  recordAuthentication(outcome: string): void;
  /** Records what became of a usage window at this node. */
  recordUsageWindow(outcome: string): void;
  /** Records a request whose body was refused because the process held too much. */
  recordBodyRefused(): void;
  /** Records a caller that was ended because it did not take its answer. */
  recordUnreadAnswer(reason: string): void;
  /** Records that the store lost its newest records. */
  recordEraRise(): void;
  /** Records that an engine whose answer is late was asked for its report. */
  recordLivenessCheck(outcome: string): void;
  /** Records that the learned speed or capacity of a server has changed. */
  recordCapacityChange(service: string): void;
  /** Records a prompt that its account's share does not cover; `account` is given when it was refused. */
  recordOverShare(
    outcome: 'exceeded' | 'refused',
    source: string,
    account?: string,
  ): void;
  /** Records the return of a caller that this node refused. */
  recordReturn(outcome: 'as-told' | 'early'): void;
  /** Adds a gauge whose value is read when the metrics are rendered. */
  addGauge(name: string, help: string, read: GaugeSpec['read']): void;
  render(): string;
}

/** Label of the accounts beyond those that have their own. */
const OTHER_ACCOUNTS = '(others)';

/** Creates the metrics. */
export function createGatewayMetrics(): GatewayMetrics {
  const metrics = createMetrics();
  const requests = metrics.addCounter({
    name: 'anvilstack_gateway_requests_total',
    help: 'Requests by kind, route rank and outcome.',
  });
  const durations = metrics.addDistribution({
    name: 'anvilstack_gateway_request_ms',
    help: 'Time from receiving a request to the end of its response.',
  });
  const retries = metrics.addCounter({
    name: 'anvilstack_gateway_retries_total',
    help: 'Requests sent again, by service and reason.',
  });
  const prefills = metrics.addDistribution({
    name: 'anvilstack_gateway_prefill_ms',
    help: 'Predicted and observed time of reading a prompt, including its wait.',
  });
  const limitedSends = metrics.addCounter({
    name: 'anvilstack_gateway_limited_server_requests_total',
    help: 'Requests of this node to servers while they state a limit, by server.',
  });
  const crashes = metrics.addCounter({
    name: 'anvilstack_gateway_crashes_total',
    help: 'Times that an engine broke off young streams of this node.',
  });
  const quarantined = metrics.addCounter({
    name: 'anvilstack_gateway_quarantined_requests_total',
    help: 'Requests refused because a part of their prompt crashes engines.',
  });
  const serverOrders = metrics.addCounter({
    name: 'anvilstack_gateway_server_orders_total',
    help: 'Orders of servers by outcome.',
  });
  const invalidAnswers = metrics.addCounter({
    name: 'anvilstack_gateway_invalid_answers_total',
    help: 'Answers of backend servers that are none in the protocol, by service.',
  });
  const authentications = metrics.addCounter({
    name: 'anvilstack_gateway_authentications_total',
    help: 'Requests by the outcome of their authentication: admitted for an account or without one, or the reason of the refusal.',
  });
  const usageWindows = metrics.addCounter({
    name: 'anvilstack_gateway_usage_windows_total',
    help: 'Usage windows that this node reported, repeated, missed or skipped, by outcome.',
  });
  const eraRises = metrics.addCounter({
    name: 'anvilstack_gateway_store_era_rises_total',
    help: 'Times that the store lost its newest records.',
  });
  const livenessChecks = metrics.addCounter({
    name: 'anvilstack_gateway_liveness_checks_total',
    help: 'Checks of engines whose answer is late, by outcome.',
  });
  const capacityChanges = metrics.addCounter({
    name: 'anvilstack_gateway_server_capacity_changes_total',
    help: 'Changes of the learned speed of a server by more than a fifth, by service.',
  });
  const refusedBodies = metrics.addCounter({
    name: 'anvilstack_gateway_refused_bodies_total',
    help: 'Requests whose body was refused because this node held too many bytes of bodies.',
  });
  const unreadAnswers = metrics.addCounter({
    name: 'anvilstack_gateway_unread_answers_total',
    help: 'Callers that were ended because they did not take their answer, by reason.',
  });
  const overShare = metrics.addCounter({
    name: 'anvilstack_gateway_over_share_prompts_total',
    help: 'Prompts that exceeded the share of their account, and those of them that were refused, by what the share was computed from.',
  });
  const shareRefusals = metrics.addCounter({
    name: 'anvilstack_gateway_account_share_refusals_total',
    help: 'Prompts refused because their account exceeds its share, by account; accounts after the first 16 are one.',
  });
  const returns = metrics.addCounter({
    name: 'anvilstack_gateway_returned_callers_total',
    help: 'Callers that were refused at this node and sent their prompt again, by whether they waited as told.',
  });
  const labelledAccounts = new Set<string>();
  return {
    recordBodyRefused: () => refusedBodies.add(1, {}),
    recordUnreadAnswer: reason => unreadAnswers.add(1, {reason}),
    recordEraRise: () => eraRises.add(1, {}),
    recordEnd: (route, outcome, elapsedMs) => {
      requests.add(1, {kind: route.kind, rank: String(route.rank), outcome});
      durations.record(elapsedMs, {kind: route.kind, rank: String(route.rank)});
    },
    recordRetry: (service, reason) => retries.add(1, {service, reason}),
    recordPrefill: (predictedMs, observedMs) => {
      prefills.record(predictedMs, {value: 'predicted'});
      prefills.record(observedMs, {value: 'observed'});
    },
    recordLimitedSend: serverId => limitedSends.add(1, {serverId}),
    recordCrash: () => crashes.add(1, {}),
    recordQuarantined: () => quarantined.add(1, {}),
    recordServerOrder: outcome => serverOrders.add(1, {outcome}),
    recordInvalidAnswer: service => invalidAnswers.add(1, {service}),
    recordAuthentication: outcome => authentications.add(1, {outcome}),
    recordUsageWindow: outcome => usageWindows.add(1, {outcome}),
    recordLivenessCheck: outcome => livenessChecks.add(1, {outcome}),
    recordCapacityChange: service => capacityChanges.add(1, {service}),
    recordOverShare: (outcome, source, account) => {
      overShare.add(1, {outcome, source});
      if (account === undefined) return;
      if (labelledAccounts.size < MAX_SHARES) labelledAccounts.add(account);
      shareRefusals.add(1, {
        account: labelledAccounts.has(account) ? account : OTHER_ACCOUNTS,
      });
    },
    recordReturn: outcome => returns.add(1, {outcome}),
    addGauge: (name, help, read) => metrics.addGauge({name, help, read}),
    render: metrics.render,
  };
}
