/** Memory of the servers' windows, in arrays of several servers each: an array per server would take as much memory again. */
import {WINDOW_SIZE, type WindowValues} from './ratio_window';

/** Windows of one server. */
export interface PooledWindows {
  readonly values: WindowValues;
  /** Number of the server's first window in `values`. */
  readonly first: number;
}

/** Lends windows. */
export interface WindowPool {
  /** Returns windows without samples. */
  take(): PooledWindows;
  release(windows: PooledWindows): void;
}

/** Servers in one array. */
const SERVERS_PER_ARRAY = 32;

/** Creates a pool that lends `count` windows to each server. */
export function createWindowPool(count: number): WindowPool {
  const free: PooledWindows[] = [];
  return {
    take: () => free.pop() ?? addArray(),
    release: windows => {
      const {values, first} = windows;
      values.fill(0, first * WINDOW_SIZE, (first + count) * WINDOW_SIZE);
      free.push({values, first});
    },
  };

  function addArray(): PooledWindows {
    const values = new Float32Array(SERVERS_PER_ARRAY * count * WINDOW_SIZE);
    for (let index = 1; index < SERVERS_PER_ARRAY; index++) {
      free.push({values, first: index * count});
    }
    return {values, first: 0};
  }
}
