/** Messages between nodes: small, repeated or replaceable when one is lost. */
import type {StageDemand} from '../planning/stage_demand';
import type {SpeedEstimates} from './engine_speed_estimator';
import type {EngineStage, EntryChange, NodeRecord, PromptPart} from './types';

/** A node says that it is there. */
export interface HelloMessage {
  readonly kind: 'hello';
  readonly node: NodeRecord;
  /** True when the receiver should say hello as well. */
  readonly wantsReply: boolean;
}

/** What the node that reads the store knows. */
export interface StateMessage {
  readonly kind: 'state';
  readonly from: string;
  /** Version of the configuration; 0 when there is none. */
  readonly configVersion: number;
  readonly configOffset: number;
  readonly entryOffset: number;
  /** Digest of the list of backend servers. */
  readonly digest: string;
  /** Latest changes of the list, oldest first. */
  readonly changes: readonly EntryChange[];
  /** How long ago the sender asked the store for this, in milliseconds. */
  readonly ageMs: number;
  /** How long vanished entries are still used, in milliseconds; 0 when not. */
  readonly graceMs: number;
  /** Speeds of the engines as the sender has measured them. */
  readonly speeds?: readonly SpeedEstimates[];
}

/** A prompt was sent to an engine. */
export interface PlacedMessage {
  readonly kind: 'placed';
  readonly jobId: string;
  readonly serverId: string;
  readonly costMs: number;
  /** Parts that the engine keeps afterwards. */
  readonly parts: readonly PromptPart[];
  /** Predicted time until it is read, in milliseconds; the receiver takes it as read then unless told otherwise. Absent when the end is always told. */
  readonly endsInMs?: number;
}

/** A prompt is not read although its predicted end is over; `read` follows. */
export interface OverdueMessage {
  readonly kind: 'overdue';
  readonly jobId: string;
}

/** What reading a prompt took, its wait included. */
export interface ReadSample {
  readonly service: string;
  /** Time by the sheets' speeds, in milliseconds. */
  readonly sheetMs: number;
  readonly observedMs: number;
}

/** A prompt was read or given up. */
export interface ReadMessage {
  readonly kind: 'read';
  readonly jobId: string;
  readonly serverId: string;
  /** False when the prompt was given up. */
  readonly isRead: boolean;
  /** What it took; absent when it says nothing about the engine. */
  readonly sample?: ReadSample;
  /** Decode engine that goes on with it. */
  readonly decodeId?: string;
  /** How long its stream is expected to run, in milliseconds. */
  readonly runMs?: number;
}

/** A server failed in a way that other nodes should know of. */
export interface SuspectMessage {
  readonly kind: 'suspect';
  readonly serverId: string;
  readonly reason: string;
}

/** A server said in an answer that it leaves. */
export interface LeavingMessage {
  readonly kind: 'leaving';
  readonly serverId: string;
  /** Start of the server's process, in milliseconds since the Unix epoch. */
  readonly startedAtMs: number;
}

/** Work that arrived at a node lately, by service, as of a second. */
export interface DemandMessage {
  readonly kind: 'demand';
  readonly from: string;
  readonly services: ReadonlyArray<{readonly service: string} & StageDemand>;
}

/** An engine was ordered to another stage. */
export interface OrderedMessage {
  readonly kind: 'ordered';
  readonly serverId: string;
  readonly stage: EngineStage;
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
  | OrderedMessage
) & {
  /** True when the receiver passes the message on to the other nodes of its failure domain. */
  readonly isForPassing?: true | undefined;
};

/** Encodes a message for a datagram. */
export function encodeMessage(message: PeerMessage): Buffer {
  return Buffer.from(JSON.stringify(message));
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
  'ordered',
]);

/** Decodes a datagram; returns undefined when it is no message of this version. */
export function tryDecodeMessage(datagram: Buffer): PeerMessage | undefined {
  try {
    const value = JSON.parse(datagram.toString('utf8')) as {kind?: string};
    if (!MESSAGE_KINDS.has(value?.kind ?? '')) return undefined;
    return value as PeerMessage;
  } catch {
    // Anyone can send datagrams; the caller counts those that are none of ours.
    return undefined;
  }
}
