/** Speeds and capacities of all servers, as this node has learned them from answers and from other nodes. */
import type {Logger} from '../diagnostics/log';
import type {Clock} from '../runtime/types';
import {
  addSample,
  createServerRecord,
  getEstimate,
  getRelativeFactor as getRecordFactor,
  isMeasured,
  type ServerRecord,
  setTold,
  WINDOWS_PER_RECORD,
} from './server_record';
import {type CapacityView, createCapacityView} from './capacity_view';
import {createToldFactors} from './told_factors';
import {createWindowPool} from './window_pool';
import type {
  CapacityEstimate,
  CapacitySample,
  ServerIdentity,
  ToldFactor,
} from './types';

/** Learned speeds and capacities. */
export interface ServerCapacities {
  /** Records an answer. */
  recordSample(server: ServerIdentity, sample: CapacitySample): void;
  /** Returns the predicted ratio of observed to nominal time at a load, relative to the server's service. */
  getRelativeFactor(server: ServerIdentity, load: number): number;
  getEstimate(server: ServerIdentity): CapacityEstimate;
  /** Lists up to `count` measured servers that differ from their service, in turn. */
  listFactors(count: number): ToldFactor[];
  /** Lists up to `count` servers that were measured here recently, also those that are as fast as their service. */
  listMeasured(count: number): ToldFactor[];
  /** Adopts factors that another node told; malformed ones are ignored. */
  addFactors(factors: unknown): void;
  remove(serverId: string): void;
  /** Creates a view whose use has no effect on these speeds. */
  createView(): CapacityView;
}

/** Options of the capacities. */
export interface ServerCapacitiesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the ratio of observed to nominal time of a service. */
  readonly getServiceFactor: (service: string) => number;
  /** False when every server keeps its service's values. */
  readonly isEnabled?: boolean;
  /** Called when a server's estimate has changed by more than a fifth. */
  readonly onChanged?: (service: string) => void;
}

interface ListedRecord extends ServerRecord {
  readonly identity: ServerIdentity;
  loggedFactor: number;
}

/** Estimate of a server without samples. */
const UNKNOWN = {
  relativeFactor: 1,
  goodLoad: Number.POSITIVE_INFINITY,
  isKnown: false,
};
/** Step of the services' factors, as a natural logarithm: 2%. */
const FACTOR_STEP = 0.02;
/** Change of an estimate that is logged. */
const LOGGED_CHANGE = 1.2;
/** Number of log lines within a period, and its length in milliseconds. */
const MAX_LINES = 20;
const LINE_PERIOD_MS = 10_000;
/** Maximum age of the latest sample of a server that is told to other nodes, in milliseconds. */
const MAX_TOLD_AGE_MS = 10_000;

/** Creates capacities without any servers. */
export function createServerCapacities(
  options: ServerCapacitiesOptions,
): ServerCapacities {
  const {clock, isEnabled = true} = options;
  const records = new Map<string, ListedRecord>();
  const told = createToldFactors();
  const pool = createWindowPool(WINDOWS_PER_RECORD);
  let periodStartMs = Number.NEGATIVE_INFINITY;
  let lineCount = 0;
  return {
    recordSample,
    getRelativeFactor,
    getEstimate: server => {
      const record = tryGetRecord(server);
      const timeFactor = getServiceFactor(server.service);
      return record === undefined
        ? {...UNKNOWN, timeFactor}
        : getEstimate(record, timeFactor, clock.getMonotonicMs());
    },
    listFactors,
    listMeasured,
    addFactors: factors => {
      if (isEnabled) told.add(factors, clock.getMonotonicMs());
    },
    remove: serverId => {
      removeRecord(serverId);
      told.remove(serverId);
    },
    createView: () =>
      createCapacityView({clock, isEnabled, records, told, getServiceFactor}),
  };

  /** Returns the service's factor in steps, so that results stay valid while it varies little. */
  function getServiceFactor(service: string): number {
    const steps = Math.log(options.getServiceFactor(service)) / FACTOR_STEP;
    return Math.exp(Math.round(steps) * FACTOR_STEP);
  }

  function recordSample(server: ServerIdentity, sample: CapacitySample): void {
    if (!isEnabled) return;
    const record = getRecord(server);
    const assumed = getServiceFactor(server.service);
    addSample(record, sample, assumed, clock.getMonotonicMs());
    logChange(record, sample, assumed);
  }

  function getRelativeFactor(server: ServerIdentity, load: number): number {
    const record = tryGetRecord(server);
    if (record === undefined) return 1;
    const assumed = getServiceFactor(server.service);
    return getRecordFactor(record, assumed, load, clock.getMonotonicMs());
  }

  function listFactors(count: number): ToldFactor[] {
    return told.select(
      collectMeasured(({relativeFactor}) => relativeFactor !== 1),
      count,
    );
  }

  function listMeasured(count: number): ToldFactor[] {
    return collectMeasured(() => true).slice(0, count);
  }

  /** Collects the factors of the servers that were measured recently and are included. */
  function collectMeasured(
    isIncluded: (estimate: CapacityEstimate) => boolean,
  ): ToldFactor[] {
    const nowMs = clock.getMonotonicMs();
    return [...records.values()].flatMap((record): ToldFactor[] => {
      const isRecent = nowMs - record.lastSampleMs <= MAX_TOLD_AGE_MS;
      if (!isRecent || !isMeasured(record)) return [];
      const {id, service, startedAtMs} = record.identity;
      const estimate = getEstimate(record, getServiceFactor(service), nowMs);
      if (!isIncluded(estimate)) return [];
      return [[id, startedAtMs, Math.round(estimate.timeFactor * 100) / 100]];
    });
  }

  /** Returns the record of a server's present process. */
  function getRecord(server: ServerIdentity): ListedRecord {
    return tryGetRecord(server) ?? addRecord(server);
  }

  function tryGetRecord(server: ServerIdentity): ListedRecord | undefined {
    const known = records.get(server.id);
    const isSame = known?.startedAtMs === server.startedAtMs;
    const newlyTold = told.tryTake(server.id, server.startedAtMs);
    if (newlyTold === undefined) return isSame ? known : undefined;
    const record = isSame ? known : addRecord(server);
    setTold(record, newlyTold);
    return record;
  }

  function addRecord(server: ServerIdentity): ListedRecord {
    removeRecord(server.id);
    const record = createServerRecord(server.startedAtMs, pool.take());
    const created = Object.assign(record, {identity: server, loggedFactor: 1});
    records.set(server.id, created);
    return created;
  }

  function removeRecord(serverId: string): void {
    const record = records.get(serverId);
    if (record === undefined) return;
    records.delete(serverId);
    pool.release(record.windows);
  }

  function logChange(
    record: ListedRecord,
    sample: CapacitySample,
    assumed: number,
  ): void {
    const nowMs = clock.getMonotonicMs();
    const {timeFactor, relativeFactor, goodLoad} = getEstimate(
      record,
      assumed,
      nowMs,
    );
    const before = record.loggedFactor;
    const change = Math.max(relativeFactor / before, before / relativeFactor);
    if (change <= LOGGED_CHANGE) return;
    record.loggedFactor = relativeFactor;
    options.onChanged?.(record.identity.service);
    if (nowMs - periodStartMs >= LINE_PERIOD_MS) {
      periodStartMs = nowMs;
      lineCount = 0;
    }
    if (++lineCount > MAX_LINES) return;
    options.logger.log('info', 'server capacity changed', {
      serverId: record.identity.id,
      service: record.identity.service,
      startedAtMs: record.startedAtMs,
      before,
      relativeFactor,
      timeFactor,
      serviceFactor: assumed,
      goodLoad: Number.isFinite(goodLoad) ? goodLoad : 'none',
      sample,
    });
  }
}
