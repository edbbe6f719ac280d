/** A view of the learned speeds that copies the records which it reads or changes, for decisions that must not have an effect. */
import type {Clock} from '../runtime/types';
import {
  addSample,
  createServerRecord,
  getRelativeFactor as getRecordFactor,
  type ServerRecord,
  setTold,
  WINDOWS_PER_RECORD,
} from './server_record';
import {WINDOW_SIZE} from './ratio_window';
import type {ToldFactors} from './told_factors';
import type {CapacitySample, ServerIdentity} from './types';
import type {PooledWindows} from './window_pool';

/** Learned speeds that can be read, and changed without an effect outside of the view. */
export interface CapacityView {
  recordSample(server: ServerIdentity, sample: CapacitySample): void;
  getRelativeFactor(server: ServerIdentity, load: number): number;
}

/** Options of a view. */
export interface CapacityViewOptions {
  readonly clock: Pick<Clock, 'getMonotonicMs'>;
  readonly isEnabled: boolean;
  readonly records: ReadonlyMap<string, ServerRecord>;
  readonly told: Pick<ToldFactors, 'tryPeek'>;
  readonly getServiceFactor: (service: string) => number;
}

/** Creates a view without copies. */
export function createCapacityView(options: CapacityViewOptions): CapacityView {
  const {clock, records, told, getServiceFactor} = options;
  const copies = new Map<string, ServerRecord | undefined>();
  return {
    recordSample: (server, sample) => {
      if (!options.isEnabled) return;
      const record =
        tryGetCopy(server) ??
        createServerRecord(server.startedAtMs, createWindows());
      copies.set(server.id, record);
      const assumed = getServiceFactor(server.service);
      addSample(record, sample, assumed, clock.getMonotonicMs());
    },
    getRelativeFactor: (server, load) => {
      const record = tryGetCopy(server);
      if (record === undefined) return 1;
      const assumed = getServiceFactor(server.service);
      return getRecordFactor(record, assumed, load, clock.getMonotonicMs());
    },
  };

  function tryGetCopy(server: ServerIdentity): ServerRecord | undefined {
    if (!copies.has(server.id)) copies.set(server.id, tryCopyRecord(server));
    return copies.get(server.id);
  }

  function tryCopyRecord(server: ServerIdentity): ServerRecord | undefined {
    const known = records.get(server.id);
    const copy =
      known?.startedAtMs === server.startedAtMs
        ? {...known, windows: createWindows(known.windows)}
        : undefined;
    const newlyTold = told.tryPeek(server.id, server.startedAtMs);
    if (newlyTold === undefined) return copy;
    const record =
      copy ?? createServerRecord(server.startedAtMs, createWindows());
    setTold(record, newlyTold);
    return record;
  }
}

function createWindows(source?: PooledWindows): PooledWindows {
  const size = WINDOWS_PER_RECORD * WINDOW_SIZE;
  if (source === undefined) return {values: new Float32Array(size), first: 0};
  const at = source.first * WINDOW_SIZE;
  return {values: source.values.slice(at, at + size), first: 0};
}
