/** Formats messages for the terminal and renders the page that lists them. */
import type {FileLocation, Message, MessageDefinition} from './message_types';

/** Options of a message beyond its arguments. */
export interface MessageOptions {
  readonly location?: FileLocation;
  readonly key?: string;
}

export function createMessage(
  definition: MessageDefinition,
  args: readonly string[] = [],
  options: MessageOptions = {},
): Message {
  return {definition, args, ...options};
}

/** Returns the text of a message without its location, category and code. */
export function getMessageText(message: Message): string {
  return message.definition.template.replace(
    /\{(\d+)\}/g,
    (_, index: string) => message.args[Number(index)] ?? '',
  );
}

/** Formats a message as one line, such as `node.toml:3:1 - error AS1101: unknown key 'nod'`. */
export function formatMessage(message: Message): string {
  const {definition, location} = message;
  const text = `${definition.category} ${definition.code}: ${getMessageText(message)}`;
  if (location === undefined) return text;
  return `${location.file}:${location.line}:${location.column} - ${text}`;
}

/** Returns the text of docs/operators/messages.md. */
export function renderMessagesPage(
  definitions: readonly MessageDefinition[],
): string {
  const lines = [
    '# Messages',
    '',
    'Generated from `src/diagnostics/messages.ts` by `npm run docs`. In the texts, `{0}`, `{1}` and so on stand for the arguments of the message.',
  ];
  const sorted = [...definitions].sort((left, right) =>
    left.code < right.code ? -1 : 1,
  );
  for (const item of sorted) {
    lines.push(
      '',
      `## ${item.code}`,
      '',
      `${item.category}: \`${item.template}\``,
      '',
      `- Cause: ${item.cause}`,
      `- Remedy: ${item.remedy}`,
    );
  }
  return `${lines.join('\n')}\n`;
}
