/** Interfaces of the platform's services: log, VM list and weight store. */
import type {Result} from 'ts-results';

/** Why a call to the platform failed. */
export const PlatformFailureKind = {
  /** No connection, or the service says that it is down. */
  Unavailable: 'unavailable',
  /** No answer in time. */
  Timeout: 'timeout',
  /** Too many calls; try again later. */
  Throttled: 'throttled',
  /** The records asked for have expired. */
  Expired: 'expired',
  /** The service refused the call as malformed. */
  Rejected: 'rejected',
} as const;
export type PlatformFailureKind =
  (typeof PlatformFailureKind)[keyof typeof PlatformFailureKind];

/** A failed call to the platform. */
export interface PlatformFailure {
  readonly kind: PlatformFailureKind;
  /** True when the call may have taken effect all the same. */
  readonly mayHaveTakenEffect: boolean;
  readonly message: string;
  /** With `expired`: the first offset that is still kept. */
  readonly firstOffset?: number;
}

/** One record of the platform's log. */
export interface LogRecord {
  readonly offset: number;
  /** When the log took the record, in milliseconds since the Unix epoch on the log's clock. */
  readonly appendedAtMs: number;
  readonly body: string;
}

/** A run of consecutive records. */
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
  /** How long the log may wait for a record when there is none, in milliseconds. */
  readonly waitMs?: number;
}

/** The platform's append-only log: named streams, each with offsets of its own. */
export interface LogService {
  /** Appends one record to a stream and returns its offset there. */
  append(
    stream: string,
    body: string,
  ): Promise<Result<number, PlatformFailure>>;
  /** Reads records from `fromOffset` on. Fails with `expired` when that offset is gone. */
  read(
    stream: string,
    fromOffset: number,
    options?: LogReadOptions,
  ): Promise<Result<LogPage, PlatformFailure>>;
}

/** State of a VM in the platform's lagging list. */
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
  /** The building it stands in; the move of a client account goes from one to another. */
  readonly building?: string;
  /** Name of the plain service, with purpose `service`. */
  readonly service?: string;
  /** True when a model engine refuses commands with an old fencing number. */
  readonly checksFencing?: boolean;
}

/** The platform's lagging list of VMs. */
export interface VmList {
  list(): Promise<Result<readonly Vm[], PlatformFailure>>;
}

/** State of a set of model weights at one engine. */
export interface WeightTransfer {
  readonly engine: string;
  readonly weights: string;
  readonly state: 'queued' | 'copying' | 'done';
  /** Part copied so far, 0 to 1. */
  readonly fraction: number;
}

/** The platform's rate-limited store of model weights. */
export interface WeightStore {
  /** Asks for weights to be copied to an engine; asking again has no further effect. */
  prepare(
    engine: string,
    weights: string,
  ): Promise<Result<WeightTransfer, PlatformFailure>>;
  /** Lists the transfers to one engine, or to all. */
  listTransfers(
    engine?: string,
  ): Promise<Result<readonly WeightTransfer[], PlatformFailure>>;
}
