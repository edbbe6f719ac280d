/** Structured logs. */
import winston from 'winston';

/** Levels of the log, from the most to the least severe. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Options of a logger. */
export interface LoggerOptions {
  readonly node: string;
  readonly level?: LogLevel;
  readonly format?: 'json' | 'text';
}

/** Writes log lines to standard error. Values never hold callers' text or keys. */
export interface Logger {
  log(
    level: LogLevel,
    message: string,
    fields?: Readonly<Record<string, unknown>>,
  ): void;
  setLevel(level: LogLevel): void;
}

/** Creates a logger. */
export function createLogger(options: LoggerOptions): Logger {
  const {format} = winston;
  const text = format.printf(info => {
    const {level, message, timestamp, node, ...fields} = info;
    const rest =
      Object.keys(fields).length === 0 ? '' : ` ${JSON.stringify(fields)}`;
    return `${String(timestamp)} ${String(node)} ${level}: ${String(message)}${rest}`;
  });
  const logger = winston.createLogger({
    level: options.level ?? 'info',
    defaultMeta: {node: options.node},
    format: format.combine(
      format.timestamp(),
      options.format === 'text' ? text : format.json(),
    ),
    transports: [
      new winston.transports.Console({stderrLevels: [...LOG_LEVELS]}),
    ],
  });
  return {
    log: (level, message, fields) => void logger.log(level, message, fields),
    setLevel: level => {
      logger.level = level;
    },
  };
}
