/** Merges the events of all processes into one time line. */
import {compareTimes, type TimelineEvent} from './events';

/** Events of one process, oldest first. */
export interface EventPage {
  readonly node: string;
  /** Events dropped for newer ones. */
  readonly dropped: number;
  readonly events: readonly TimelineEvent[];
}

/** What the time line lacks. */
export interface TimelineGap {
  readonly node: string;
  readonly reason: string;
}

/** Events of all processes in order, with what is missing. */
export interface Timeline {
  readonly events: readonly TimelineEvent[];
  readonly gaps: readonly TimelineGap[];
}

/** Which events to show; all parts given must match. */
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
  /** Processes that could not be asked. */
  readonly unreachable?: readonly TimelineGap[];
  /** Most events kept; the oldest are left out. */
  readonly maxEvents?: number;
}

const DEFAULT_MAX_EVENTS = 200_000;

/** Merges pages by hybrid time; equal stamps are ordered by node. */
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

/** Selects the events that match. */
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
