export {buildExplanation} from './explain';
export {formatExplanation} from './format';
export {parseExplainRequest} from './parse_request';
export {
  createExplainResponder,
  EXPLAIN_PATH,
  type ExplainResponder,
} from './responder';
export type {
  CandidateExplanation,
  Explanation,
  ExplainContext,
  ExplainOptions,
  ExplainRequest,
  Outcome,
  TargetExplanation,
} from './types';
