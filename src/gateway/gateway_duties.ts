/** Creates the duties of a gateway that its settings name. */
import type {Logger} from '../diagnostics/log';
import {
  type Authority,
  createLimitedDutyClient,
  createUsageDuty,
  type DutyClient,
  DutyKind,
  type UsageDuty,
  type UsageStore,
} from '../duties';
import type {Clock} from '../runtime/types';
import type {GatewayMetrics} from './gateway_metrics';
import type {Peers} from './peers';
import type {DutySettings} from './settings';

/** What the duties need of the platform. */
export interface DutyPlatform {
  readonly client: DutyClient;
  readonly usageStore: UsageStore;
}

/** The duties that are due. */
export interface GatewayDuties {
  /** Client within the rate that the platform takes; shared by all duties. Absent when there are none. */
  readonly client?: DutyClient;
  /** Absent when usage is not reported. */
  readonly usage?: UsageDuty;
}

/** Options of the duties. */
export interface GatewayDutiesOptions {
  readonly platform?: DutyPlatform;
  readonly settings?: DutySettings;
  readonly nodeName: string;
  readonly authority: Authority;
  readonly peers: Pick<Peers, 'list' | 'tryFind' | 'send' | 'notify'>;
  readonly metrics: Pick<GatewayMetrics, 'recordUsageWindow'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getRandom: () => number;
  /** Returns the era of the store, which rises when it loses its newest records. */
  readonly getEra: () => number;
}

/** Creates the duties; none without settings for them. */
export function createGatewayDuties(
  options: GatewayDutiesOptions,
): GatewayDuties {
  const {platform, settings, clock, peers} = options;
  if (platform === undefined || settings === undefined) return {};
  const client = createLimitedDutyClient({
    client: platform.client,
    clock,
    callsPerS: settings.callsPerS,
  });
  const hasUsage =
    settings.kinds.includes(DutyKind.Usage) &&
    settings.usageWindowMs > 0 &&
    settings.usageDueMs > 0;
  if (!hasUsage) return {client};
  const usage = createUsageDuty({
    nodeName: options.nodeName,
    clock,
    logger: options.logger,
    authority: options.authority,
    client,
    store: platform.usageStore,
    windowMs: settings.usageWindowMs,
    dueMs: settings.usageDueMs,
    listNames: () => peers.list().map(node => node.name),
    send: (name, message) => {
      const node = peers.tryFind(name);
      if (node !== undefined) peers.send(node, message);
    },
    notify: peers.notify,
    getRandom: options.getRandom,
    getEra: options.getEra,
    onOutcome: options.metrics.recordUsageWindow,
  });
  return {client, usage};
}
