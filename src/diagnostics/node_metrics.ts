/** The metrics of a node. */
import {createMetrics} from './metrics';
import type {Labels, Metrics} from './metrics_types';

/** Measurements of a request that has ended. Holds no prompt, response or key of a caller. */
export interface RequestSample {
  readonly kind: 'model' | 'service';
  readonly urgent: boolean;
  /** Name of the request class. */
  readonly className: string;
  readonly isInDeadline: boolean;
  /** Time from arrival to the end of the response, in milliseconds. */
  readonly durationMs: number;
  readonly firstTokenMs?: number;
  readonly betweenTokensMs?: number;
  readonly promptTokens: number;
  readonly generatedTokens: number;
  /** Undefined when the request was answered. */
  readonly failure?: {readonly kind: string; readonly verdict: string};
}

/** Callbacks that read values of other components each time the metrics are rendered. */
export interface NodeMetricsOptions {
  /** Returns the number of requests that wait for a backend server. */
  readonly getQueueLength?: () => number;
  /** Returns the number of open requests. */
  readonly getOpenRequests?: () => number;
  /** Returns the number of appends sent to the log by stream, including retries. */
  readonly listAppends?: () => ReadonlyArray<{
    readonly stream: string;
    readonly count: number;
  }>;
  /** Returns the bytes received and sent on the connections of each listener. */
  readonly listBytes?: () => ReadonlyArray<{
    readonly listener: string;
    readonly received: number;
    readonly sent: number;
  }>;
}

/** The metrics of a node. */
export interface NodeMetrics {
  /** Registry to which other components add their metrics. */
  readonly metrics: Metrics;
  recordRequest(sample: RequestSample): void;
  /** Counts a claim by its result, such as `granted` or `answered`. */
  recordClaim(result: string): void;
  recordRoleChange(kind: string): void;
  recordError(kind: string): void;
  /** Runs a synchronous step of the control plane and adds its CPU time to the metric of the component. */
  runControlStep<T>(component: string, step: () => T): T;
  /** Renders all metrics in the Prometheus text format. */
  render(): string;
}

const MS_PER_S = 1_000;
const US_PER_S = 1_000_000;

/** Creates the metrics of a node. */
export function createNodeMetrics(
  options: NodeMetricsOptions = {},
): NodeMetrics {
  const metrics = createMetrics();
  const requests = metrics.addCounter({
    name: 'anvilstack_requests_total',
    help: 'Requests that have ended, by outcome',
  });
  const deadlines = metrics.addCounter({
    name: 'anvilstack_deadlines_total',
    help: 'Requests that have ended, by whether the complete response met the deadline',
  });
  const durations = metrics.addDistribution({
    name: 'anvilstack_request_duration_ms',
    help: 'Time from the arrival of a request to its end',
  });
  const firstTokens = metrics.addDistribution({
    name: 'anvilstack_first_token_ms',
    help: 'Time from the arrival of a request to its first token',
  });
  const betweenTokens = metrics.addDistribution({
    name: 'anvilstack_between_tokens_ms',
    help: 'Mean time between the tokens of a response',
  });
  const tokens = metrics.addCounter({
    name: 'anvilstack_tokens_total',
    help: 'Prompt and output tokens of requests that have ended',
  });
  const claims = metrics.addCounter({
    name: 'anvilstack_claims_total',
    help: 'Claims of non-idempotent requests, by result',
  });
  const roleChanges = metrics.addCounter({
    name: 'anvilstack_role_changes_total',
    help: 'Role changes of engines that this node planned, executed or declined',
  });
  const errors = metrics.addCounter({
    name: 'anvilstack_errors_total',
    help: 'Failed tasks and unhandled errors',
  });
  const controlCpuSeconds = metrics.addCounter({
    name: 'anvilstack_control_cpu_seconds_total',
    help: 'CPU time of the control plane, by component',
  });
  addProcessGauges(metrics);
  addOptionalGauges(metrics, options);
  return {
    metrics,
    recordRequest,
    recordClaim: result => claims.add(1, {result}),
    recordRoleChange: kind => roleChanges.add(1, {kind}),
    recordError: kind => errors.add(1, {kind}),
    runControlStep,
    render: metrics.render,
  };

  function recordRequest(sample: RequestSample): void {
    const {kind, failure} = sample;
    const classLabels: Labels = {kind, class: sample.className};
    requests.add(1, {
      kind,
      outcome: failure?.kind ?? 'answered',
      verdict: failure?.verdict ?? 'ran',
    });
    const result = sample.isInDeadline ? 'met' : 'missed';
    deadlines.add(1, {...classLabels, result});
    durations.record(sample.durationMs, classLabels);
    if (sample.firstTokenMs !== undefined) {
      firstTokens.record(sample.firstTokenMs, classLabels);
    }
    if (sample.betweenTokensMs !== undefined) {
      betweenTokens.record(sample.betweenTokensMs, classLabels);
    }
    tokens.add(sample.promptTokens, {direction: 'prompt'});
    tokens.add(sample.generatedTokens, {direction: 'output'});
  }

  /** The step is synchronous and the process has one thread, so its wall time approximates its CPU time. */
  function runControlStep<T>(component: string, step: () => T): T {
    const startMs = performance.now();
    try {
      return step();
    } finally {
      const tookMs = performance.now() - startMs;
      controlCpuSeconds.add(tookMs / MS_PER_S, {component});
    }
  }
}

function addProcessGauges(metrics: Metrics): void {
  metrics.addGauge({
    name: 'anvilstack_process_cpu_seconds_total',
    help: 'CPU time of the process',
    kind: 'counter',
    read: () => {
      const {user, system} = process.cpuUsage();
      return (user + system) / US_PER_S;
    },
  });
  metrics.addGauge({
    name: 'anvilstack_process_memory_bytes',
    help: 'Memory of the process, by part',
    read: () => {
      const {rss, heapUsed, external} = process.memoryUsage();
      return [
        {labels: {part: 'resident'}, value: rss},
        {labels: {part: 'heap'}, value: heapUsed},
        {labels: {part: 'external'}, value: external},
      ];
    },
  });
}

function addOptionalGauges(
  metrics: Metrics,
  options: NodeMetricsOptions,
): void {
  const {getQueueLength, getOpenRequests, listAppends, listBytes} = options;
  if (getQueueLength !== undefined) {
    metrics.addGauge({
      name: 'anvilstack_queue_requests',
      help: 'Requests that wait for a backend server',
      read: getQueueLength,
    });
  }
  if (getOpenRequests !== undefined) {
    metrics.addGauge({
      name: 'anvilstack_open_requests',
      help: 'Open requests',
      read: getOpenRequests,
    });
  }
  if (listAppends !== undefined) {
    metrics.addGauge({
      name: 'anvilstack_log_appends_total',
      help: 'Appends sent to the log, including retries',
      kind: 'counter',
      maxSeries: 512,
      read: () =>
        listAppends().map(({stream, count}) => ({
          labels: {stream},
          value: count,
        })),
    });
  }
  if (listBytes !== undefined) {
    metrics.addGauge({
      name: 'anvilstack_listener_bytes_total',
      help: 'Bytes received and sent on the connections of each listener',
      kind: 'counter',
      read: () =>
        listBytes().flatMap(({listener, received, sent}) => [
          {labels: {listener, direction: 'received'}, value: received},
          {labels: {listener, direction: 'sent'}, value: sent},
        ]),
    });
  }
}
