export {createAnswerBudget} from './answer_budget';
export {createBodyBudget} from './body_budget';
export {createByteCollector} from './byte_collector';
export {computeMemoryLimits, NO_MEMORY_LIMITS} from './memory_limits';
export {createReadTurns, type ReadTurns} from './read_turns';
export {computeReadLimitMs} from './read_limit';
export {UnreadReason} from './types';
export type {
  AnswerBudget,
  BodyBudget,
  HeldBody,
  MemoryLimits,
  SlowAnswer,
} from './types';
