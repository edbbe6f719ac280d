/** KV cache that an engine model holds for export. */
import type {KvHandle} from '../backends';
import type {Clock, Timer} from '../runtime';
import {EXPORT_RETENTION_MS} from './engine_model_types';

/** Options of the exports. */
export interface EngineExportsOptions {
  readonly engine: string;
  readonly address: string;
  readonly clock: Clock;
  /** Called when an export is released, with the pieces that it held. */
  readonly onRelease: (pieces: number) => void;
}

/** KV cache held for export, by the id of its handle. */
export interface EngineExports {
  add(incarnation: number, tokens: number, pieces: number): KvHandle;
  has(id: string): boolean;
  release(id: string): void;
  getCount(): number;
  /** Discards all exports without calling `onRelease`, as a crash does. */
  removeAll(): void;
}

/** Creates an empty set of exports. */
export function createEngineExports(
  options: EngineExportsOptions,
): EngineExports {
  const {engine, address, clock} = options;
  const held = new Map<
    string,
    {readonly pieces: number; readonly timer: Timer}
  >();
  let nextHandle = 0;
  return {
    add,
    has: id => held.has(id),
    release,
    getCount: () => held.size,
    removeAll,
  };

  function add(incarnation: number, tokens: number, pieces: number): KvHandle {
    const id = `${engine}.${incarnation}.${++nextHandle}`;
    const timer = clock.schedule(EXPORT_RETENTION_MS, () => release(id));
    held.set(id, {pieces, timer});
    return {engine, address, id, tokens};
  }

  function release(id: string): void {
    const entry = held.get(id);
    if (entry === undefined) return;
    entry.timer.cancel();
    held.delete(id);
    options.onRelease(entry.pieces);
  }

  function removeAll(): void {
    for (const entry of held.values()) entry.timer.cancel();
    held.clear();
  }
}
