/** Keeps the garbage of the runtime small on VMs with little memory. */
import {setFlagsFromString} from 'node:v8';

/**
 * Keeps the young generation of the heap at its initial size; to be called at the start. By
 * default it grows without regard to the buffers that its objects refer to.
 */
export function setYoungHeapSmall(): void {
  setFlagsFromString('--semi-space-growth-factor=1');
}

/**
 * Makes the runtime collect the old generation sooner, at the cost of processor time; to be
 * called when much is held for slow callers. By default it grows to a multiple of what is in
 * use. With 500 callers that do not read streams and a limit of 202 MB, a process took 238 MB
 * with a small young generation only, and 177 MB with both.
 */
export function setOldHeapSmall(): void {
  setFlagsFromString('--heap-growing-percent=30');
}
