/** Types of the membership protocol: members, digests, rumours and messages between nodes. */
import {z} from 'zod';
import type {Clock} from '../runtime';

/** Status of a member. At equal incarnations a later one in this list overrides an earlier one. */
export const MemberStatus = {
  Alive: 'alive',
  /** Did not answer a probe; becomes dead unless it refutes this within the suspicion time. */
  Suspect: 'suspect',
  Dead: 'dead',
  /** Announced that it stops. */
  Left: 'left',
} as const;
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

const nameSchema = z.string().min(1).max(128);
const addressSchema = z.string().max(256);
const countSchema = z.number().int().nonnegative();

const digestSchema = z.object({
  node: nameSchema,
  /** Base URL of the node's peers listener. */
  address: addressSchema,
  /** Increases when the process restarts and when the node refutes a suspicion. */
  incarnation: countSchema,
  /** Identifies the process: the node's name, a dot and a suffix unique to the process. */
  process: nameSchema,
  /** Increases with each digest; orders the digests of one incarnation. */
  sequence: countSchema,
  state: z.enum(['live', 'leaving']),
  /** Offset of the next record to apply, by stream. */
  offsets: z.record(nameSchema, countSchema),
  /** Requests in flight from this node, by engine; only the engines with the most requests. */
  inFlight: z.record(nameSchema, countSchema),
  /** Requests queued or running on this node. */
  openRequests: countSchema,
  /** Prompt and output tokens that this node admits per second; absent from older versions. */
  demand: z
    .object({
      prefill: z.number().nonnegative(),
      decode: z.number().nonnegative(),
    })
    .optional(),
  /** CPU usage of the whole process, in cores. */
  processCores: z.number().nonnegative(),
});

const rumourSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('member'),
    node: nameSchema,
    /** Omitted when another node reports this one as suspect, dead or left. */
    address: addressSchema.optional(),
    incarnation: countSchema,
    status: z.enum(['alive', 'suspect', 'dead', 'left']),
    process: nameSchema.optional(),
  }),
  z.object({
    kind: z.literal('server-leaving'),
    server: nameSchema,
    /** Increases each time a node renews the report. */
    version: countSchema,
  }),
]);

/** Maximum number of rumours in one message. */
export const MAX_MESSAGE_RUMOURS = 24;

/** Schema of an exchange request and of its answer. */
export const exchangeSchema = z.object({
  digest: digestSchema,
  rumours: z.array(rumourSchema).max(MAX_MESSAGE_RUMOURS),
});

/** Schema of a request to probe a third node. */
export const indirectProbeSchema = z.object({
  node: nameSchema,
  address: addressSchema,
});

/** What a node reports about itself. The load figures are out of date when they are read. */
export type Digest = Readonly<z.infer<typeof digestSchema>>;

/** An update about a node or backend server that gossip spreads; sent a bounded number of times. */
export type Rumour = Readonly<z.infer<typeof rumourSchema>>;

/** An update about one node. */
export type MemberRumour = Extract<Rumour, {kind: 'member'}>;

/** A message between two nodes, request or answer: the sender's digest and some rumours. */
export type Exchange = Readonly<z.infer<typeof exchangeSchema>>;

/** Asks a peer to probe a third node. */
export type IndirectProbe = Readonly<z.infer<typeof indirectProbeSchema>>;

/** A node as this one knows it. */
export interface Member {
  readonly node: string;
  readonly address: string;
  readonly incarnation: number;
  readonly status: MemberStatus;
  /** When it got this status, in milliseconds on this node's monotonic clock. */
  readonly sinceMs: number;
  /** Identifies its process; absent until this node has learned it. */
  readonly process?: string;
}

/** A node of the platform's VM list. */
export interface ListedNode {
  readonly node: string;
  readonly address: string;
}

/** Dependencies of membership: clock, random numbers, transport and this node's load. */
export interface MembershipHost {
  readonly clock: Clock;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  getRandom(): number;
  /** Sends an exchange; resolves with the answer, or undefined when none came in time. */
  sendExchange(
    address: string,
    exchange: Exchange,
  ): Promise<Exchange | undefined>;
  /** Asks a peer to probe a third node; resolves with whether that node answered the peer. */
  sendIndirectProbe(address: string, probe: IndirectProbe): Promise<boolean>;
  /** Returns the digest fields that come from the node's other tasks. */
  getLocalLoad(): LocalLoad;
}

/** The digest fields that the node's other tasks supply. */
export type LocalLoad = Pick<
  Digest,
  'offsets' | 'inFlight' | 'openRequests' | 'demand' | 'processCores'
>;

/** A change of the view, as reported to subscribers. */
export type MembershipChange =
  | {readonly kind: 'member'; readonly member: Member}
  | {readonly kind: 'server-leaving'; readonly server: string}
  | {readonly kind: 'server-back'; readonly server: string};

/** Counters of the messages that membership has sent and answered. */
export interface MembershipCounts {
  exchangesSent: number;
  exchangesAnswered: number;
  indirectProbes: number;
  /** Gossip rounds cut short because the byte budget was used up. */
  gossipRoundsThrottled: number;
}

/** Tracks the other nodes. It grants no rights: a wrong view costs speed, not correctness. */
export interface Membership {
  listMembers(): readonly Member[];
  tryGetMember(node: string): Member | undefined;
  /** Lists the most recently received digests, a bounded number of them, newest last. */
  listDigests(): readonly Digest[];
  isServerLeaving(server: string): boolean;
  listLeavingServers(): readonly string[];
  /** Returns whether a process is known to have ended. */
  isProcessTerminated(process: string): boolean;
  /** Sets the nodes that the platform's VM list names. */
  updateListedNodes(nodes: readonly ListedNode[]): void;
  /** Reports a backend server as leaving; to be repeated for as long as this is observed. */
  reportLeaving(server: string): void;
  /** Answers a peer's exchange. */
  handleExchange(exchange: Exchange): Exchange;
  /** Answers a peer's request to probe a third node. */
  handleIndirectProbe(probe: IndirectProbe): Promise<boolean>;
  subscribe(listener: (change: MembershipChange) => void): () => void;
  getCounts(): Readonly<MembershipCounts>;
  /** Returns how many suspicions of itself this node has refuted. */
  getRefutationCount(): number;
  start(): void;
  /** Tells some peers that this node leaves, then stops. */
  drain(): Promise<void>;
  stop(): void;
}
