/** Types of the explanation of where a request would go. */
import type {AccountShares} from '../shares';
import type {CallerAdmission} from '../gateway/caller_admission';
import type {Drain} from '../gateway/drain';
import type {FlowContext} from '../gateway/flow_context';
import type {EngineStage, ModelRequest, RequestKind} from '../gateway/types';

/** The request to explain. It has the name of an account and never a key. */
export interface ExplainRequest {
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly account?: string;
  /** Present for model requests. */
  readonly model?: ModelRequest;
  /** How long the caller waits for the response, in milliseconds. */
  readonly deadlineMs?: number;
  /** Size of the request's body, in bytes; it counts towards the cost of another failure domain. */
  readonly bodyBytes: number;
}

/** A range of times, in milliseconds. */
export interface MsRange {
  readonly min: number;
  readonly max: number;
}

/** What would become of the request. */
export type Outcome =
  | {
      readonly kind: 'send';
      readonly serverId: string;
      /** Absent for plain services. */
      readonly stage?: EngineStage;
    }
  | {
      readonly kind: 'wait';
      /** Predicted wait at this node, and the longest with which the first event comes in time. */
      readonly predictedWaitMs: number;
      readonly budgetMs: number;
    }
  /** The request asks whether a quarantined part of its prompt may be tried. */
  | {readonly kind: 'trial'; readonly partId: string}
  | {
      readonly kind: 'refuse';
      readonly status: number;
      readonly reason: string;
      /** Absent where a retry would be refused as well; a range where the time is chosen at random. */
      readonly retryAfterMs?: MsRange;
    };

/** A backend server of the service, with what the choice depends on; times are in milliseconds. */
export interface CandidateExplanation {
  readonly id: string;
  readonly failureDomain: string;
  readonly stage?: EngineStage;
  readonly isChosen: boolean;
  /** True when it is chosen, or may be chosen at random among near equals. */
  readonly isPossible: boolean;
  /** Why it is not the chosen one; absent for the chosen one. */
  readonly cause?: string;
  /** Probability that the health filter lets it pass, 0 to 1. */
  readonly healthyChance: number;
  readonly pausedMs: number;
  /** Limit that the server states, in requests per second, and the wait for room within it. */
  readonly limitPerS?: number;
  readonly limitWaitMs: number;
  /** Learned time relative to the service; below 1 is faster. */
  readonly timeFactor: number;
  /** Absent for servers that were not compared. */
  readonly waitMs?: number;
  readonly prefillMs?: number;
  readonly cachedTokens?: number;
  readonly answerMs?: number;
  readonly openCount?: number;
  /** Lower is better; the least possible one where a random number is added. */
  readonly score?: number;
}

/** A decode engine to which the prompt would go after its prefill, by what is known now. */
export interface DecodeExplanation {
  readonly id: string;
  readonly score: number;
  readonly isChosen: boolean;
}

/** The account's share, where engines are short and the share does not cover the prompt. */
export type ShareExplanation = NonNullable<
  ReturnType<AccountShares['predictExceeded']>
>;

/** The decision for one service of the route. */
export interface TargetExplanation {
  readonly service: string;
  /** Fraction of the route's requests that the service gets. */
  readonly fraction: number;
  /** All outcomes that random choices can lead to, the one without chance first. */
  readonly outcomes: readonly Outcome[];
  /** False when not all random choices were looked at, such as those among many servers that return from an ejection. */
  readonly isComplete: boolean;
  /** Absent without accounts, or when the share covers the prompt. */
  readonly exceededShare?: ShareExplanation;
  /** Predicted time from sending the prompt to the first event, in milliseconds. */
  readonly workMs?: number;
  readonly candidates: readonly CandidateExplanation[];
  /** Present when the prompt would be prefilled at a prefill engine. */
  readonly decode?: readonly DecodeExplanation[];
}

/** Where a request would go by what one node knows now. */
export interface Explanation {
  /** The node whose view this is. */
  readonly node: string;
  /** Time since the node's state was last known to be current, in milliseconds; null when it never was. */
  readonly stateAgeMs: number | null;
  readonly configVersion: number;
  readonly method: string;
  readonly route?: {
    readonly name: string;
    readonly kind: RequestKind;
    readonly timeoutMs: number;
    readonly objectiveMs: number;
  };
  /** `unchecked` when the configuration has no accounts; `name` is absent for callers of a public route without a known account. */
  readonly account?: {
    readonly kind: 'unchecked' | 'admitted' | 'refused';
    readonly name?: string;
  };
  /** Urgency: the account's rank, or else the route's; 0 is served first. */
  readonly rank?: number;
  /** Time until the deadline of the caller or the time-out of the route, in milliseconds. */
  readonly limitMs?: number;
  /** Present when the request is refused before a service is chosen. */
  readonly refusal?: Outcome;
  readonly targets: readonly TargetExplanation[];
}

/** The state of a gateway that decisions depend on. */
export type ExplainContext = Pick<
  FlowContext,
  | 'nodeName'
  | 'path'
  | 'state'
  | 'clock'
  | 'health'
  | 'pauses'
  | 'limits'
  | 'crashGuard'
  | 'speeds'
  | 'capacities'
  | 'serviceTimes'
  | 'prefillQueues'
  | 'prefixes'
  | 'affinity'
  | 'isHomeCacheWarm'
  | 'streams'
  | 'waitingPrompts'
  | 'shares'
  | 'isChangingStage'
>;

/** Options of an explainer. */
export interface ExplainOptions {
  readonly context: ExplainContext;
  readonly admission: Pick<
    CallerAdmission,
    'authenticateAs' | 'isStateOutdated' | 'getStateAgeMs'
  >;
  readonly drain: Pick<Drain, 'mustRefuse'>;
}
