/** Records of the topic of grants of authority. */

/** A record of the topic of grants. */
export interface GrantRecord {
  readonly holder: string;
  /** Era in which it was asked for. */
  readonly era: number;
}

/** Separates the holder's name from the era, which is left out when it is 0. */
const GRANT_SEPARATOR = '\n';

/** Encodes a grant. */
export function encodeGrant({holder, era}: GrantRecord): Buffer {
  return Buffer.from(era === 0 ? holder : `${holder}${GRANT_SEPARATOR}${era}`);
}

/**
 * Finds the newest grant. A record that was asked for in an earlier era than
 * one before it is none: the store lost the offset that its sender knew and
 * gave it out again.
 */
export function tryFindGrant(
  records: readonly Buffer[],
): GrantRecord | undefined {
  let newest: GrantRecord | undefined;
  for (const record of records) {
    const [holder, era] = record.toString('utf8').split(GRANT_SEPARATOR);
    const grant = {holder, era: Number(era ?? 0) || 0};
    if (newest === undefined || grant.era >= newest.era) newest = grant;
  }
  return newest;
}
