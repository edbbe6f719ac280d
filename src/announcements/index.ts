export {
  createPromptScope,
  DEFAULT_SCOPE_SIZE,
  MIN_SCOPED_PEERS,
} from './prompt_scope';
export type {PromptScope, PromptScopeOptions} from './prompt_scope';
export type {EngineList, EnginePlace, NodePlace, ScopeSize} from './types';
