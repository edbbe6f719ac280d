/** Structured logging on winston, with redaction of fields and text. */
import {Writable} from 'node:stream';
import winston from 'winston';
import {createRedacted, formatRedacted} from './redaction';

/** Log levels, from the most to the least severe. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Fields of a log line in addition to its message. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Options of a logger. */
export interface LoggerOptions {
  readonly node: string;
  readonly level?: LogLevel;
  readonly format?: 'json' | 'text';
  /** Receives each line without a line terminator; lines go to standard error when omitted. */
  readonly write?: (line: string) => void;
}

/** Writes log lines, without prompts, responses and keys of callers. */
export interface Logger {
  log(level: LogLevel, message: string, fields?: LogFields): void;
  /** Sets the least severe level that is written, for this logger, its parent and all of its children. */
  setLevel(level: LogLevel): void;
  getLevel(): LogLevel;
  /** Creates a logger that adds the fields to each line, such as `requestId`. */
  createChild(fields: LogFields): Logger;
}

/** Creates a logger that adds the name of the node to each line. */
export function createLogger(options: LoggerOptions): Logger {
  const logger = winston.createLogger({
    level: options.level ?? 'info',
    format: createFormat(options.format ?? 'json'),
    transports: [createTransport(options.write)],
  });
  return createChild({node: options.node});

  function createChild(fields: LogFields): Logger {
    return {
      log: (level, message, more) => {
        const clean = createRedacted({...fields, ...more}) as LogFields;
        logger.log(level, formatRedacted(message), clean);
      },
      setLevel: level => {
        logger.level = level;
      },
      getLevel: () => logger.level as LogLevel,
      createChild: more => createChild({...fields, ...more}),
    };
  }
}

function createFormat(kind: 'json' | 'text'): winston.Logform.Format {
  const {format} = winston;
  const lines = kind === 'text' ? format.printf(formatText) : format.json();
  return format.combine(format.timestamp(), lines);
}

function formatText(info: winston.Logform.TransformableInfo): string {
  const {level, message, timestamp, node, ...fields} = info;
  const rest =
    Object.keys(fields).length === 0 ? '' : ` ${JSON.stringify(fields)}`;
  return `${String(timestamp)} ${String(node)} ${level}: ${String(message)}${rest}`;
}

function createTransport(
  write: ((line: string) => void) | undefined,
): winston.transport {
  if (write === undefined) {
    return new winston.transports.Console({stderrLevels: [...LOG_LEVELS]});
  }
  return new winston.transports.Stream({
    stream: createLineStream(write),
    eol: '',
  });
}

function createLineStream(
  write: (line: string) => void,
): NodeJS.WritableStream {
  return new Writable({
    decodeStrings: false,
    write: (chunk: string, _encoding, callback) => {
      write(chunk);
      callback();
    },
  });
}
