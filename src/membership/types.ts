/** Types of membership: which nodes there are, and what they tell one another. */
import {z} from 'zod';
import type {Clock} from '../runtime';

/** What a node believes of another. A later one in this list wins at equal incarnations. */
export const MemberStatus = {
  Alive: 'alive',
  /** It did not answer; it has some seconds to say that it lives. */
  Suspect: 'suspect',
  Dead: 'dead',
  /** It said that it ends. */
  Left: 'left',
} as const;
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

const nameSchema = z.string().min(1).max(128);
const addressSchema = z.string().max(256);
const countSchema = z.number().int().nonnegative();

const digestSchema = z.object({
  node: nameSchema,
  /** Base address of the node's listener for peers. */
  address: addressSchema,
  /** Grows when the process restarts and when it refutes a suspicion. */
  incarnation: countSchema,
  /** Names the process. */
  process: nameSchema,
  /** Counts the digests of this incarnation. */
  sequence: countSchema,
  state: z.enum(['live', 'leaving']),
  /** Offset of the next record to apply, by stream. */
  offsets: z.record(nameSchema, countSchema),
  /** Requests in flight from this node, by engine; the busiest ones. */
  inFlight: z.record(nameSchema, countSchema),
  /** Requests that wait or run at this node. */
  openRequests: countSchema,
  /** Prompt and output tokens that this node admits in a second; absent from an older program. */
  demand: z
    .object({
      prefill: z.number().nonnegative(),
      decode: z.number().nonnegative(),
    })
    .optional(),
  /** Processor time of the whole process, in parts of one core. */
  processCores: z.number().nonnegative(),
});

const rumourSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('member'),
    node: nameSchema,
    /** Absent in news of a node that does not answer. */
    address: addressSchema.optional(),
    incarnation: countSchema,
    status: z.enum(['alive', 'suspect', 'dead', 'left']),
    process: nameSchema.optional(),
  }),
  z.object({
    kind: z.literal('server-leaving'),
    server: nameSchema,
    /** Grows with each renewal of the sign. */
    version: countSchema,
  }),
]);

/** Most rumours in one message. */
export const MAX_MESSAGE_RUMOURS = 24;

/** Schema of an exchange and of its answer. */
export const exchangeSchema = z.object({
  digest: digestSchema,
  rumours: z.array(rumourSchema).max(MAX_MESSAGE_RUMOURS),
});

/** Schema of a request to probe a third node. */
export const indirectProbeSchema = z.object({
  node: nameSchema,
  address: addressSchema,
});

/** What a node tells of itself. Load in it is old by the time it is read. */
export type Digest = Readonly<z.infer<typeof digestSchema>>;

/** News that is passed on a bounded number of times. */
export type Rumour = Readonly<z.infer<typeof rumourSchema>>;

/** News of one node. */
export type MemberRumour = Extract<Rumour, {kind: 'member'}>;

/** A node's digest and some rumours, in both directions. */
export type Exchange = Readonly<z.infer<typeof exchangeSchema>>;

/** Asks a node to probe another one. */
export type IndirectProbe = Readonly<z.infer<typeof indirectProbeSchema>>;

/** A node as this one knows it. */
export interface Member {
  readonly node: string;
  readonly address: string;
  readonly incarnation: number;
  readonly status: MemberStatus;
  /** Since when it has this status, on the monotonic clock. */
  readonly sinceMs: number;
  /** Names its process, as far as known. */
  readonly process?: string;
}

/** A node of the platform's VM list. */
export interface ListedNode {
  readonly node: string;
  readonly address: string;
}

/** What membership uses of the outside. */
export interface MembershipHost {
  readonly clock: Clock;
  /** Returns a number from 0 up to and without 1. */
  getRandom(): number;
  /** Sends an exchange; resolves with the answer, or undefined when none came in time. */
  sendExchange(
    address: string,
    exchange: Exchange,
  ): Promise<Exchange | undefined>;
  /** Asks a peer to probe a third node; resolves with whether it answered the peer. */
  sendIndirectProbe(address: string, probe: IndirectProbe): Promise<boolean>;
  /** Returns what the digest holds beside the node's name and counters. */
  getLocalLoad(): LocalLoad;
}

/** The part of a digest that comes from the node's other tasks. */
export type LocalLoad = Pick<
  Digest,
  'offsets' | 'inFlight' | 'openRequests' | 'demand' | 'processCores'
>;

/** A change that membership has noticed. */
export type MembershipChange =
  | {readonly kind: 'member'; readonly member: Member}
  | {readonly kind: 'server-leaving'; readonly server: string}
  | {readonly kind: 'server-back'; readonly server: string};

/** What membership has cost, for metrics. */
export interface MembershipCounts {
  exchangesSent: number;
  exchangesAnswered: number;
  indirectProbes: number;
  gossipRoundsThrottled: number;
}

/** Knows the other nodes. It grants nothing: a wrong view costs speed only. */
export interface Membership {
  listMembers(): readonly Member[];
  tryGetMember(node: string): Member | undefined;
  /** Lists the digests heard most recently, a bounded number, newest last. */
  listDigests(): readonly Digest[];
  isServerLeaving(server: string): boolean;
  listLeavingServers(): readonly string[];
  /** Returns whether a process is known to have ended. */
  isProcessGone(process: string): boolean;
  /** Takes the nodes of the VM list. */
  updateListedNodes(nodes: readonly ListedNode[]): void;
  /** Takes a sign that a backend server leaves; repeat it while the sign is there. */
  reportLeaving(server: string): void;
  /** Answers a peer's exchange. */
  handleExchange(exchange: Exchange): Exchange;
  /** Answers a peer's request to probe a third node. */
  handleIndirectProbe(probe: IndirectProbe): Promise<boolean>;
  subscribe(listener: (change: MembershipChange) => void): () => void;
  getCounts(): Readonly<MembershipCounts>;
  /** Returns how often this node has had to say that it lives. */
  getRefutationCount(): number;
  start(): void;
  /** Tells some peers that this node ends, then stops. */
  drain(): Promise<void>;
  stop(): void;
}
