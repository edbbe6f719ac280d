/** Marks of backend servers that leave. A mark lasts while somebody sees the sign. */

/** How long a mark outlives its last renewal, in milliseconds. */
export const MARK_HOLD_MS = 60_000;
/** How old a mark is when a node that sees the sign renews it, in milliseconds. */
const MARK_RENEWAL_MS = 20_000;

/** The marks that are in force. */
export interface LeavingMarks {
  /** Takes a sign seen by this node; returns the version to pass on, if it is news. */
  report(server: string, nowMs: number): number | undefined;
  /** Takes a peer's mark; returns whether it is news. */
  apply(server: string, version: number, nowMs: number): boolean;
  has(server: string): boolean;
  list(): readonly string[];
  /** Drops and returns the marks that nobody has renewed. */
  sweep(nowMs: number): readonly string[];
}

interface Mark {
  readonly version: number;
  readonly renewedAtMs: number;
}

/** Creates an empty set of marks. */
export function createLeavingMarks(): LeavingMarks {
  const marks = new Map<string, Mark>();
  return {
    report,
    apply,
    has: server => marks.has(server),
    list: () => [...marks.keys()],
    sweep,
  };

  function report(server: string, nowMs: number): number | undefined {
    const mark = marks.get(server);
    if (mark !== undefined && nowMs - mark.renewedAtMs < MARK_RENEWAL_MS) {
      return undefined;
    }
    const version = (mark?.version ?? 0) + 1;
    marks.set(server, {version, renewedAtMs: nowMs});
    return version;
  }

  function apply(server: string, version: number, nowMs: number): boolean {
    const mark = marks.get(server);
    if (mark !== undefined && version <= mark.version) return false;
    marks.set(server, {version, renewedAtMs: nowMs});
    return true;
  }

  function sweep(nowMs: number): string[] {
    const expired: string[] = [];
    for (const [server, mark] of marks) {
      if (nowMs - mark.renewedAtMs < MARK_HOLD_MS) continue;
      marks.delete(server);
      expired.push(server);
    }
    return expired;
  }
}
