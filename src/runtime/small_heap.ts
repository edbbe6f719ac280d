/** Keeps the garbage of the runtime small on VMs with little memory. */
import {setFlagsFromString} from 'node:v8';

/**
 * Makes the runtime collect garbage sooner; to be called at the start. By default the young
 * generation grows without regard to the buffers that its objects refer to, and the old one to
 * a multiple of what is in use. With 500 callers that do not read streams and a limit of 202
 * MB, a process took 238 MB with the first setting only, and 177 with both.
 */
export function setHeapSmall(): void {
  setFlagsFromString('--semi-space-growth-factor=1');
  setFlagsFromString('--heap-growing-percent=30');
}
