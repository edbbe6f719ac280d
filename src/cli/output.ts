/** Formats and prints output: times, percentages, colours, messages, JSON and progress bars. */
import type {Writable} from 'node:stream';
import {styleText} from 'node:util';
import {formatMessage, type Message} from '../diagnostics';

/** Output stream of a command, such as standard output. */
export interface OutputStream extends Writable {
  readonly isTTY?: boolean;
}

const BAR_WIDTH = 30;

/** Formats a fraction (0 to 1) as a percentage. */
export function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}

/** Formats milliseconds since the Unix epoch as a readable UTC time. */
export function formatTime(wallMs: number): string {
  return new Date(wallMs).toISOString().replace('T', ' ').replace('Z', '');
}

/** Returns the text with colour codes when the stream is a terminal and NO_COLOR is not set. */
export function formatColoured(
  stream: OutputStream,
  colour: 'red' | 'yellow' | 'green' | 'bold',
  text: string,
): string {
  const isPlain =
    stream.isTTY !== true || process.env['NO_COLOR'] !== undefined;
  return isPlain ? text : styleText(colour, text);
}

/** Prints messages, one per line. */
export function printMessages(
  stream: OutputStream,
  messages: readonly Message[],
): void {
  for (const message of messages) {
    const text = formatMessage(message);
    const {category} = message.definition;
    const colour = category === 'error' ? 'red' : 'yellow';
    stream.write(
      `${text.replace(category, formatColoured(stream, colour, category))}\n`,
    );
  }
}

/** Prints a value as indented JSON. */
export function printJson(stream: OutputStream, value: unknown): void {
  stream.write(`${JSON.stringify(value, null, 2)}\n`);
}

/** Shows the progress of a long operation. */
export interface ProgressBar {
  /** Shows the fraction done, 0 to 1. */
  update(fraction: number): void;
  /** Clears the progress bar. */
  stop(): void;
}

/** Creates a progress bar; it shows nothing when the stream is not a terminal. */
export function createProgressBar(
  stream: OutputStream,
  label: string,
): ProgressBar {
  if (stream.isTTY !== true) {
    return {update: () => undefined, stop: () => undefined};
  }
  return {
    update: fraction => {
      const filled = Math.round(Math.min(1, Math.max(0, fraction)) * BAR_WIDTH);
      const bar = '#'.repeat(filled).padEnd(BAR_WIDTH, '.');
      stream.write(`\r${label} [${bar}] ${formatPercent(fraction)}`);
    },
    stop: () => void stream.write('\r\u001b[K'),
  };
}
