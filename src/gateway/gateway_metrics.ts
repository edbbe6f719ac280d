/** Metrics of a gateway process. */
import {createMetrics} from '../diagnostics/metrics';
import type {Route} from './types';

/** Metrics that requests record. */
export interface GatewayMetrics {
  /** Records the end of a request. */
  recordEnd(route: Route, outcome: string, elapsedMs: number): void;
  /** Records a request sent to a server after the first. */
  recordRetry(service: string, reason: string): void;
  /** Records predicted and observed times of reading a prompt. */
  recordPrefill(predictedMs: number, observedMs: number): void;
  /** Adds a value that is read when the metrics are written out. */
  addGauge(name: string, help: string, read: () => number): void;
  render(): string;
}

/** Creates the metrics. */
export function createGatewayMetrics(): GatewayMetrics {
  const metrics = createMetrics();
  const requests = metrics.addCounter({
    name: 'anvilstack_gateway_requests_total',
    help: 'Requests by kind, rank of the route and outcome.',
  });
  const durations = metrics.addDistribution({
    name: 'anvilstack_gateway_request_ms',
    help: 'Time from reading a request to the end of its answer.',
  });
  const retries = metrics.addCounter({
    name: 'anvilstack_gateway_retries_total',
    help: 'Requests sent to a further server, by service and cause.',
  });
  const prefills = metrics.addDistribution({
    name: 'anvilstack_gateway_prefill_ms',
    help: 'Predicted and observed time of reading a prompt, wait included.',
  });
  return {
    recordEnd: (route, outcome, elapsedMs) => {
      requests.add(1, {kind: route.kind, rank: String(route.rank), outcome});
      durations.record(elapsedMs, {kind: route.kind, rank: String(route.rank)});
    },
    recordRetry: (service, reason) => retries.add(1, {service, reason}),
    recordPrefill: (predictedMs, observedMs) => {
      prefills.record(predictedMs, {value: 'predicted'});
      prefills.record(observedMs, {value: 'observed'});
    },
    addGauge: (name, help, read) => metrics.addGauge({name, help, read}),
    render: metrics.render,
  };
}
