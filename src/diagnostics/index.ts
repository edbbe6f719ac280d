export {compareTimes, createEventRing} from './events';
export type {
  EventInput,
  EventRing,
  EventRingOptions,
  HybridTime,
  TimelineEvent,
} from './events';
export {createLogger, LOG_LEVELS} from './log';
export type {Logger, LoggerOptions, LogLevel} from './log';
