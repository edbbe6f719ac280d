export {computeGoodputBound} from './bound';
export type {GoodputBound} from './bound';
export {checkOutcome, parseOutcomeBounds} from './check';
export {createTrace} from './generate';
export type {TracePhase, TraceSpec} from './generate';
export {replayTrace} from './replay';
export {createLongScenario, listScenarios, SAFETY_BOUNDS} from './scenarios';
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
