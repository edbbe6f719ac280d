/** Types of the client accounts' shares of the engines. */

/** Work of an account that arrives per second. */
export interface AccountWork {
  /** Empty for callers without an account. */
  readonly account: string;
  readonly rank: number;
  /** Predicted engine time per second, in milliseconds. */
  readonly workMs: number;
}

/** What a node has seen in the last seconds of the work for the engines, or for a plain service. */
export interface PoolReport {
  /** The accounts with the most work at the node. */
  readonly accounts: readonly AccountWork[];
  /** Work per second of all other accounts of a rank, in milliseconds. */
  readonly rest: ReadonlyArray<Omit<AccountWork, 'account'>>;
  /** Work per second that was sent to engines, in milliseconds. */
  readonly startedMs: number;
  /** True when prompts waited or were refused. */
  readonly isShort: boolean;
}

/** A node's report: the work for the engines, and for plain services. */
export interface ShareReport extends PoolReport {
  /** Plain services whose servers were full; absent while there are none. */
  readonly services?: ReadonlyArray<PoolReport & {readonly service: string}>;
}

/** The share of an account whose work exceeds it. */
export interface AccountShare {
  readonly account: string;
  readonly rank: number;
  /** Fraction of the account's work that its share covers, 0 to 1. */
  readonly fraction: number;
}

/** The accounts over their shares, and the work behind it. */
export interface PoolPlan {
  readonly shares: readonly AccountShare[];
  /** Work of all accounts that arrives per second, in milliseconds. */
  readonly arrivedMs: number;
  /** Work that engines receive per second, in milliseconds. */
  readonly startedMs: number;
}

/** The accounts over their shares of the engines, and of plain services. */
export interface SharePlan extends PoolPlan {
  readonly services?: ReadonlyArray<PoolPlan & {readonly service: string}>;
}
