/** Types of a client account's move from one building to another. */
import type {AccountMove, MoveStage, ServerSelector} from '../../state';

/** Progress of a client account's move, as folded from the log. */
export interface MoveProgress {
  readonly clientAccount: string;
  /** Version of the template under which the stage was entered. */
  readonly templateVersion: number;
  /** Name of the stage that was entered last. */
  readonly stage: string;
  /** Time when it was entered, in milliseconds since the Unix epoch. */
  readonly enteredAtMs: number;
  /** True when the work of the stage is done and its gate has passed. */
  readonly isComplete: boolean;
  /** Reason of the last change, for operators. */
  readonly cause: string;
}

/** Request counts of a client account over a time window. */
export interface AccountWindow {
  /** Requests that have ended, without those that failed because of the caller. */
  readonly requests: number;
  /** Answered within their deadline. */
  readonly inDeadline: number;
  /** Failed for a reason other than the caller. */
  readonly failed: number;
  /** Requests in flight that may use backend servers of the origin. */
  readonly openAtOrigin: number;
}

/** An engine of the destination, with the models and adapters that it has yet to load. */
export interface DestinationEngine {
  readonly engine: string;
  readonly missingModels: readonly string[];
  readonly missingAdapters: readonly string[];
}

/** Input of the planner for one client account's move. */
export interface MoveObservation {
  readonly clientAccount: string;
  readonly templateVersion: number;
  readonly move: AccountMove;
  /** Undefined while no stage has been entered. */
  readonly progress: MoveProgress | undefined;
  /** Wall-clock time, in milliseconds since the Unix epoch. */
  readonly nowMs: number;
  /** The account's request counts over the gate's window; undefined when too few nodes answered. */
  readonly window: AccountWindow | undefined;
  /** Engines of the destination of the stage in progress, or of the next stage. */
  readonly destination: readonly DestinationEngine[];
}

/** Next step of a move. */
export type MoveDecision =
  /** No change; the cause says what the move waits for. */
  | {readonly kind: 'wait'; readonly cause: string}
  | {
      readonly kind: 'enter';
      readonly stage: MoveStage;
      readonly cause: string;
    }
  | {
      readonly kind: 'complete';
      readonly stage: MoveStage;
      readonly cause: string;
    }
  /** The engines must load their missing models and adapters first. */
  | {
      readonly kind: 'prepare';
      readonly stage: MoveStage;
      readonly engines: readonly DestinationEngine[];
      readonly cause: string;
    };

/** The servers for one request, and the fallback servers for when none of them is available. */
export interface MoveServers {
  readonly servers: ServerSelector;
  readonly fallback?: ServerSelector;
}
