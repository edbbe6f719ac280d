/** Types of the messages that people get from the command line. */

/** How grave a message is. */
export const MessageCategory = {Error: 'error', Warning: 'warning'} as const;
export type MessageCategory =
  (typeof MessageCategory)[keyof typeof MessageCategory];

/** One kind of message. */
export interface MessageDefinition {
  /** Unique code, such as `AS1203`. */
  readonly code: string;
  readonly category: MessageCategory;
  /** Text with `{0}`, `{1}` for the arguments. */
  readonly template: string;
  readonly cause: string;
  readonly remedy: string;
}

/** A place in a file; line and column count from 1. */
export interface FileLocation {
  readonly file: string;
  readonly line: number;
  readonly column: number;
}

/** A message with its arguments, ready to be shown. */
export interface Message {
  readonly definition: MessageDefinition;
  readonly args: readonly string[];
  readonly location?: FileLocation;
  /** The key of a settings file or template, such as `node.id`. */
  readonly key?: string;
}
