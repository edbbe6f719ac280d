/** The metrics of a node. */
import {createMetrics} from './metrics';
import type {Labels, Metrics} from './metrics_types';

/** What is counted of a request that has ended; no text and no key of a caller. */
export interface RequestSample {
  readonly kind: 'model' | 'service';
  readonly urgent: boolean;
  /** Name of the request class. */
  readonly className: string;
  readonly isInDeadline: boolean;
  /** From arrival to the end, in milliseconds. */
  readonly durationMs: number;
  readonly firstTokenMs?: number;
  readonly betweenTokensMs?: number;
  readonly promptTokens: number;
  readonly generatedTokens: number;
  /** Absent when the request was answered. */
  readonly failure?: {readonly kind: string; readonly verdict: string};
}

/** What a node's other parts are asked when the metrics are written out. */
export interface NodeMetricsOptions {
  /** Requests that wait for a backend server. */
  readonly getQueueLength?: () => number;
  /** Requests that are open. */
  readonly getOpenRequests?: () => number;
  /** Appends sent to the log, by stream, retries included. */
  readonly listAppends?: () => ReadonlyArray<{
    readonly stream: string;
    readonly count: number;
  }>;
  /** Bytes of each listener's connections. */
  readonly listBytes?: () => ReadonlyArray<{
    readonly listener: string;
    readonly received: number;
    readonly sent: number;
  }>;
}

/** The metrics of a node. */
export interface NodeMetrics {
  /** For metrics of other parts. */
  readonly metrics: Metrics;
  recordRequest(sample: RequestSample): void;
  /** Counts a claim by its result, such as `granted` or `answered`. */
  recordClaim(result: string): void;
  recordRoleChange(kind: string): void;
  recordError(kind: string): void;
  /** Runs a step of control and counts its processor time. */
  runControlStep<T>(component: string, step: () => T): T;
  /** Writes all metrics as text. */
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
    help: 'Requests that have ended, by what became of them',
  });
  const deadlines = metrics.addCounter({
    name: 'anvilstack_deadlines_total',
    help: 'Requests by whether the whole answer came within the deadline',
  });
  const durations = metrics.addDistribution({
    name: 'anvilstack_request_duration_ms',
    help: 'From arrival to the end of a request',
  });
  const firstTokens = metrics.addDistribution({
    name: 'anvilstack_first_token_ms',
    help: 'From arrival to the first token',
  });
  const betweenTokens = metrics.addDistribution({
    name: 'anvilstack_between_tokens_ms',
    help: 'Mean time between the tokens of an answer',
  });
  const tokens = metrics.addCounter({
    name: 'anvilstack_tokens_total',
    help: 'Tokens of requests that have ended',
  });
  const claims = metrics.addCounter({
    name: 'anvilstack_claims_total',
    help: 'Claims of non-idempotent requests, by result',
  });
  const roleChanges = metrics.addCounter({
    name: 'anvilstack_role_changes_total',
    help: 'Role changes of engines that this node planned, made or declined',
  });
  const errors = metrics.addCounter({
    name: 'anvilstack_errors_total',
    help: 'Tasks that failed and errors that no task has handled',
  });
  const controlCpuSeconds = metrics.addCounter({
    name: 'anvilstack_control_cpu_seconds_total',
    help: 'Processor time of control, by component',
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

  /** The program has one thread, so the time of a step is its processor time. */
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
    help: 'Processor time of the whole process',
    kind: 'counter',
    read: () => {
      const {user, system} = process.cpuUsage();
      return (user + system) / US_PER_S;
    },
  });
  metrics.addGauge({
    name: 'anvilstack_process_memory_bytes',
    help: 'Memory of the process',
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
      help: 'Requests that are open',
      read: getOpenRequests,
    });
  }
  if (listAppends !== undefined) {
    metrics.addGauge({
      name: 'anvilstack_log_appends_total',
      help: 'Appends sent to the log, retries included',
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
      help: 'Bytes of the connections of each listener',
      kind: 'counter',
      read: () =>
        listBytes().flatMap(({listener, received, sent}) => [
          {labels: {listener, direction: 'received'}, value: received},
          {labels: {listener, direction: 'sent'}, value: sent},
        ]),
    });
  }
}
