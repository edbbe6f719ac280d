/** Fold of the stream `control`. It grants each shard's lease to at most one holder at a time. */
import {z} from 'zod';
import {assertNever} from '../runtime';
import type {EntryContext, StreamDefinition} from '../state';
import {
  CONTROL_STREAM,
  type ControlEntry,
  controlEntrySchema,
  type ControlState,
  type Intent,
  type Lease,
  type MoveRecord,
  type RoleTarget,
} from './types';

/**
 * A lease that has not been renewed for this long is treated as if it had never existed, in
 * milliseconds.
 */
const LEASE_RETENTION_MS = 600_000;

/** Definition of the stream `control`: schema and fold. */
export const controlStream: StreamDefinition<ControlState, ControlEntry> = {
  stream: CONTROL_STREAM,
  createState: () => ({
    leases: new Map(),
    intents: new Map(),
    moves: new Map(),
    roles: new Map(),
    nowMs: 0,
    startOffset: 0,
    startedAtMs: undefined,
  }),
  tryParseEntry: value => {
    const parsed = controlEntrySchema.safeParse(value);
    return parsed.success ? parsed.data : undefined;
  },
  applyEntry: (state, entry, context) => {
    state.nowMs = Math.max(state.nowMs, context.appendedAtMs);
    state.startedAtMs ??= context.appendedAtMs;
    const reason = tryApplyEntry(state, entry, context);
    const {offset, index} = context;
    const position = {offset, index};
    if (reason === undefined) return {kind: 'accepted', position};
    return {kind: 'rejected', position, reason};
  },
  exportState,
  tryRestoreState,
  applyGap: (state, offset) => {
    state.startOffset = offset;
    state.startedAtMs = undefined;
  },
  isComplete,
};

/** Returns the lease that a claim of this shard must replace, or undefined when there is none. */
export function tryGetLease(
  state: ControlState,
  shard: string,
): Lease | undefined {
  const lease = state.leases.get(shard);
  if (lease === undefined) return undefined;
  const isPastRetention = state.nowMs - lease.renewedAtMs > LEASE_RETENTION_MS;
  return isPastRetention ? undefined : lease;
}

/**
 * Returns whether all leases are known. After a gap in the log, records of more than
 * `LEASE_RETENTION_MS` must have been read: any lease that still counts was renewed in that time.
 */
function isComplete(state: ControlState): boolean {
  if (state.startOffset === 0) return true;
  if (state.startedAtMs === undefined) return false;
  return state.nowMs - state.startedAtMs > LEASE_RETENTION_MS;
}

/**
 * Applies an entry to the state. Returns the reason when it is rejected, and undefined otherwise.
 */
function tryApplyEntry(
  state: ControlState,
  entry: ControlEntry,
  context: EntryContext,
): string | undefined {
  switch (entry.kind) {
    case 'lease-claim':
      return tryGrantLease(state, entry, context);
    case 'lease-renew':
    case 'lease-release':
    case 'intent':
    case 'intent-result':
    case 'move-progress':
    case 'role-target': {
      const lease = findCurrentLease(state, entry, context);
      if (lease === undefined) return getStaleReason(state, entry.shard);
      return tryApplyAsHolder(state, entry, lease, context);
    }
    case 'control-mark':
      return undefined;
    default:
      return assertNever(entry);
  }
}

function tryGrantLease(
  state: ControlState,
  entry: ControlEntry & {kind: 'lease-claim'},
  context: EntryContext,
): string | undefined {
  const known = tryGetLease(state, entry.shard);
  const term = known?.term ?? 0;
  if (entry.replacesTerm !== term) return getStaleReason(state, entry.shard);
  // The lease may still be valid if the claimant has not read the last renewal.
  const hasMissedRenewal = entry.seenRenewals !== (known?.renewals ?? 0);
  if (hasMissedRenewal && known?.isReleased !== true) {
    return `term ${term} was renewed meanwhile`;
  }
  state.leases.set(entry.shard, {
    shard: entry.shard,
    term: context.offset + 1,
    holder: entry.holder,
    renewals: 0,
    renewedAtMs: context.appendedAtMs,
    isReleased: false,
  });
  return undefined;
}

/**
 * Returns the lease if the writer of the entry holds it. After a gap in the log the grant may be
 * missing; an entry with a newer term is then taken as proof of it. This is safe because no process
 * claims a lease while its own state is incomplete, so the term was granted on a complete state.
 */
function findCurrentLease(
  state: ControlState,
  entry: {shard: string; term: number; holder: string},
  context: EntryContext,
): Lease | undefined {
  const known = tryGetLease(state, entry.shard);
  if (known?.term === entry.term && known.holder === entry.holder) {
    return known.isReleased ? undefined : known;
  }
  const isNewer = entry.term > (known?.term ?? 0);
  if (isComplete(state) || !isNewer) return undefined;
  return {
    shard: entry.shard,
    term: entry.term,
    holder: entry.holder,
    renewals: 0,
    renewedAtMs: context.appendedAtMs,
    isReleased: false,
  };
}

function tryApplyAsHolder(
  state: ControlState,
  entry: Exclude<ControlEntry, {kind: 'lease-claim' | 'control-mark'}>,
  lease: Lease,
  context: EntryContext,
): string | undefined {
  const {appendedAtMs} = context;
  switch (entry.kind) {
    case 'lease-renew':
      state.leases.set(entry.shard, {
        ...lease,
        renewals: entry.renewals,
        renewedAtMs: appendedAtMs,
      });
      return undefined;
    case 'lease-release':
      state.leases.set(entry.shard, {...lease, isReleased: true});
      return undefined;
    case 'intent':
      state.intents.set(entry.command, {
        command: entry.command,
        shard: entry.shard,
        term: entry.term,
        engine: entry.engine,
        order: entry.order,
        loggedAtMs: appendedAtMs,
      });
      return undefined;
    case 'intent-result':
      if (state.intents.delete(entry.command)) return undefined;
      return 'the intent is unknown or already has a result';
    case 'move-progress':
      return tryRecordProgress(state, {
        ...entry.progress,
        shard: entry.shard,
        loggedAtMs: appendedAtMs,
      });
    case 'role-target':
      state.roles.set(entry.engine, {
        engine: entry.engine,
        role: entry.role,
        cause: entry.cause,
        shard: entry.shard,
        loggedAtMs: appendedAtMs,
      });
      return undefined;
    default:
      return assertNever(entry);
  }
}

function tryRecordProgress(
  state: ControlState,
  move: MoveRecord,
): string | undefined {
  const known = state.moves.get(move.clientAccount);
  if (known !== undefined && known.templateVersion > move.templateVersion) {
    return `progress under the newer template version ${known.templateVersion} is already recorded`;
  }
  state.moves.set(move.clientAccount, move);
  return undefined;
}

function getStaleReason(state: ControlState, shard: string): string {
  const lease = tryGetLease(state, shard);
  if (lease === undefined) return 'no lease is known';
  return `term ${lease.term} is held by ${lease.holder}`;
}

const snapshotSchema = z.object({
  leases: z.array(z.custom<Lease>()),
  intents: z.array(z.custom<Intent>()),
  moves: z.array(z.custom<MoveRecord>()),
  /** Missing in snapshots from older versions of the program. */
  roles: z.array(z.custom<RoleTarget>()).default([]),
  nowMs: z.number(),
  startOffset: z.number(),
  startedAtMs: z.number().optional(),
});

function exportState(state: ControlState): z.infer<typeof snapshotSchema> {
  return {
    ...state,
    leases: [...state.leases.values()],
    intents: [...state.intents.values()],
    moves: [...state.moves.values()],
    roles: [...state.roles.values()],
  };
}

function tryRestoreState(data: unknown): ControlState | undefined {
  const parsed = snapshotSchema.safeParse(data);
  if (!parsed.success) return undefined;
  const {leases, intents, moves, roles, ...scalars} = parsed.data;
  return {
    ...scalars,
    startedAtMs: scalars.startedAtMs,
    leases: new Map(leases.map(lease => [lease.shard, lease])),
    intents: new Map(intents.map(intent => [intent.command, intent])),
    moves: new Map(moves.map(move => [move.clientAccount, move])),
    roles: new Map(roles.map(target => [target.engine, target])),
  };
}
