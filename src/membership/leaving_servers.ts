/** Marks of backend servers that leave. A mark lasts while somebody sees the sign. */

/** How long a mark outlives its last renewal, in milliseconds. */
export const LEAVING_TTL_MS = 60_000;
/** How old a mark is when a node that sees the sign renews it, in milliseconds. */
const LEAVING_RENEWAL_MS = 20_000;

/** The marks that are in force. */
export interface LeavingServers {
  /** Takes a sign seen by this node; returns the version to pass on, if it is news. */
  report(server: string, nowMs: number): number | undefined;
  /** Takes a peer's mark; returns whether it is news. */
  apply(server: string, version: number, nowMs: number): boolean;
  has(server: string): boolean;
  list(): readonly string[];
  /** Drops and returns the marks that nobody has renewed. */
  sweep(nowMs: number): readonly string[];
}

interface LeavingRecord {
  readonly version: number;
  readonly renewedAtMs: number;
}

/** Creates an empty set of marks. */
export function createLeavingServers(): LeavingServers {
  const records = new Map<string, LeavingRecord>();
  return {
    report,
    apply,
    has: server => records.has(server),
    list: () => [...records.keys()],
    sweep,
  };

  function report(server: string, nowMs: number): number | undefined {
    const record = records.get(server);
    if (
      record !== undefined &&
      nowMs - record.renewedAtMs < LEAVING_RENEWAL_MS
    ) {
      return undefined;
    }
    const version = (record?.version ?? 0) + 1;
    records.set(server, {version, renewedAtMs: nowMs});
    return version;
  }

  function apply(server: string, version: number, nowMs: number): boolean {
    const record = records.get(server);
    if (record !== undefined && version <= record.version) return false;
    records.set(server, {version, renewedAtMs: nowMs});
    return true;
  }

  function sweep(nowMs: number): string[] {
    const expired: string[] = [];
    for (const [server, record] of records) {
      if (nowMs - record.renewedAtMs < LEAVING_TTL_MS) continue;
      records.delete(server);
      expired.push(server);
    }
    return expired;
  }
}
