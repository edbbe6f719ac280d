/** Messages between nodes. They are small datagrams; a lost one is repeated or replaced by a later one. */
import {constants as zlib, deflateSync, inflateSync} from 'node:zlib';
import type {UsagePeerMessage} from '../duties';
import type {ToldFactor} from '../capacity';
import type {StageDemand} from '../planning/stage_demand';
import type {OrderedServers} from '../scaling';
import type {SharePlan, ShareReport} from '../shares';
import type {CrashReport} from './crash_evidence';
import type {SpeedEstimates} from './engine_speed_estimator';
import type {QuarantineEntry} from './part_quarantine';
import type {EngineStage, EntryChange, NodeRecord, PromptPart} from './types';

/** A node introduces itself. */
export interface HelloMessage {
  readonly kind: 'hello';
  readonly node: NodeRecord;
  /** True when the receiver should reply with a hello message of its own. */
  readonly wantsReply: boolean;
}

/** The state of the reader, the node that polls the store. */
export interface StateMessage {
  readonly kind: 'state';
  readonly from: string;
  /** Version of the configuration; 0 when there is none. */
  readonly configVersion: number;
  readonly configOffset: number;
  readonly entryOffset: number;
  /** Era of the store to which the offsets belong; 0 when absent, as in messages of earlier versions. */
  readonly era?: number;
  /** Digest of the list of backend servers. */
  readonly digest: string;
  /** Latest changes to the list, oldest first. */
  readonly changes: readonly EntryChange[];
  /** Time since the sender asked the store for this state, in milliseconds. */
  readonly ageMs: number;
  /** Remaining time for which removed entries stay in use, in milliseconds; 0 when there is no grace period. */
  readonly graceMs: number;
  /** Speeds of the engines, as measured by the sender. */
  readonly speeds?: readonly SpeedEstimates[];
  /** Some of the servers that differ from their service, as measured by the sender. */
  readonly serverFactors?: readonly ToldFactor[];
  /** Prompt parts that are kept away from engines. */
  readonly quarantine?: readonly QuarantineEntry[];
}

/** A prompt was sent to a prefill engine. */
export interface PlacedMessage {
  readonly kind: 'placed';
  readonly jobId: string;
  readonly serverId: string;
  readonly costMs: number;
  /** Prompt parts whose KV cache the engine keeps afterwards. */
  readonly parts: readonly PromptPart[];
  /** Predicted time until the prefill ends, in milliseconds; the receiver assumes this end unless notified otherwise. Absent when the sender always announces the end. */
  readonly endsInMs?: number;
  /** Ratio of predicted to nominal time, with `endsInMs`; absent when it is the service's. */
  readonly factor?: number;
}

/** A prefill has not ended yet although its predicted end has passed; a `read` message follows. */
export interface OverdueMessage {
  readonly kind: 'overdue';
  readonly jobId: string;
  /** Engine that prefills the prompt; absent in messages of earlier versions. */
  readonly serverId?: string;
}

/** The time that the prefill of a prompt took, including its wait. */
export interface PrefillSample {
  readonly service: string;
  /** Nominal time, by the speeds stated in the deployments' data sheets, in milliseconds. */
  readonly sheetMs: number;
  readonly observedMs: number;
  /** Ratio of the observed to the nominal time of the prefill without its wait; absent for short ones. */
  readonly ratio?: number;
  /** Uncertainty of `ratio`; absent when small. */
  readonly ratioError?: number;
  /** Prompts in the engine's queue as a fraction of its slots; absent when few. */
  readonly load?: number;
}

/** The prefill of a prompt has ended, or was abandoned. */
export interface ReadMessage {
  readonly kind: 'read';
  readonly jobId: string;
  readonly serverId: string;
  /** False when the prefill was abandoned. */
  readonly isRead: boolean;
  /** The time it took; absent when it is no valid sample of the engine's speed. */
  readonly sample?: PrefillSample;
  /** Decode engine that continues the request. */
  readonly decodeId?: string;
  /** Expected run time of its stream, in milliseconds. */
  readonly runMs?: number;
  /** True when the stream takes up so much of the decode engine that all nodes need to know; otherwise absent. */
  readonly isLongRun?: true;
}

/** A server failed in a way that concerns the other nodes. */
export interface SuspectMessage {
  readonly kind: 'suspect';
  readonly serverId: string;
  readonly reason: string;
}

/** A server reported in a response that it is leaving. */
export interface LeavingMessage {
  readonly kind: 'leaving';
  readonly serverId: string;
  /** Start time of the server's process, in milliseconds since the Unix epoch. */
  readonly startedAtMs: number;
}

/** Work that recently arrived at a node, per second and by service. */
export interface DemandMessage {
  readonly kind: 'demand';
  readonly from: string;
  readonly services: ReadonlyArray<{readonly service: string} & StageDemand>;
  /** The same over a shorter time, of the services whose servers are ordered; absent without such services. */
  readonly recent?: RecentDemand;
  /** Work by client account; absent without accounts and while engines suffice. */
  readonly accounts?: ShareReport;
  /** Engines measured by the sender, in fleets in which a planning node is notified of few prompts. */
  readonly timeFactors?: readonly ToldFactor[];
}

/** The client accounts that exceed their shares; sent while engines are short. */
export interface AccountSharesMessage {
  readonly kind: 'account-shares';
  readonly from: string;
  readonly plan: SharePlan;
}

/** Work that arrived at a node within the last seconds, per second and by service. */
export interface RecentDemand {
  /** Failure domain of the node. */
  readonly failureDomain: string;
  readonly services: ReadonlyArray<{readonly service: string} & StageDemand>;
}

/** The numbers of servers that the acting node has ordered for a service. */
export interface ServersOrderedMessage extends OrderedServers {
  readonly kind: 'servers-ordered';
}

/** An engine was ordered to another stage. */
export interface OrderedMessage {
  readonly kind: 'ordered';
  readonly serverId: string;
  readonly stage: EngineStage;
}

/** The limit of a server's requests, as stated in an answer. */
export interface StatedLimit {
  /** Requests per second from all nodes together; absent when the server states no limit any more. */
  readonly limitPerS?: number;
  /** Time since the server stated this, in milliseconds. */
  readonly ageMs: number;
}

/** What a node has seen of a server's limit, and its requests to the server. */
export interface LimitMessage {
  readonly kind: 'limit';
  readonly from: string;
  readonly serverId: string;
  /** Start time of the server's process, in milliseconds since the Unix epoch. */
  readonly startedAtMs: number;
  /** Absent when the sender knows the limit only from other nodes: passed on, it would appear newer with each message. */
  readonly stated?: StatedLimit;
  /** Decaying count of the sender's requests. */
  readonly recentCount: number;
}

/** An engine broke off young streams of the sender together with their connections. */
export interface CrashMessage extends CrashReport {
  readonly kind: 'crash';
}

/** An engine completed an answer to a prompt with these parts (its own id among them), which recent crashes had cast doubt on. */
export interface SoundMessage {
  readonly kind: 'sound';
  readonly partIds: readonly string[];
}

/** Changes to the prompt parts that are kept away from engines. */
export interface QuarantineMessage {
  readonly kind: 'quarantine';
  readonly entries: readonly QuarantineEntry[];
}

/** Asks whether a node can be reached, or replies that it can. */
export interface ProbeMessage {
  readonly kind: 'probe';
  readonly from: string;
  readonly isReply: boolean;
}

/** A message between nodes. */
export type PeerMessage = (
  | HelloMessage
  | StateMessage
  | PlacedMessage
  | OverdueMessage
  | ReadMessage
  | SuspectMessage
  | LeavingMessage
  | DemandMessage
  | AccountSharesMessage
  | OrderedMessage
  | ServersOrderedMessage
  | LimitMessage
  | ProbeMessage
  | CrashMessage
  | SoundMessage
  | QuarantineMessage
  | UsagePeerMessage
) & {
  /** True when the receiver relays the message to the other nodes of its failure domain. */
  readonly isForPassing?: true | undefined;
};

/** Size from which a datagram is compressed, in bytes: smaller ones fit into one packet. */
const MIN_COMPRESSED_BYTES = 1_200;
/** Maximum size of a message after its decompression, in bytes: many times that of the largest one. */
const MAX_MESSAGE_BYTES = 262_144;
/** First byte of a message that is not compressed. */
const OPENING_BRACE = 0x7b;

/** Encodes a message for a datagram: as JSON, compressed when it is large. */
export function encodeMessage(message: PeerMessage): Buffer {
  const json = Buffer.from(JSON.stringify(message));
  if (json.length < MIN_COMPRESSED_BYTES) return json;
  return deflateSync(json, {level: zlib.Z_BEST_SPEED});
}

const MESSAGE_KINDS = new Set([
  'hello',
  'state',
  'placed',
  'overdue',
  'read',
  'suspect',
  'leaving',
  'demand',
  'account-shares',
  'ordered',
  'servers-ordered',
  'limit',
  'probe',
  'crash',
  'sound',
  'quarantine',
  'usage',
  'usage-ack',
  'usage-done',
]);

/** Decodes a datagram; returns undefined when it is not a message of a known kind. */
export function tryDecodeMessage(datagram: Buffer): PeerMessage | undefined {
  try {
    const json =
      datagram[0] === OPENING_BRACE
        ? datagram
        : inflateSync(datagram, {maxOutputLength: MAX_MESSAGE_BYTES});
    const value = JSON.parse(json.toString('utf8')) as {kind?: string};
    if (!MESSAGE_KINDS.has(value?.kind ?? '')) return undefined;
    return value as PeerMessage;
  } catch {
    // Anyone can send datagrams to the port; the caller counts and logs the invalid ones.
    return undefined;
  }
}
