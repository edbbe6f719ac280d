/** Merges the events of all processes into one time line and filters them. */
import {compareTimes, type TimelineEvent} from './events';

/** Events of one process, oldest first. */
export interface EventPage {
  readonly node: string;
  /** Number of events that the ring buffer has overwritten with newer ones. */
  readonly dropped: number;
  readonly events: readonly TimelineEvent[];
}

/** A source of events that is missing or incomplete in the time line. */
export interface TimelineGap {
  readonly node: string;
  readonly reason: string;
}

/** Events of all processes in order, with the gaps in them. */
export interface Timeline {
  readonly events: readonly TimelineEvent[];
  readonly gaps: readonly TimelineGap[];
}

/** Selects events; an event must match every field given. */
export interface TimelineFilter {
  readonly requestId?: string;
  readonly clientAccount?: string;
  readonly engine?: string;
  readonly shard?: string;
  /** Only events at or after this time, in milliseconds since the Unix epoch. */
  readonly sinceMs?: number;
}

/** Options of a merge. */
export interface MergeOptions {
  readonly pages: readonly EventPage[];
  /** Processes whose events could not be read. */
  readonly unreachable?: readonly TimelineGap[];
  /** Maximum number of events; the oldest are omitted beyond it. */
  readonly maxEvents?: number;
}

const DEFAULT_MAX_EVENTS = 200_000;

/** Merges pages in the order of their hybrid timestamps; equal timestamps are ordered by node name. */
export function mergeTimeline(options: MergeOptions): Timeline {
  const maxEvents = options.maxEvents ?? DEFAULT_MAX_EVENTS;
  const gaps: TimelineGap[] = [...(options.unreachable ?? [])];
  for (const page of options.pages) {
    if (page.dropped > 0) {
      gaps.push({
        node: page.node,
        reason: `${page.dropped} older events were dropped`,
      });
    }
  }
  const events = options.pages.flatMap(page => page.events).sort(compareEvents);
  if (events.length <= maxEvents) return {events, gaps};
  const excess = events.length - maxEvents;
  gaps.push({
    node: 'all nodes',
    reason: `${excess} older events are beyond the ${maxEvents} shown`,
  });
  return {events: events.slice(excess), gaps};
}

/** Returns the events that match the filter. */
export function selectEvents(
  events: readonly TimelineEvent[],
  filter: TimelineFilter,
): TimelineEvent[] {
  return events.filter(
    event =>
      isMatch(event.requestId, filter.requestId) &&
      isMatch(event.clientAccount, filter.clientAccount) &&
      isMatch(event.engine, filter.engine) &&
      isMatch(event.shard, filter.shard) &&
      event.at.wallMs >= (filter.sinceMs ?? 0),
  );
}

function isMatch(
  value: string | undefined,
  wanted: string | undefined,
): boolean {
  return wanted === undefined || value === wanted;
}

function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
  const order = compareTimes(left.at, right.at);
  if (order !== 0) return order;
  if (left.node === right.node) return 0;
  return left.node < right.node ? -1 : 1;
}
