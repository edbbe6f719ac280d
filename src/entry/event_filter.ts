/** Filters a node's events by the query of `GET /operators/events`. */
import type {TimelineEvent} from '../diagnostics';

const DEFAULT_LIMIT = 5_000;

/**
 * Returns the last `limit` of the events that match `request`, `client_account`, `engine` and
 * `kind` and are not older than `since_ms` (milliseconds since the Unix epoch). A `limit` of 0
 * or less returns all of them.
 */
export function selectEvents(
  events: readonly TimelineEvent[],
  query: URLSearchParams,
): readonly TimelineEvent[] {
  const sinceMs = Number(query.get('since_ms') ?? 0);
  const limit = Number(query.get('limit') ?? DEFAULT_LIMIT);
  const selected = events.filter(
    event =>
      event.at.wallMs >= sinceMs &&
      isMatch(query.get('request'), event.requestId) &&
      isMatch(query.get('client_account'), event.clientAccount) &&
      isMatch(query.get('engine'), event.engine) &&
      isMatch(query.get('kind'), event.kind),
  );
  return limit > 0 ? selected.slice(-limit) : selected;
}

function isMatch(wanted: string | null, value: string | undefined): boolean {
  return wanted === null || wanted === value;
}
