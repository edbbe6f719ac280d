/** Types of the coded messages that the command line and the log print. */

/** Severity of a message. */
export const MessageCategory = {Error: 'error', Warning: 'warning'} as const;
export type MessageCategory =
  (typeof MessageCategory)[keyof typeof MessageCategory];

/** Definition of a message: its code, text, cause and remedy. */
export interface MessageDefinition {
  /** Unique code, such as `AS1203`. */
  readonly code: string;
  readonly category: MessageCategory;
  /** Text with placeholders `{0}`, `{1}` for the arguments. */
  readonly template: string;
  readonly cause: string;
  readonly remedy: string;
}

/** A location in a file; line and column are counted from 1. */
export interface FileLocation {
  readonly file: string;
  readonly line: number;
  readonly column: number;
}

/** A message with its arguments. */
export interface Message {
  readonly definition: MessageDefinition;
  readonly args: readonly string[];
  readonly location?: FileLocation;
  /** The key of a settings file or template that the message is about, such as `node.id`. */
  readonly key?: string;
}
