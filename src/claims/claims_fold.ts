/** The claims stream: the first claim of a key in the log's order is granted. */
import {assertNever} from '../runtime';
import type {EntryContext, EntryOutcome, StreamDefinition} from '../state';
import {type ClaimEntry, claimEntrySchema, type ClaimState} from './types';

/** State of a claims stream: claims by key, in the order of their records. */
export interface ClaimsState {
  readonly claims: Map<string, ClaimState>;
  /** When the log took the last record, in milliseconds since the Unix epoch. */
  nowMs: number;
}

/** Returns the definition of a claims stream of the given name. */
export function createClaimsStream(
  stream: string,
): StreamDefinition<ClaimsState, ClaimEntry> {
  return {
    stream,
    createState: () => ({claims: new Map(), nowMs: 0}),
    tryParseEntry: value => {
      const parsed = claimEntrySchema.safeParse(value);
      return parsed.success ? parsed.data : undefined;
    },
    applyEntry,
    exportState: state => ({nowMs: state.nowMs, claims: [...state.claims]}),
    tryRestoreState: data => {
      const {nowMs, claims} = data as {
        nowMs: number;
        claims: Array<[string, ClaimState]>;
      };
      return {nowMs, claims: new Map(claims)};
    },
  };
}

function applyEntry(
  state: ClaimsState,
  entry: ClaimEntry,
  context: EntryContext,
): EntryOutcome {
  state.nowMs = Math.max(state.nowMs, context.appendedAtMs);
  const position = {offset: context.offset, index: context.index};
  const known = getLiveClaim(state, entry.key);
  switch (entry.kind) {
    case 'claim':
      if (known !== undefined) {
        return {kind: 'rejected', position, reason: 'claimed before'};
      }
      state.claims.set(entry.key, {
        node: entry.node,
        attempt: entry.attempt,
        requestHash: entry.requestHash,
        expiresAtMs: entry.expiresAtMs,
      });
      return {kind: 'accepted', position};
    case 'claim-outcome':
      if (known?.attempt !== entry.attempt) {
        return {kind: 'rejected', position, reason: 'not the holder'};
      }
      known.outcome = {
        verdict: entry.verdict,
        status: entry.status,
        contentType: entry.contentType,
        body: entry.body,
      };
      return {kind: 'accepted', position};
    case 'claim-release':
      if (known?.attempt !== entry.attempt || known.outcome !== undefined) {
        return {kind: 'rejected', position, reason: 'not the holder'};
      }
      state.claims.delete(entry.key);
      return {kind: 'accepted', position};
    default:
      return assertNever(entry);
  }
}

function getLiveClaim(state: ClaimsState, key: string): ClaimState | undefined {
  const known = state.claims.get(key);
  if (known === undefined) return undefined;
  if (known.expiresAtMs > state.nowMs) return known;
  state.claims.delete(key);
  return undefined;
}
