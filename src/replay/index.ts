export {computeGoodputBound} from './goodput_bound';
export type {GoodputBound} from './goodput_bound';
export {checkOutcome, parseOutcomeBounds} from './outcome_bounds';
export {computeClairvoyantPlan} from './clairvoyant_plan';
export type {ClairvoyantPlan} from './clairvoyant_plan';
export {
  COMPARISON_HEADINGS,
  listComparisonRows,
  replayWithBaselines,
} from './comparison';
export type {Comparison} from './comparison';
export {createTrace} from './trace_generator';
export type {TracePhase, TraceSpec} from './trace_generator';
export {getPlannerWeights} from './plan_runner';
export {replayTrace} from './replay';
export {renderReplayHtml} from './report_html';
export {
  computeStatedBounds,
  createLongScenario,
  listScenarios,
  SAFETY_BOUNDS,
} from './scenarios';
export type {Scenario} from './scenarios';
export {formatTrace, parseTrace} from './trace_parser';
export {ReplayPolicy} from './types';
export type {
  Outcome,
  OutcomeBounds,
  ReplayEvent,
  ReplayOptions,
  ReplayResult,
  ReplaySettings,
  SeriesPoint,
  Trace,
  TraceError,
  TraceFault,
  TraceHeader,
  TraceRequest,
  ViolatedBound,
} from './types';
