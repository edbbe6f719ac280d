/** Types of a client account's move from one building to another. */
import type {AccountMove, MoveStage, ServerSelector} from '../../state';

/** Where a client account's move stands, as folded from the log. */
export interface MoveProgress {
  readonly clientAccount: string;
  /** Version of the template under which the stage was entered. */
  readonly templateVersion: number;
  /** Name of the stage entered last. */
  readonly stage: string;
  /** When it was entered, in milliseconds since the Unix epoch. */
  readonly enteredAtMs: number;
  /** True when the stage has done its part and its gate held. */
  readonly isComplete: boolean;
  readonly cause: string;
}

/** What requests of a client account came to in a window of time. */
export interface AccountWindow {
  readonly requests: number;
  /** Answered within their deadline. */
  readonly inDeadline: number;
  /** Failed for a reason of ours, not of the caller's. */
  readonly failed: number;
  /** Requests in progress that may use backend servers of the origin. */
  readonly openAtOrigin: number;
}

/** What an engine of the destination still lacks. */
export interface DestinationEngine {
  readonly engine: string;
  readonly missingModels: readonly string[];
  readonly missingAdapters: readonly string[];
}

/** What the planner knows of one client account's move. */
export interface MoveObservation {
  readonly clientAccount: string;
  readonly templateVersion: number;
  readonly move: AccountMove;
  /** Absent while no stage has been entered. */
  readonly progress: MoveProgress | undefined;
  /** Wall time, in milliseconds since the Unix epoch. */
  readonly nowMs: number;
  /** The account's requests over the gate's window; undefined when too few nodes answered. */
  readonly window: AccountWindow | undefined;
  /** Engines of the next or current stage's destination, with what they lack. */
  readonly destination: readonly DestinationEngine[];
}

/** What the planner decides. */
export type MoveDecision =
  /** Nothing changes; the cause says what the move waits for. */
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
  /** The destination is to load what it lacks. */
  | {
      readonly kind: 'prepare';
      readonly stage: MoveStage;
      readonly engines: readonly DestinationEngine[];
      readonly cause: string;
    };

/** The servers for one request, and those to use when none of them is available. */
export interface MoveServers {
  readonly servers: ServerSelector;
  readonly fallback?: ServerSelector;
}
