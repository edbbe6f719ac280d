/** Types of duties: calls to the platform that one node at a time makes for the whole fleet. */
import type {Result} from 'ts-results';
import type {StoreFailure} from '../gateway/types';
import type {ServerOrder} from '../scaling';

/** Kind of a duty. */
export const DutyKind = {Usage: 'usage', Scaling: 'scaling'} as const;
export type DutyKind = (typeof DutyKind)[keyof typeof DutyKind];

/** A grant of authority to this node. */
export interface Grant {
  readonly fencingNumber: number;
  /** True while orders and duty calls may be sent; false after this node was suspended for too long. */
  isValid(): boolean;
}

/** Why authority was not granted. */
export interface Denial {
  /** `held`: by another node; `lost`: another node was faster; `released`: this node gave the authority up for some time. */
  readonly reason: 'unavailable' | 'held' | 'lost' | 'released';
  readonly message: string;
}

/** Acquires authority for a short time, when there are calls to make. */
export interface Authority {
  /** Acquires a grant of its own for each call; concurrent calls share one. */
  tryAcquire(): Promise<Result<Grant, Denial>>;
  /** Records that another node was granted authority, as that node states. */
  recordGrant(fencingNumber: number): void;
  /** Ends this node's grants and acquires none for a time, in milliseconds, so that another node can take over. */
  release(forMs: number): void;
}

/** Number of requests that began to run in a window, by client account. */
export interface UsageReport {
  /** Number of the window: its start in Unix time divided by the length of a window. */
  readonly windowId: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** A usage report as it was written to the store before it was sent. */
export interface UsageRecord extends UsageReport {
  readonly fencingNumber: number;
}

/** Usage records read from the store. */
export interface UsagePage {
  readonly records: readonly UsageRecord[];
  /** Offset of the next record. */
  readonly endOffset: number;
}

/** The store's topic of usage records. */
export interface UsageStore {
  /** Reads all records from an offset on, or from the first one kept if that is later. */
  readUsage(fromOffset: number): Promise<Result<UsagePage, StoreFailure>>;
  /** Appends records if the topic still ends at `expectedEndOffset`, and fails with `conflict` if not; returns the new end. */
  appendUsage(
    records: readonly UsageRecord[],
    expectedEndOffset: number,
  ): Promise<Result<number, StoreFailure>>;
}

/** Who makes a call, and by which grant. */
export interface DutyCaller {
  readonly holder: string;
  readonly fencingNumber: number;
  /** Checked right before the call is written to its connection; when false, the call is not sent. */
  isValid(): boolean;
}

/** Why a call to the platform failed. */
export interface DutyFailure {
  /** `fenced`: a higher fencing number was seen; `none-available`: no such server is to be had; `limited`: too many calls; `expired`: the grant ended before the call was sent. */
  readonly kind:
    'fenced' | 'none-available' | 'limited' | 'expired' | 'unavailable';
  /** True when the call may have been carried out, or may still be. */
  readonly mayHaveTakenEffect: boolean;
  readonly message: string;
}

/** The platform's interface for duties. */
export interface DutyClient {
  sendUsage(
    report: UsageReport,
    caller: DutyCaller,
  ): Promise<Result<void, DutyFailure>>;
  sendServerOrder(
    order: ServerOrder,
    caller: DutyCaller,
  ): Promise<Result<void, DutyFailure>>;
  close(): void;
}
