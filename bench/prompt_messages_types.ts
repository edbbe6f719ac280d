/** Types of the model in `prompt_messages_model.ts`. */
import type {ScopeSize} from '../src/announcements';
import type {PeerMessage} from '../src/gateway/peer_messages';

/** How nodes learn of each other's prompts. */
export type Policy =
  /** Each prompt is announced to all nodes. */
  | {readonly kind: 'all'}
  | {readonly kind: 'none'}
  /** As `all`, but messages are collected for this time and sent together. */
  | {readonly kind: 'batch'; readonly windowMs: number}
  /** Each prompt is announced to the nodes that consider the engine. */
  | {readonly kind: 'scope'; readonly size: ScopeSize}
  /**
   * Each prompt is announced to the engine's home VM only, which reports its queue to all nodes.
   * With `isAsked`, a node asks the home VM for the wait before it sends the prompt.
   */
  | {
      readonly kind: 'home';
      readonly reportMs: number;
      readonly isAsked: boolean;
    };

/** Which prompts and ends are announced. */
export interface AnnouncementRule {
  /** Shortest prefill that is announced, in milliseconds. */
  readonly minPrefillMs: number;
  /** True when an end that differs little from the prediction is not announced. */
  readonly assumesEnds: boolean;
}

/** Options of a run. */
export interface ModelOptions {
  readonly nodes: number;
  readonly policy: Policy;
  readonly seed: number;
  readonly durationMs: number;
  /** Work of the prompts without caches as a fraction of the engines' capacity. */
  readonly load: number;
  /** Skew of the load over nodes: standard deviation of its logarithm. */
  readonly skew?: number;
  /** A third of the nodes and engines are lost halfway, together with what they know. */
  readonly losesDomain?: boolean;
  /** Prefill engines for each node. */
  readonly enginesPerNode?: number;
  /** Rule by which prompts and ends are announced; by default that of the fleet's size. */
  readonly rule?: AnnouncementRule;
  readonly minRelayedNodes?: number;
  /** Called for each message about a prompt that a node sends itself or receives. */
  readonly onMessage?: (event: MessageEvent) => void;
}

/** A message about a prompt at one node. */
export interface MessageEvent {
  readonly node: number;
  readonly atMs: number;
  readonly isSent: boolean;
  /** As received: marked where the node relays it. */
  readonly message: PeerMessage;
}

/** Result of a run. */
export interface ModelResult {
  readonly prompts: number;
  /** Fraction of the prompts that were prefilled within their objectives. */
  readonly goodput: number;
  /** Fraction that was refused because the predicted time exceeded the objective. */
  readonly refused: number;
  /** Mean difference between the actual and the predicted end, in milliseconds. */
  readonly errorMs: number;
  readonly p99Ms: number;
  /** Fraction of the prompt tokens that were cached. */
  readonly cached: number;
  /** Datagrams received for each prompt, over all nodes. */
  readonly messagesPerPrompt: number;
  /** Datagrams between failure domains for each prompt. */
  readonly remotePerPrompt: number;
  /** Datagrams that the busiest node sends and receives in a second. */
  readonly busiestPerS: number;
  /** Index of the busiest node. */
  readonly busiestNode: number;
}
