/** Gauges of a gateway process, which are read when the metrics are rendered. */
import type {GatewayMetrics} from './gateway_metrics';

type ReadGauge = Parameters<GatewayMetrics['addGauge']>[2];

/** What the gauges read. */
export interface GaugeSources {
  readonly listTimeFactors: ReadGauge;
  readonly getStateAgeMs: ReadGauge;
  readonly countOpenRequests: ReadGauge;
  readonly countConnections: ReadGauge;
  readonly countLimitedServers: ReadGauge;
  readonly countQuarantinedParts: ReadGauge;
  readonly getEra: ReadGauge;
  readonly countNodes: ReadGauge;
  /** Absent where usage is not reported. */
  readonly countOpenUsageWindows?: ReadGauge;
}

/** Adds the gauges. */
export function addGatewayGauges(
  metrics: Pick<GatewayMetrics, 'addGauge'>,
  sources: GaugeSources,
): void {
  metrics.addGauge(
    'anvilstack_gateway_server_time_factor',
    'Learned time of a server relative to its service; below 1 is faster. At most 100 servers.',
    sources.listTimeFactors,
  );
  metrics.addGauge(
    'anvilstack_gateway_state_age_ms',
    'Age of the store state that this node has.',
    sources.getStateAgeMs,
  );
  metrics.addGauge(
    'anvilstack_gateway_open_requests',
    'Requests that have not ended yet.',
    sources.countOpenRequests,
  );
  metrics.addGauge(
    'anvilstack_gateway_connections_opened',
    'Connections to backend servers opened since the process started.',
    sources.countConnections,
  );
  metrics.addGauge(
    'anvilstack_gateway_limited_servers',
    'Servers that state a limit on the rate of requests.',
    sources.countLimitedServers,
  );
  metrics.addGauge(
    'anvilstack_gateway_quarantined_parts',
    'Prompt parts that are kept away from engines.',
    sources.countQuarantinedParts,
  );
  metrics.addGauge(
    'anvilstack_gateway_store_era',
    'Era of the store, which rises when the store loses its newest records.',
    sources.getEra,
  );
  metrics.addGauge(
    'anvilstack_gateway_nodes',
    'Number of other known nodes.',
    sources.countNodes,
  );
  if (sources.countOpenUsageWindows === undefined) return;
  metrics.addGauge(
    'anvilstack_gateway_open_usage_windows',
    'Usage windows that have ended and are not known to be reported.',
    sources.countOpenUsageWindows,
  );
}
