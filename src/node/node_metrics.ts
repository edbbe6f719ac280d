/** Connects a node's streams, events and claims ledger to its metrics. */
import type {ClaimsLedger} from '../claims';
import {
  createNodeMetrics,
  EventKind,
  type EventRing,
  type NodeMetrics,
  type NodeMetricsOptions,
} from '../diagnostics';
import type {NodeStreams} from './node_streams';

/** Options of `createConnectedMetrics`. */
export interface ConnectedMetricsOptions extends Omit<
  NodeMetricsOptions,
  'listAppends'
> {
  readonly events: EventRing;
  readonly streams: Pick<NodeStreams, 'config' | 'claims' | 'control'>;
}

const ROLE_KINDS: ReadonlySet<string> = new Set([
  EventKind.RoleTarget,
  EventKind.RoleChangeDeclined,
  EventKind.RoleChanged,
]);
const ERROR_KINDS: ReadonlySet<string> = new Set([
  EventKind.TaskFailed,
  EventKind.TaskRestarted,
  EventKind.UnhandledError,
]);

/** Creates metrics that also count stream appends, role events and error events. */
export function createConnectedMetrics(
  options: ConnectedMetricsOptions,
): NodeMetrics {
  const {events, streams} = options;
  const metrics = createNodeMetrics({
    ...options,
    listAppends: () =>
      [streams.config, streams.claims, streams.control].map(
        ({follower, writer}) => ({
          stream: follower.stream,
          count: writer.getAppendCount(),
        }),
      ),
  });
  events.subscribe(({kind}) => {
    if (ROLE_KINDS.has(kind)) metrics.recordRoleChange(kind);
    if (ERROR_KINDS.has(kind)) metrics.recordError(kind);
  });
  return metrics;
}

/** Wraps a ledger so that the result of each claim is counted. */
export function createMeteredLedger(
  ledger: ClaimsLedger,
  recordClaim: (result: string) => void,
): ClaimsLedger {
  return {
    ...ledger,
    claim: async request => {
      const result = await ledger.claim(request);
      recordClaim(result.kind);
      return result;
    },
  };
}
