/** Interfaces of the platform's services: log, VM list and weight store. */
import type {Result} from 'ts-results';

/** Why a call to the platform failed. */
export const PlatformFailureKind = {
  /** No connection, or the service reports that it is unavailable. */
  Unavailable: 'unavailable',
  /** The service did not answer in time. */
  Timeout: 'timeout',
  /** The service limits the rate of calls; try again later. */
  Throttled: 'throttled',
  /** The requested records have expired. */
  Expired: 'expired',
  /** The service answered with another error, for example to a malformed call. */
  Rejected: 'rejected',
} as const;
export type PlatformFailureKind =
  (typeof PlatformFailureKind)[keyof typeof PlatformFailureKind];

/** A failed call to the platform. */
export interface PlatformFailure {
  readonly kind: PlatformFailureKind;
  /** True when the call may have taken effect despite the failure. */
  readonly mayHaveTakenEffect: boolean;
  readonly message: string;
  /** With `expired`: the first offset that the log still keeps. */
  readonly firstOffset?: number;
}

/** One record of the platform's log. */
export interface LogRecord {
  readonly offset: number;
  /** When the log accepted the record, in milliseconds since the Unix epoch on the log's clock. */
  readonly appendedAtMs: number;
  readonly body: string;
}

/** Consecutive records of a stream, as returned by one read. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** First offset that the log still keeps. */
  readonly firstOffset: number;
  /** Offset that the next append will get. */
  readonly endOffset: number;
}

/** Options of a read. */
export interface LogReadOptions {
  readonly maxRecords?: number;
  /** How long the log may hold the read open while there is no record, in milliseconds. */
  readonly waitMs?: number;
}

/** The platform's append-only log: named streams, each with its own offsets. */
export interface LogService {
  /** Appends one record to a stream and returns its offset there. */
  append(
    stream: string,
    body: string,
  ): Promise<Result<number, PlatformFailure>>;
  /**
   * Reads records from `fromOffset` on. Fails with `expired` when the record at that offset has
   * expired.
   */
  read(
    stream: string,
    fromOffset: number,
    options?: LogReadOptions,
  ): Promise<Result<LogPage, PlatformFailure>>;
}

/** State of a VM in the platform's list. */
export const VmState = {Live: 'live', Leaving: 'leaving'} as const;
export type VmState = (typeof VmState)[keyof typeof VmState];

/** One VM in the platform's list: a node of the system or a backend server. */
export interface Vm {
  readonly id: string;
  readonly purpose: 'node' | 'model_engine' | 'service';
  readonly state: VmState;
  readonly failureDomain: string;
  /** Base address of its main listener, such as `http://127.0.0.1:8101`. */
  readonly address: string;
  /** Base address of its listener for other nodes, with purpose `node`. */
  readonly peerAddress?: string;
  /** Base address of its listener for operators, with purpose `node`. */
  readonly operatorAddress?: string;
  readonly region?: string;
  /** Building that the VM stands in; a move takes a client account from one building to another. */
  readonly building?: string;
  /** Name of the plain service, with purpose `service`. */
  readonly service?: string;
  /** True when a model engine refuses commands with an old fencing number. */
  readonly checksFencing?: boolean;
}

/** The platform's list of VMs, which shows changes late. */
export interface VmList {
  list(): Promise<Result<readonly Vm[], PlatformFailure>>;
}

/** Progress of copying a set of model weights to an engine. */
export interface WeightTransfer {
  readonly engine: string;
  readonly weights: string;
  readonly state: 'queued' | 'copying' | 'done';
  /** Fraction copied so far, from 0 to 1. */
  readonly fraction: number;
}

/** The platform's rate-limited store of model weights. */
export interface WeightStore {
  /** Asks for weights to be copied to an engine. Repeating the call has no further effect. */
  prepare(
    engine: string,
    weights: string,
  ): Promise<Result<WeightTransfer, PlatformFailure>>;
  /** Lists the transfers to one engine, or to all. */
  listTransfers(
    engine?: string,
  ): Promise<Result<readonly WeightTransfer[], PlatformFailure>>;
}
