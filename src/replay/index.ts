export {computeGoodputBound} from './bound';
export type {GoodputBound} from './bound';
export {checkOutcome, parseOutcomeBounds} from './check';
export {computeClairvoyantPlan} from './clairvoyant';
export type {ClairvoyantPlan} from './clairvoyant';
export {
  COMPARISON_HEADINGS,
  listComparisonRows,
  replayWithBaselines,
} from './comparison';
export type {Comparison} from './comparison';
export {createTrace} from './generate';
export type {TracePhase, TraceSpec} from './generate';
export {getWeights} from './plan_host';
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
  MissedBound,
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
} from './types';
