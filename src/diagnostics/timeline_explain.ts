/** Explains in a sentence, from the events of a time line, what happened to a request, an engine or a lease. */
import {EventKind} from './event_kinds';
import type {TimelineEvent} from './events';
import {selectEvents, type Timeline} from './timeline';

const REQUEST_END_KINDS: ReadonlySet<string> = new Set([
  EventKind.RequestRefused,
  EventKind.RequestFailed,
  EventKind.RequestCancelled,
  EventKind.RequestAnswered,
]);
const LEASE_END_KINDS: ReadonlySet<string> = new Set([
  EventKind.LeaseReleased,
  EventKind.LeaseLost,
]);

/** Explains where a request was sent, how it ended and why. */
export function formatRequestExplanation(
  timeline: Timeline,
  requestId: string,
): string {
  const events = selectEvents(timeline.events, {requestId});
  if (events.length === 0) {
    return `Request ${requestId}: no event of it is known.${formatGaps(timeline)}`;
  }
  const sent = events.filter(event => event.kind === EventKind.RequestSent);
  const failed = events.filter(event => event.kind === EventKind.AttemptFailed);
  const end = events.findLast(event => REQUEST_END_KINDS.has(event.kind));
  const parts = [`Request ${requestId}`];
  if (sent.length > 0) {
    const engines = [...new Set(sent.map(event => event.engine ?? 'unknown'))];
    parts.push(`was sent to ${engines.join(', then ')}`);
  } else {
    parts.push('was not sent to a backend server');
  }
  for (const event of failed) {
    parts.push(
      `failed at ${event.engine ?? 'a backend server'} (${event.cause})`,
    );
  }
  if (end === undefined) {
    parts.push('its outcome is not known');
  } else {
    parts.push(`${getOutcomeText(end.kind)} by ${end.node}: ${end.cause}`);
  }
  const gaps = end === undefined ? formatGaps(timeline) : '';
  return `${parts.join('; ')}.${gaps}`;
}

/** Explains the role changes of an engine and its latest declined one, with their causes. */
export function formatEngineExplanation(
  timeline: Timeline,
  engine: string,
): string {
  const events = selectEvents(timeline.events, {engine});
  const changes = events.filter(
    event =>
      event.kind === EventKind.RoleTarget ||
      event.kind === EventKind.RoleChanged,
  );
  const declined = events.findLast(
    event => event.kind === EventKind.RoleChangeDeclined,
  );
  const lines = changes.map(
    event =>
      `${formatEventTime(event)} ${engine}: ${event.kind} by ${event.node}: ${event.cause}.`,
  );
  if (declined !== undefined) {
    lines.push(
      `${formatEventTime(declined)} ${engine}: role change declined: ${declined.cause}.`,
    );
  }
  if (lines.length > 0) return lines.join('\n');
  return `Engine ${engine}: no role change is known.${formatGaps(timeline)}`;
}

/** Explains which node held the lease of a shard at `atMs`, in milliseconds since the Unix epoch. */
export function formatLeaseExplanation(
  timeline: Timeline,
  shard: string,
  atMs: number,
): string {
  const before = selectEvents(timeline.events, {shard}).filter(
    event => event.at.wallMs <= atMs,
  );
  const granted = before.findLast(
    event => event.kind === EventKind.LeaseGranted,
  );
  const time = formatTimeOfDay(atMs);
  if (granted === undefined) {
    return `Lease ${shard} at ${time}: no earlier grant is known.${formatGaps(timeline)}`;
  }
  const end = before
    .slice(before.indexOf(granted) + 1)
    .find(
      event => event.node === granted.node && LEASE_END_KINDS.has(event.kind),
    );
  const holder = `${granted.node} from ${formatEventTime(granted)} (${granted.cause})`;
  const gaps = formatGaps(timeline);
  if (end === undefined) {
    return `Lease ${shard} at ${time}: held by ${holder}.${gaps}`;
  }
  return `Lease ${shard} at ${time}: no known holder; previously held by ${holder} until ${formatEventTime(end)} (${end.cause}).${gaps}`;
}

/** Formats the timestamp of an event as ISO 8601 time, `+` and counter. */
export function formatEventTime(event: TimelineEvent): string {
  return `${formatTimeOfDay(event.at.wallMs)}+${event.at.counter}`;
}

function formatTimeOfDay(wallMs: number): string {
  return new Date(wallMs).toISOString();
}

function formatGaps(timeline: Timeline): string {
  if (timeline.gaps.length === 0) return '';
  const parts = timeline.gaps.map(gap => `${gap.node} (${gap.reason})`);
  return ` Missing: ${parts.join(', ')}.`;
}

function getOutcomeText(kind: string): string {
  switch (kind) {
    case EventKind.RequestRefused:
      return 'was refused';
    case EventKind.RequestCancelled:
      return 'was cancelled';
    case EventKind.RequestAnswered:
      return 'was answered';
    default:
      return 'failed';
  }
}
