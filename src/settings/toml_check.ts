/** Validates TOML against a schema and reports every error with its location. */
import {parse, TomlError} from 'smol-toml';
import {Err, Ok, type Result} from 'ts-results';
import {z} from 'zod';
import {createMessage, type Message, messages} from '../diagnostics';
import {listKnownKeys} from './schema_keys';
import {tryGetNearestName} from './nearest_name';
import {
  collectKeyPositions,
  getKeyPosition,
  type KeyPositions,
} from './toml_positions';

/** A parsed TOML file with the positions of its keys. */
export interface TomlDocument {
  readonly file: string;
  readonly value: Readonly<Record<string, unknown>>;
  readonly positions: KeyPositions;
}

/** Parses a TOML text; the error gives the location of the first syntax error. */
export function parseToml(
  file: string,
  text: string,
): Result<TomlDocument, readonly Message[]> {
  try {
    const value = parse(text);
    return Ok({file, value, positions: collectKeyPositions(text)});
  } catch (error) {
    return Err([createSyntaxError(file, error)]);
  }
}

/** Validates a parsed file; returns the value with the defaults filled in, or all errors. */
export function checkToml<T extends z.ZodType>(
  document: TomlDocument,
  schema: T,
): Result<z.infer<T>, readonly Message[]> {
  const parsed = schema.safeParse(document.value);
  if (parsed.success) return Ok(parsed.data);
  const issues = parsed.error.issues as z.core.$ZodIssue[];
  const intendedKeys = listIntendedKeys(schema, issues);
  return Err(
    issues
      .filter(
        issue =>
          !intendedKeys.has(formatKey(issue.path)) ||
          getValueAt(document.value, issue.path) !== undefined,
      )
      .flatMap(issue => createIssueErrors(document, schema, issue)),
  );
}

/**
 * Returns the known keys that misspelt ones are closest to. These are not
 * reported as missing as well, since the misspelt key already is.
 */
function listIntendedKeys(
  schema: z.ZodType,
  issues: readonly z.core.$ZodIssue[],
): Set<string> {
  const names = new Set<string>();
  for (const issue of issues) {
    if (issue.code !== 'unrecognized_keys') continue;
    for (const name of issue.keys) {
      const known = listKnownKeys(schema, issue.path);
      const nearest = tryGetNearestName(name, known);
      if (nearest !== undefined) names.add(formatKey([...issue.path, nearest]));
    }
  }
  return names;
}

/** Creates a message located at the key with the given path. */
export function createMessageAt(
  document: TomlDocument,
  path: readonly PropertyKey[],
  definition: Message['definition'],
  args: readonly string[],
): Message {
  const position = getKeyPosition(document.positions, path);
  return createMessage(definition, args, {
    location: {file: document.file, ...position},
    key: formatKey(path),
  });
}

/** Formats the path of a key, such as `operator[0].name`. */
export function formatKey(path: readonly PropertyKey[]): string {
  let text = '';
  for (const part of path) {
    if (typeof part === 'number') text += `[${part}]`;
    else text += text === '' ? String(part) : `.${String(part)}`;
  }
  return text;
}

/** Orders messages by line and column; messages without a location compare as equal. */
export function compareByLocation(left: Message, right: Message): number {
  if (left.location === undefined || right.location === undefined) return 0;
  return (
    left.location.line - right.location.line ||
    left.location.column - right.location.column
  );
}

function createSyntaxError(file: string, error: unknown): Message {
  const isSyntax = error instanceof TomlError;
  const text = error instanceof Error ? error.message : String(error);
  const location = {
    file,
    line: isSyntax ? error.line : 1,
    column: isSyntax ? error.column : 1,
  };
  const summary = text.split('\n')[0].replace('Invalid TOML document: ', '');
  return createMessage(messages.TomlSyntaxError, [summary], {location});
}

function createIssueErrors(
  document: TomlDocument,
  schema: z.ZodType,
  issue: z.core.$ZodIssue,
): Message[] {
  const {path} = issue;
  const key = formatKey(path);
  switch (issue.code) {
    case 'unrecognized_keys':
      return issue.keys.map(name =>
        createUnknownKeyError(document, schema, path, name),
      );
    case 'invalid_type':
      return [createTypeError(document, path, issue.expected)];
    case 'too_small':
      return [
        createRangeError(document, path, `at least ${String(issue.minimum)}`, {
          isExclusive: issue.inclusive === false,
          origin: issue.origin,
          bound: `more than ${String(issue.minimum)}`,
        }),
      ];
    case 'too_big':
      return [
        createRangeError(document, path, `at most ${String(issue.maximum)}`, {
          isExclusive: issue.inclusive === false,
          origin: issue.origin,
          bound: `less than ${String(issue.maximum)}`,
        }),
      ];
    case 'invalid_value':
      return [createChoiceError(document, path, issue.values.map(String))];
    case 'invalid_format':
      return [
        createMessageAt(document, path, messages.InvalidFormat, [
          key,
          getFormatText(issue.format, issue.message),
        ]),
      ];
    default:
      return [
        createMessageAt(document, path, messages.InvalidValue, [
          key,
          issue.message,
        ]),
      ];
  }
}

function createUnknownKeyError(
  document: TomlDocument,
  schema: z.ZodType,
  path: readonly PropertyKey[],
  name: string,
): Message {
  const nearest = tryGetNearestName(name, listKnownKeys(schema, path));
  const hint = nearest === undefined ? '' : `; did you mean '${nearest}'?`;
  const fullPath = [...path, name];
  return createMessageAt(document, fullPath, messages.UnknownKey, [
    formatKey(fullPath),
    hint,
  ]);
}

function createTypeError(
  document: TomlDocument,
  path: readonly PropertyKey[],
  expected: string,
): Message {
  const found = getValueAt(document.value, path);
  const key = formatKey(path);
  if (found === undefined) {
    return createMessageAt(document, path, messages.MissingKey, [
      key,
      getTypeText(expected),
    ]);
  }
  return createMessageAt(document, path, messages.WrongType, [
    key,
    getTypeText(expected),
    getFoundTypeText(found),
  ]);
}

interface RangeBound {
  readonly isExclusive: boolean;
  readonly origin: string;
  readonly bound: string;
}

function createRangeError(
  document: TomlDocument,
  path: readonly PropertyKey[],
  inclusive: string,
  range: RangeBound,
): Message {
  const text = range.isExclusive ? range.bound : inclusive;
  const unit =
    range.origin === 'string'
      ? ' characters'
      : range.origin === 'array'
        ? ' elements'
        : '';
  return createMessageAt(document, path, messages.OutOfRange, [
    formatKey(path),
    `${text}${unit}`,
  ]);
}

function createChoiceError(
  document: TomlDocument,
  path: readonly PropertyKey[],
  choices: readonly string[],
): Message {
  const found = getValueAt(document.value, path);
  const key = formatKey(path);
  const list = choices.map(choice => `"${choice}"`).join(', ');
  if (found === undefined) {
    return createMessageAt(document, path, messages.MissingKey, [
      key,
      `one of ${list}`,
    ]);
  }
  const nearest =
    typeof found === 'string' ? tryGetNearestName(found, choices) : undefined;
  const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
  return createMessageAt(document, path, messages.InvalidChoice, [
    key,
    list,
    hint,
  ]);
}

function getValueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  let current = value;
  for (const part of path) {
    if (typeof current !== 'object' || current === null) return undefined;
    current = (current as Record<PropertyKey, unknown>)[part];
  }
  return current;
}

const TYPE_TEXTS: Readonly<Record<string, string>> = {
  string: 'a text in quotes',
  number: 'a number',
  int: 'a whole number',
  boolean: 'true or false',
  array: 'a list',
  object: 'a table',
};

function getTypeText(type: string): string {
  return TYPE_TEXTS[type] ?? type;
}

/** Describes the type of a value. Never shows the value, because it may be a secret under the wrong key. */
function getFoundTypeText(value: unknown): string {
  if (Array.isArray(value)) return TYPE_TEXTS['array'];
  if (value instanceof Date) return 'a date without quotes';
  if (typeof value === 'number' && !Number.isInteger(value)) {
    return 'a number with a fraction';
  }
  return getTypeText(typeof value);
}

const FORMAT_TEXTS: Readonly<Record<string, string>> = {
  url: 'an address such as http://127.0.0.1:7001',
  datetime: 'a time such as 2026-12-04T18:00:00+01:00',
};

/** Returns the description of an expected format. For patterns that is the message given in the schema. */
function getFormatText(format: string, message: string): string {
  return FORMAT_TEXTS[format] ?? message;
}
