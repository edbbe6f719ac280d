/** Types of control authority: leases, intents, commands and the progress of moves. */
import {z} from 'zod';
import type {EngineOrder, EngineReport, EngineRole} from '../backends';

/** Name of the stream with leases, intents, role targets and the progress of moves. */
export const CONTROL_STREAM = 'control';

/** Shard for decisions beyond a single failure domain, such as the moves of client accounts. */
export const FLEET_SHARD = 'fleet';

const authoritySchema = {
  shard: z.string().min(1),
  /** Term of the lease that the writer acts under. */
  term: z.number().int().positive(),
  /** Incarnation of the process that holds the lease. */
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
    /** Term of the lease that the claim replaces; 0 when there is none. */
    replacesTerm: z.number().int().nonnegative(),
    /** Number of the last renewal of that term that the claimant has read. */
    seenRenewals: z.number().int().nonnegative(),
  }),
  z.object({
    kind: z.literal('lease-renew'),
    ...authoritySchema,
    /** Number of this renewal within the term, starting at 1. */
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
  /** Has no effect; its append time shows how old the records before it are. */
  z.object({kind: z.literal('control-mark')}),
]);

/** An entry of the stream `control`. */
export type ControlEntry = z.infer<typeof controlEntrySchema>;

/** A shard's lease, as folded from the log. */
export interface Lease {
  readonly shard: string;
  /** Fencing number of the holder's commands: the offset of the granting record plus one. */
  readonly term: number;
  readonly holder: string;
  /** Number of the last renewal; 0 before the first one. */
  readonly renewals: number;
  /** When the grant or the last renewal was appended, in milliseconds since the Unix epoch. */
  readonly renewedAtMs: number;
  /** True when the holder has released the lease. */
  readonly isReleased: boolean;
}

/** A command whose intent is logged and whose result is not. */
export interface Intent {
  readonly command: string;
  readonly shard: string;
  readonly term: number;
  readonly engine: string;
  readonly order: EngineOrder;
  /** When the intent was last appended to the log, in milliseconds since the Unix epoch. */
  readonly loggedAtMs: number;
}

/** Progress of a client account's move. */
export interface MoveRecord extends z.infer<typeof progressSchema> {
  /** Shard whose lease holder logged it. */
  readonly shard: string;
  /** When the progress was last appended to the log, in milliseconds since the Unix epoch. */
  readonly loggedAtMs: number;
}

/** Target role of an engine. It outlives the holder of the lease that logged it. */
export interface RoleTarget {
  readonly engine: string;
  readonly role: EngineRole;
  readonly cause: string;
  /** Shard whose lease holder logged it. */
  readonly shard: string;
  /** When the target was last appended to the log, in milliseconds since the Unix epoch. */
  readonly loggedAtMs: number;
}

/** Folded state of the stream `control`. */
export interface ControlState {
  /** Leases by shard. */
  readonly leases: Map<string, Lease>;
  /** Intents without a result, by command. */
  readonly intents: Map<string, Intent>;
  /** Progress of moves, by client account. */
  readonly moves: Map<string, MoveRecord>;
  /** Target roles, by engine. */
  readonly roles: Map<string, RoleTarget>;
  /** When the last record was appended, in milliseconds since the Unix epoch. */
  nowMs: number;
  /** First offset read after the last gap in the log; 0 when there was none. */
  startOffset: number;
  /** When the first record after the gap was appended, in milliseconds since the Unix epoch. */
  startedAtMs: number | undefined;
}

/** The right to command the engines of a shard until the lease lapses. */
export interface Authority {
  readonly shard: string;
  /** Fencing number. */
  readonly term: number;
  /** When this process was granted the term, in milliseconds on its monotonic clock. */
  readonly grantedAtMs: number;
  /** True when the previous holder had released the lease, or there was none. */
  readonly isHandedOver: boolean;
}

/** Claims and renews the lease of one shard for this process. */
export interface LeaseManager {
  readonly shard: string;
  /** Returns the authority while this process holds the lease. */
  tryGetAuthority(): Authority | undefined;
  start(): void;
  /** Stops renewing and claiming without releasing the lease, as in a crash. */
  stop(): void;
  /** Stops and releases the lease, so that a successor need not wait until it lapses. */
  release(): Promise<void>;
}

/** Result of a command. */
export type CommandResult =
  /** The engine reports the ordered state. */
  | {readonly kind: 'done'}
  /** Nothing was sent. */
  | {readonly kind: 'not-sent'; readonly cause: string}
  /**
   * The state of the engine is unknown; the intent stays in the log until a lease holder settles
   * it.
   */
  | {readonly kind: 'unresolved'; readonly cause: string}
  /** The engine refused the command, or did not reach the ordered state, in all attempts. */
  | {readonly kind: 'failed'; readonly cause: string};

/** Sends commands while the lease is held. */
export interface CommandSender {
  /**
   * Sends an order; at most one is in progress for each engine. An order to load weights is not sent
   * before the weight store has copied them: submit it early, and again until the result is `done`.
   */
  submit(engine: string, order: EngineOrder): Promise<CommandResult>;
  /** Settles the logged intents without a result, except those of commands in progress here. */
  settleIntents(): Promise<void>;
  /** Returns whether a command to the engine is in progress. */
  isBusy(engine: string): boolean;
  /** Returns how many engines have a command in progress. */
  countBusy(): number;
  /**
   * Repeats the last orders to engines that may have accepted, or may still accept, a late command of
   * a previous holder: engines that do not check fencing numbers and report another state, and
   * engines that have lost their fencing number in a crash.
   */
  retryLastOrders(reports: readonly EngineReport[]): void;
  /** Closes the connections to the engines, so that no command in flight arrives later. */
  close(): void;
}

/** An order for one engine, with its reason. */
export interface PlannedOrder {
  readonly engine: string;
  readonly order: EngineOrder;
  /** Reason, for operators. */
  readonly cause: string;
}

/** Decides which orders to send while the lease is held. */
export interface ControlPolicy {
  /**
   * Returns the orders of this tick. `reports` are those of the shard's engines and may be seconds
   * old; `nowMs` is wall-clock time. Orders for an engine with a command in progress are dropped, so
   * the policy must repeat an order until the reports show its effect.
   */
  decide(
    state: ControlState,
    reports: readonly EngineReport[],
    nowMs: number,
  ): readonly PlannedOrder[];
  /** Called when this process gains or loses the authority. */
  onAuthorityChange?(authority: Authority | undefined): void;
}
