export {compareTimes, createEventRing} from './events';
export type {
  EventInput,
  EventRing,
  EventRingOptions,
  HybridTime,
  TimelineEvent,
} from './events';
export {createLogger, LOG_LEVELS} from './log';
export type {LogFields, Logger, LoggerOptions, LogLevel} from './log';
export {
  createMessage,
  formatMessage,
  getMessageText,
  renderMessagesPage,
} from './message_format';
export {MessageCategory} from './message_types';
export type {FileLocation, Message, MessageDefinition} from './message_types';
export {messages} from './messages';
export {EventKind} from './event_kinds';
export {mergeTimeline, selectEvents} from './timeline';
export type {
  EventPage,
  MergeOptions,
  Timeline,
  TimelineFilter,
  TimelineGap,
} from './timeline';
export {
  formatEngineExplanation,
  formatEventTime,
  formatLeaseExplanation,
  formatRequestExplanation,
} from './timeline_explain';
export {renderTimelineHtml} from './timeline_html';
export {createMetrics} from './metrics';
export type {
  Counter,
  Distribution,
  GaugeSpec,
  Labels,
  Metrics,
  MetricSpec,
} from './metrics_types';
export {createNodeMetrics} from './node_metrics';
export type {
  NodeMetrics,
  NodeMetricsOptions,
  RequestSample,
} from './node_metrics';
export {formatTable, type TableRow} from './table';
export {createRedacted, formatRedacted} from './redaction';
