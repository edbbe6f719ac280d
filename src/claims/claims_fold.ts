/**
 * State of a claims stream, computed from its records: the first claim of a key in log order is
 * granted.
 */
import {z} from 'zod';
import {assertNever} from '../runtime';
import type {
  EntryContext,
  EntryOutcome,
  Position,
  StreamDefinition,
} from '../state';
import {isOutsideWindow} from './claim_key';
import {
  type ClaimEntry,
  claimEntrySchema,
  ClaimRefusal,
  type ClaimState,
  claimStateSchema,
} from './types';

/** State of a claims stream. */
export interface ClaimsState {
  readonly claims: Map<string, ClaimState>;
  /** Keys by the time bucket in which their windows end. */
  readonly keysByExpiryBucket: Map<number, string[]>;
  /** Length of each stored answer in characters, by key, oldest outcome first. */
  readonly answerChars: Map<string, number>;
  totalAnswerChars: number;
  /**
   * Highest append time of the records applied so far, in milliseconds since the Unix epoch on
   * the log's clock.
   */
  nowMs: number;
}

/** Options of a claims stream. */
export interface ClaimsStreamOptions {
  readonly stream: string;
  /** Limit of all stored answers together, in characters; the oldest are dropped first. */
  readonly maxTotalAnswerChars?: number;
}

const DEFAULT_MAX_TOTAL_ANSWER_CHARS = 4 * 1_024 * 1_024;
const EXPIRY_BUCKET_MS = 10_000;

const exportedSchema = z.object({
  nowMs: z.number(),
  claims: z.array(z.tuple([z.string(), claimStateSchema])),
  /** Keys of the claims whose answers are stored, oldest outcome first. */
  kept: z.array(z.string()),
});
type ExportedClaims = z.infer<typeof exportedSchema>;

type EntryOf<Kind extends ClaimEntry['kind']> = Extract<
  ClaimEntry,
  {kind: Kind}
>;

/** Returns the definition of a claims stream. */
export function createClaimsStream(
  options: ClaimsStreamOptions,
): StreamDefinition<ClaimsState, ClaimEntry> {
  const maxTotalAnswerChars =
    options.maxTotalAnswerChars ?? DEFAULT_MAX_TOTAL_ANSWER_CHARS;
  return {
    stream: options.stream,
    createState,
    tryParseEntry: value => {
      const parsed = claimEntrySchema.safeParse(value);
      return parsed.success ? parsed.data : undefined;
    },
    applyEntry: (state, entry, context) =>
      applyEntry(state, entry, context, maxTotalAnswerChars),
    exportState: exportClaims,
    tryRestoreState,
  };
}

/** Returns the claim of a key, if there is one and its window has not ended. */
export function tryGetLiveClaim(
  state: ClaimsState,
  key: string,
): ClaimState | undefined {
  const claim = state.claims.get(key);
  if (claim === undefined || claim.expiresAtMs <= state.nowMs) return undefined;
  return claim;
}

function createState(): ClaimsState {
  return {
    claims: new Map(),
    keysByExpiryBucket: new Map(),
    answerChars: new Map(),
    totalAnswerChars: 0,
    nowMs: 0,
  };
}

function applyEntry(
  state: ClaimsState,
  entry: ClaimEntry,
  context: EntryContext,
  maxTotalAnswerChars: number,
): EntryOutcome {
  sweepExpired(state, context.appendedAtMs);
  const position = {offset: context.offset, index: context.index};
  const refusal = tryApply(state, entry, maxTotalAnswerChars);
  return refusal === undefined
    ? {kind: 'accepted', position}
    : createRejection(position, refusal);
}

function tryApply(
  state: ClaimsState,
  entry: ClaimEntry,
  maxTotalAnswerChars: number,
): ClaimRefusal | undefined {
  const liveClaim = tryGetLiveClaim(state, entry.key);
  switch (entry.kind) {
    case 'claim':
      if (liveClaim !== undefined) return ClaimRefusal.Held;
      return grantClaim(state, entry);
    case 'claim-outcome':
      if (liveClaim?.attempt !== entry.attempt) return ClaimRefusal.NotHolder;
      if (liveClaim.outcome !== undefined) return ClaimRefusal.NotHolder;
      recordOutcome(state, liveClaim, entry, maxTotalAnswerChars);
      return undefined;
    case 'claim-release':
      if (liveClaim?.attempt !== entry.attempt) return ClaimRefusal.NotHolder;
      if (liveClaim.outcome !== undefined) return ClaimRefusal.NotHolder;
      state.claims.delete(entry.key);
      return undefined;
    default:
      return assertNever(entry);
  }
}

function grantClaim(
  state: ClaimsState,
  entry: EntryOf<'claim'>,
): ClaimRefusal | undefined {
  const {keyAtMs, windowMs} = entry;
  if (keyAtMs !== undefined && isOutsideWindow(keyAtMs, windowMs, state.nowMs))
    return ClaimRefusal.Expired;
  addClaim(state, entry.key, {
    node: entry.node,
    attempt: entry.attempt,
    requestHash: entry.requestHash,
    expiresAtMs: (keyAtMs ?? state.nowMs) + windowMs,
  });
  return undefined;
}

function addClaim(state: ClaimsState, key: string, claim: ClaimState): void {
  removeAnswer(state, key);
  state.claims.set(key, claim);
  const bucket = Math.floor(claim.expiresAtMs / EXPIRY_BUCKET_MS);
  const keys = state.keysByExpiryBucket.get(bucket);
  if (keys === undefined) state.keysByExpiryBucket.set(bucket, [key]);
  else keys.push(key);
}

function recordOutcome(
  state: ClaimsState,
  claim: ClaimState,
  entry: EntryOf<'claim-outcome'>,
  maxTotalAnswerChars: number,
): void {
  const {verdict, status, contentType, body} = entry;
  claim.outcome = {verdict, status, contentType, body};
  if (body === undefined) return;
  state.answerChars.set(entry.key, body.length);
  state.totalAnswerChars += body.length;
  for (const key of state.answerChars.keys()) {
    if (state.totalAnswerChars <= maxTotalAnswerChars) return;
    removeAnswer(state, key);
  }
}

/** Drops the stored answer of a key; the claim and its verdict stay. */
function removeAnswer(state: ClaimsState, key: string): void {
  const chars = state.answerChars.get(key);
  if (chars === undefined) return;
  state.answerChars.delete(key);
  state.totalAnswerChars -= chars;
  const claim = state.claims.get(key);
  if (claim?.outcome === undefined) return;
  claim.outcome = {...claim.outcome, body: undefined};
}

/**
 * Advances the state's clock to a record's append time and drops the claims in buckets that have
 * ended. Only the log's clock counts, so that every process drops the same claims.
 */
function sweepExpired(state: ClaimsState, appendedAtMs: number): void {
  const fromBucket = Math.floor(state.nowMs / EXPIRY_BUCKET_MS);
  state.nowMs = Math.max(state.nowMs, appendedAtMs);
  const toBucket = Math.floor(state.nowMs / EXPIRY_BUCKET_MS);
  if (toBucket === fromBucket) return;
  for (const [bucket, keys] of state.keysByExpiryBucket) {
    if (bucket >= toBucket) continue;
    state.keysByExpiryBucket.delete(bucket);
    for (const key of keys) removeIfExpired(state, key);
  }
}

function removeIfExpired(state: ClaimsState, key: string): void {
  const claim = state.claims.get(key);
  if (claim === undefined || claim.expiresAtMs > state.nowMs) return;
  removeAnswer(state, key);
  state.claims.delete(key);
}

function exportClaims(state: ClaimsState): ExportedClaims {
  return {
    nowMs: state.nowMs,
    claims: [...state.claims],
    kept: [...state.answerChars.keys()],
  };
}

function tryRestoreState(data: unknown): ClaimsState | undefined {
  const parsed = exportedSchema.safeParse(data);
  if (!parsed.success) return undefined;
  const state = createState();
  state.nowMs = parsed.data.nowMs;
  for (const [key, claim] of parsed.data.claims) addClaim(state, key, claim);
  for (const key of parsed.data.kept) {
    const chars = state.claims.get(key)?.outcome?.body?.length;
    if (chars === undefined) continue;
    state.answerChars.set(key, chars);
    state.totalAnswerChars += chars;
  }
  return state;
}

function createRejection(position: Position, reason: string): EntryOutcome {
  return {kind: 'rejected', position, reason};
}
