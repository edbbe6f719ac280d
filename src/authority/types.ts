/** Types of control authority: leases, intents, commands and the progress of moves. */
import {z} from 'zod';
import type {EngineOrder, EngineReport, EngineRole} from '../backends';

/** Name of the stream that holds leases, intents and progress. */
export const CONTROL_STREAM = 'control';

/** Shard of what concerns no single failure domain, such as the moves of client accounts. */
export const FLEET_SHARD = 'fleet';

const authoritySchema = {
  shard: z.string().min(1),
  /** Term of the lease that the writer acts under. */
  term: z.number().int().positive(),
  /** Process incarnation that holds the lease. */
  holder: z.string().min(1),
};

const orderSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('set-role'),
    role: z.enum(['prefill', 'decode', 'mixed']),
  }),
  z.object({kind: z.literal('load-model'), model: z.string()}),
  z.object({kind: z.literal('unload-model'), model: z.string()}),
  z.object({kind: z.literal('load-adapter'), adapter: z.string()}),
  z.object({kind: z.literal('set-version'), version: z.string()}),
  z.object({kind: z.literal('set-draining'), isDraining: z.boolean()}),
]) satisfies z.ZodType<EngineOrder>;

const progressSchema = z.object({
  clientAccount: z.string().min(1),
  templateVersion: z.number().int().nonnegative(),
  stage: z.string().min(1),
  enteredAtMs: z.number(),
  isComplete: z.boolean(),
  cause: z.string(),
});

/** Schema of the entries of the stream `control`. */
export const controlEntrySchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('lease-claim'),
    shard: z.string().min(1),
    holder: z.string().min(1),
    /** Term that the claim replaces; 0 when there is none. */
    replacesTerm: z.number().int().nonnegative(),
    /** Renewals of that term that the claimant has read. */
    seenRenewals: z.number().int().nonnegative(),
  }),
  z.object({
    kind: z.literal('lease-renew'),
    ...authoritySchema,
    /** Counts the term's renewals, from 1. */
    renewals: z.number().int().positive(),
  }),
  z.object({kind: z.literal('lease-release'), ...authoritySchema}),
  z.object({
    kind: z.literal('intent'),
    ...authoritySchema,
    command: z.string().min(1),
    engine: z.string().min(1),
    order: orderSchema,
  }),
  z.object({
    kind: z.literal('intent-result'),
    ...authoritySchema,
    command: z.string().min(1),
    result: z.enum(['done', 'failed', 'undone']),
    cause: z.string(),
  }),
  z.object({
    kind: z.literal('move-progress'),
    ...authoritySchema,
    progress: progressSchema,
  }),
  z.object({
    kind: z.literal('role-target'),
    ...authoritySchema,
    engine: z.string().min(1),
    role: z.enum(['prefill', 'decode', 'mixed']),
    cause: z.string(),
  }),
  /** Says nothing; its place in the log tells how old the records before it are. */
  z.object({kind: z.literal('control-mark')}),
]);

/** An entry of the stream `control`. */
export type ControlEntry = z.infer<typeof controlEntrySchema>;

/** A shard's lease as folded. */
export interface Lease {
  readonly shard: string;
  /** Fencing number of the holder's commands: one more than the granting record's offset. */
  readonly term: number;
  readonly holder: string;
  readonly renewals: number;
  /** When the log took the grant or the last renewal, in milliseconds since the Unix epoch. */
  readonly renewedAtMs: number;
  /** True when the holder has given it up. */
  readonly isReleased: boolean;
}

/** A command that was announced and has no result yet. */
export interface Intent {
  readonly command: string;
  readonly shard: string;
  readonly term: number;
  readonly engine: string;
  readonly order: EngineOrder;
  /** When the log took it last, in milliseconds since the Unix epoch. */
  readonly loggedAtMs: number;
}

/** Where a client account's move stands. */
export interface MoveRecord extends z.infer<typeof progressSchema> {
  /** Shard whose holder logged it. */
  readonly shard: string;
  /** When the log took it last, in milliseconds since the Unix epoch. */
  readonly loggedAtMs: number;
}

/** The role that an engine is to have, whoever commands it. */
export interface RoleTarget {
  readonly engine: string;
  readonly role: EngineRole;
  readonly cause: string;
  /** Shard whose holder logged it. */
  readonly shard: string;
  /** When the log took it last, in milliseconds since the Unix epoch. */
  readonly loggedAtMs: number;
}

/** State of the stream `control`. */
export interface ControlState {
  readonly leases: Map<string, Lease>;
  /** Intents without a result, by command. */
  readonly intents: Map<string, Intent>;
  /** Progress of moves, by client account. */
  readonly moves: Map<string, MoveRecord>;
  /** Roles that engines are to have, by engine. */
  readonly roles: Map<string, RoleTarget>;
  /** When the log took the last record, in milliseconds since the Unix epoch. */
  nowMs: number;
  /** First offset read since the last gap; 0 without one. */
  startOffset: number;
  /** When the first record after the gap was taken. */
  startedAtMs: number | undefined;
}

/** The right to command the engines of a shard, until it lapses. */
export interface Authority {
  readonly shard: string;
  /** Fencing number. */
  readonly term: number;
  /** When this process was granted the term, on its monotonic clock. */
  readonly grantedAtMs: number;
  /** True when the predecessor released the lease, or there was none. */
  readonly isHandedOver: boolean;
}

/** Holds, renews and challenges the lease of one shard. */
export interface LeaseManager {
  readonly shard: string;
  /** Returns the authority that this process has at this moment. */
  tryGetAuthority(): Authority | undefined;
  start(): void;
  /** Stops renewing and challenging, as a crash would. */
  stop(): void;
  /** Gives the lease up, so that a successor need not wait. */
  release(): Promise<void>;
}

/** What became of a command. */
export type CommandResult =
  /** The engine reports the state that the order chose. */
  | {readonly kind: 'done'}
  /** Nothing was sent. */
  | {readonly kind: 'not-sent'; readonly cause: string}
  /** The engine may be in either state; the intent stays until it has been probed. */
  | {readonly kind: 'unresolved'; readonly cause: string}
  /** The engine refused, or did not reach the state within the retries. */
  | {readonly kind: 'failed'; readonly cause: string};

/** Sends commands under a lease. */
export interface CommandSender {
  /**
   * Sends an order; one at a time to each engine. An order to load weights is not sent before the
   * weight store has copied them: submit it early, and again until it is done.
   */
  submit(engine: string, order: EngineOrder): Promise<CommandResult>;
  /** Finishes the intents without a result that no command here is in progress for. */
  settleIntents(): Promise<void>;
  /** Returns whether a command to the engine is in progress. */
  isBusy(engine: string): boolean;
  /** Returns how many engines have a command in progress. */
  countBusy(): number;
  /**
   * Repeats the last order to each engine whose report shows that a command of a predecessor could
   * come or has come late: one that does not check fencing numbers and is in another state, or one
   * that has lost its fencing number in a crash.
   */
  retryLastOrders(reports: readonly EngineReport[]): void;
  /** Closes the connections to the engines, so that nothing written arrives later. */
  close(): void;
}

/** An order for one engine, with its reason. */
export interface PlannedOrder {
  readonly engine: string;
  readonly order: EngineOrder;
  /** Why, for a person. */
  readonly cause: string;
}

/** Decides what to command while the lease is held. */
export interface ControlPolicy {
  /**
   * Returns the orders of this tick. `reports` are those of the shard's engines and may be seconds
   * old; `nowMs` is wall time. Orders for an engine with a command in progress are dropped, so the
   * host repeats an order until the reports show its effect.
   */
  decide(
    state: ControlState,
    reports: readonly EngineReport[],
    nowMs: number,
  ): readonly PlannedOrder[];
  /** Called when this process gains or loses the authority. */
  onAuthorityChange?(authority: Authority | undefined): void;
}
