/** Backend servers reported as leaving: soft state that expires unless some node renews it. */

/** How long a report stays in force after its last renewal, in milliseconds. */
export const LEAVING_TTL_MS = 60_000;
/** Age at which a node that still sees the server leaving renews its report, in milliseconds. */
const LEAVING_RENEWAL_MS = 20_000;

/** The servers that are reported as leaving. */
export interface LeavingServers {
  /** Records an observation of this node; returns the version to spread if it is new or renewed. */
  report(server: string, nowMs: number): number | undefined;
  /** Records a peer's report; returns whether its version is newer than the known one. */
  apply(server: string, version: number, nowMs: number): boolean;
  has(server: string): boolean;
  list(): readonly string[];
  /** Removes and returns the servers whose reports have expired. */
  sweep(nowMs: number): readonly string[];
}

interface LeavingRecord {
  readonly version: number;
  readonly renewedAtMs: number;
}

/** Creates an empty set. */
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
