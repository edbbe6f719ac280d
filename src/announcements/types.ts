/** Types of the scope in which prompts are announced. */

/** A node, as far as the scope depends on it. */
export interface NodePlace {
  readonly name: string;
  readonly failureDomain: string;
}

/** An engine, as far as the scope depends on it. */
export interface EnginePlace {
  readonly id: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly stage?: string | undefined;
}

/** The listed engines: the same on all nodes, apart from changes that are under way. */
export interface EngineList {
  listUsable(service: string): readonly EnginePlace[];
  tryGetUsable(id: string): EnginePlace | undefined;
}

/** Expected number of engines of one service and stage that a node considers. */
export interface ScopeSize {
  /** Engines in the node's own failure domain. */
  readonly localEngines: number;
  /** Engines in all other failure domains together. */
  readonly remoteEngines: number;
}
