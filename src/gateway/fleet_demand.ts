/** Collects the work that arrives at all nodes on the few nodes that plan the engines' stages. */
import {MIN_SCOPED_PEERS} from '../announcements';
import type {ToldFactor} from '../capacity';
import {PLANNER_COUNT} from '../planning/planner_count';
import {
  addStageDemands,
  createStageDemandMeter,
  NO_STAGE_DEMAND,
  type StageDemand,
  type StageDemandMeter,
} from '../planning/stage_demand';
import type {StageLoad} from '../planning/stage_split';
import type {Clock, Timer} from '../runtime/types';
import type {ServerLoad} from '../scaling';
import type {ShareReport} from '../shares';
import type {DemandMessage} from './peer_messages';
import type {Peers} from './peers';
import type {EngineLimits} from './types';

/** Measures this node's demand, reports it to the planning nodes and sums up the fleet's. */
export interface FleetDemand {
  start(): void;
  /** Records the work of a request that arrived at this node. */
  record(service: string, work: StageDemand): void;
  handle(message: DemandMessage): void;
  /** Returns the number of engines that the fleet's work keeps busy; undefined without recent requests. */
  tryGetLoad(service: string, engine: EngineLimits): StageLoad | undefined;
  /** Returns the load of the last seconds of a service whose servers are ordered; undefined without recent requests. */
  tryGetRecentLoad(
    service: string,
    engine: EngineLimits,
  ): ServerLoad | undefined;
  /** Lists the recent reports of the nodes on their accounts' work, this one's included. */
  listAccountReports(): ShareReport[];
  stop(): void;
}

/** Options of the fleet demand. */
export interface FleetDemandOptions {
  readonly nodeName: string;
  readonly clock: Clock;
  readonly peers: Pick<Peers, 'count' | 'listFirst' | 'send'>;
  /** Creates this node's report on the work of its accounts; undefined when there is nothing to report. */
  readonly tryCreateAccountReport?: () => ShareReport | undefined;
  /** Lists up to `count` engines that this node has measured. */
  readonly listMeasured?: (count: number) => readonly ToldFactor[];
  /** Present when servers are ordered. */
  readonly scaling?: {
    readonly failureDomain: string;
    readonly isScaled: (service: string) => boolean;
  };
}

/** Minimum interval between a node's reports, in milliseconds. */
const MIN_REPORT_INTERVAL_MS = 500;
/** Interval added per known node, in milliseconds: a planning node receives at most about 50 reports per second. */
const REPORT_INTERVAL_PER_NODE_MS = 20;
/** Number of intervals after which a node's last report no longer counts. */
const REPORT_EXPIRY_INTERVALS = 3;
/** Time constant of the demand by which servers are ordered, in milliseconds: as long as a server takes to start. */
const RECENT_TIME_CONSTANT_MS = 5_000;
/** Maximum number of engines in a report: more than a node considers on average, 0.6 KB. */
const MAX_REPORTED_ENGINES = 16;
const MS_PER_S = 1_000;

/** Creates a fleet demand without any recorded work. */
export function createFleetDemand(options: FleetDemandOptions): FleetDemand {
  const {clock, peers} = options;
  const meter = createStageDemandMeter(clock);
  const recentMeter = createStageDemandMeter(clock, RECENT_TIME_CONSTANT_MS);
  const reports = new Map<string, {message: DemandMessage; atMs: number}>();
  let timer: Timer | undefined;
  return {
    start: sendDemand,
    record: (service, work) => {
      meter.record(service, work);
      if (options.scaling?.isScaled(service) === true) {
        recentMeter.record(service, work);
      }
    },
    handle: message => {
      reports.set(message.from, {message, atMs: clock.getMonotonicMs()});
    },
    tryGetLoad,
    tryGetRecentLoad,
    listAccountReports,
    stop: () => timer?.cancel(),
  };

  function getIntervalMs(): number {
    return Math.max(
      MIN_REPORT_INTERVAL_MS,
      REPORT_INTERVAL_PER_NODE_MS * peers.count(),
    );
  }

  function sendDemand(): void {
    timer = clock.schedule(getIntervalMs(), sendDemand);
    const message = createMessage();
    if (message.services.length === 0) return;
    const accounts = options.tryCreateAccountReport?.();
    const timeFactors = listTimeFactors();
    const report = {
      ...message,
      ...(accounts === undefined ? {} : {accounts}),
      ...(timeFactors.length === 0 ? {} : {timeFactors}),
    };
    for (const node of peers.listFirst(PLANNER_COUNT)) peers.send(node, report);
  }

  /** Lists what the planning nodes cannot measure where they are notified of some prompts only. They themselves report nothing: what they were told would come back to them. */
  function listTimeFactors(): readonly ToldFactor[] {
    if (peers.count() < MIN_SCOPED_PEERS) return [];
    const last = peers.listFirst(PLANNER_COUNT).at(-1);
    const isPlanner = last === undefined || options.nodeName < last.name;
    return isPlanner
      ? []
      : (options.listMeasured?.(MAX_REPORTED_ENGINES) ?? []);
  }

  function createMessage(): DemandMessage {
    const services = listDemand(meter);
    const recent = listDemand(recentMeter);
    const {scaling} = options;
    return {
      kind: 'demand',
      from: options.nodeName,
      services,
      ...(scaling === undefined || recent.length === 0
        ? {}
        : {
            recent: {failureDomain: scaling.failureDomain, services: recent},
          }),
    };
  }

  function listMessages(): DemandMessage[] {
    return [createMessage(), ...listReceived()];
  }

  function listReceived(): DemandMessage[] {
    const oldestMs =
      clock.getMonotonicMs() - REPORT_EXPIRY_INTERVALS * getIntervalMs();
    const messages: DemandMessage[] = [];
    for (const [from, {message, atMs}] of reports) {
      if (atMs < oldestMs) reports.delete(from);
      else messages.push(message);
    }
    return messages;
  }

  function listAccountReports(): ShareReport[] {
    const own = options.tryCreateAccountReport?.();
    const others = listReceived().flatMap(({accounts}) => accounts ?? []);
    return own === undefined ? others : [own, ...others];
  }

  function tryGetLoad(
    service: string,
    engine: EngineLimits,
  ): StageLoad | undefined {
    const demand = listMessages()
      .flatMap(message => message.services)
      .filter(item => item.service === service)
      .reduce<StageDemand>(addStageDemands, NO_STAGE_DEMAND);
    if (demand.readMs + demand.slotMs === 0) return undefined;
    return computeLoad(demand, engine);
  }

  function tryGetRecentLoad(
    service: string,
    engine: EngineLimits,
  ): ServerLoad | undefined {
    const domainShares: Record<string, number> = {};
    let total = NO_STAGE_DEMAND;
    for (const {recent} of listMessages()) {
      if (recent === undefined) continue;
      const own = recent.services
        .filter(item => item.service === service)
        .reduce<StageDemand>(addStageDemands, NO_STAGE_DEMAND);
      const {prefillEngines, decodeEngines} = computeLoad(own, engine);
      // Anyone can send datagrams.
      if (!Number.isFinite(prefillEngines + decodeEngines)) continue;
      total = addStageDemands(total, own);
      domainShares[recent.failureDomain] =
        (domainShares[recent.failureDomain] ?? 0) +
        prefillEngines +
        decodeEngines;
    }
    const {prefillEngines, decodeEngines} = computeLoad(total, engine);
    const sum = prefillEngines + decodeEngines;
    if (sum === 0) return undefined;
    for (const domain of Object.keys(domainShares)) domainShares[domain] /= sum;
    return {prefillEngines, decodeEngines, domainShares};
  }
}

/** Lists the demand of a meter as it is sent. */
function listDemand(meter: StageDemandMeter): DemandMessage['services'] {
  return meter.list().map(({service, demand}) => ({
    service,
    readMs: Math.round(demand.readMs),
    slotMs: Math.round(demand.slotMs),
    memoryTokenMs: Math.round(demand.memoryTokenMs),
    moveMs: Math.round(demand.moveMs),
    prefillRequests: Number(demand.prefillRequests.toFixed(2)),
    decodeRequests: Number(demand.decodeRequests.toFixed(2)),
  }));
}

/** Computes the number of busy engines. For decode the scarcest resource decides: slots, KV memory or the transfer link. */
function computeLoad(demand: StageDemand, engine: EngineLimits): StageLoad {
  return {
    prefillEngines: demand.readMs / MS_PER_S,
    decodeEngines: Math.max(
      demand.slotMs / MS_PER_S / Math.max(1, engine.maxRunning),
      demand.memoryTokenMs / MS_PER_S / Math.max(1, engine.kvTokens),
      demand.moveMs / MS_PER_S,
    ),
    requests: {
      prefillPerS: demand.prefillRequests,
      decodePerS: demand.decodeRequests,
    },
  };
}
