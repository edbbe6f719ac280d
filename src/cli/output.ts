/** Tables, colours and progress bars for people. */
import type {Writable} from 'node:stream';
import {styleText} from 'node:util';
import {formatMessage, type Message} from '../diagnostics';

/** Where a command writes to. */
export interface OutputStream extends Writable {
  readonly isTTY?: boolean;
}

const BAR_WIDTH = 30;

/** Formats bytes or counts of a fraction as a percentage. */
export function formatPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}

/** Formats a time for people, in UTC. */
export function formatTime(wallMs: number): string {
  return new Date(wallMs).toISOString().replace('T', ' ').replace('Z', '');
}

/** Colours a text when the stream is a terminal and NO_COLOR is not set. */
export function formatColoured(
  stream: OutputStream,
  colour: 'red' | 'yellow' | 'green' | 'bold',
  text: string,
): string {
  const isPlain =
    stream.isTTY !== true || process.env['NO_COLOR'] !== undefined;
  return isPlain ? text : styleText(colour, text);
}

/** Prints messages, one a line. */
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

/** Prints a value for programs. */
export function printJson(stream: OutputStream, value: unknown): void {
  stream.write(`${JSON.stringify(value, null, 2)}\n`);
}

/** Shows how far long work has come. */
export interface ProgressBar {
  /** Takes the part done, 0 to 1. */
  update(fraction: number): void;
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
