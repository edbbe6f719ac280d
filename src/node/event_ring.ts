/** Creates the ring buffer of a node's events. */
import {createEventRing, type EventRing} from '../diagnostics';
import type {Clock} from '../runtime';
import type {Settings} from '../settings';

/** Creates a ring with the capacity from the settings. */
export function createNodeEventRing(
  settings: Settings,
  clock: Clock,
): EventRing {
  return createEventRing({
    clock,
    node: settings.node.id,
    capacity: settings.logging.max_events,
  });
}
