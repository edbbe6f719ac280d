/** Finds the positions of keys in a valid TOML text, which the TOML parser does not report. */

/** Line and column, both counted from 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** Positions of keys, by path such as `operator.0.name`. */
export type KeyPositions = ReadonlyMap<string, TextPosition>;

const KEY_PART_PATTERN = /\s*(?:"((?:[^"\\]|\\.)*)"|'([^']*)'|([\w-]+))\s*/y;

/** Returns the positions of tables and their keys. Keys inside inline tables are not included. */
export function collectKeyPositions(text: string): KeyPositions {
  const positions = new Map<string, TextPosition>();
  const arrayLengths = new Map<string, number>();
  const lineStarts = listLineStarts(text);
  let table: readonly string[] = [];
  let index = 0;
  while (index < text.length) {
    index = findNextToken(text, index);
    if (index >= text.length) break;
    if (text[index] === '[') readHeader();
    else readKey();
  }
  return positions;

  function readHeader(): void {
    const start = index;
    const isArray = text.startsWith('[[', index);
    const {path, end} = parseKeyPath(text, index + (isArray ? 2 : 1));
    table = resolvePath(path, isArray);
    addPosition(table, start);
    index = findLineEnd(text, end);
  }

  function readKey(): void {
    const {path, end} = parseKeyPath(text, index);
    addPosition([...table, ...path], index);
    index = findValueEnd(text, end);
  }

  /** Inserts, after the name of each array of tables, the index of the element that a header refers to. */
  function resolvePath(path: readonly string[], isArray: boolean): string[] {
    const resolved: string[] = [];
    path.forEach((part, partIndex) => {
      resolved.push(part);
      const name = resolved.join('.');
      const length = arrayLengths.get(name) ?? 0;
      if (isArray && partIndex === path.length - 1) {
        arrayLengths.set(name, length + 1);
        resolved.push(String(length));
      } else if (length > 0) {
        resolved.push(String(length - 1));
      }
    });
    return resolved;
  }

  function addPosition(path: readonly string[], offset: number): void {
    for (let length = path.length; length > 0; length--) {
      const name = path.slice(0, length).join('.');
      if (!positions.has(name)) {
        positions.set(name, getPosition(lineStarts, offset));
      }
    }
  }
}

/** Returns the position of a key, or of the innermost enclosing table with a known position. */
export function getKeyPosition(
  positions: KeyPositions,
  path: readonly PropertyKey[],
): TextPosition {
  for (let length = path.length; length > 0; length--) {
    const name = path.slice(0, length).map(String).join('.');
    const position = positions.get(name);
    if (position !== undefined) return position;
  }
  return {line: 1, column: 1};
}

function parseKeyPath(
  text: string,
  start: number,
): {path: string[]; end: number} {
  const path: string[] = [];
  let end = start;
  for (;;) {
    KEY_PART_PATTERN.lastIndex = end;
    const match = KEY_PART_PATTERN.exec(text);
    if (match === null) return {path, end: end + 1};
    path.push(match[1] ?? match[2] ?? match[3]);
    end = KEY_PART_PATTERN.lastIndex;
    if (text[end] !== '.') return {path, end};
    end++;
  }
}

/** Returns the offset of the line end after the value that follows `start`; the value may span several lines. */
function findValueEnd(text: string, start: number): number {
  let depth = 0;
  let index = start;
  while (index < text.length) {
    const character = text[index];
    if (character === '"' || character === "'") {
      index = findStringEnd(text, index);
      continue;
    }
    if (character === '#') {
      index = findLineEnd(text, index);
      continue;
    }
    if (character === '[' || character === '{') depth++;
    if (character === ']' || character === '}') depth--;
    if (character === '\n' && depth <= 0) return index;
    index++;
  }
  return index;
}

function findStringEnd(text: string, start: number): number {
  const quote = text[start];
  const isMultiline = text.startsWith(quote.repeat(3), start);
  const delimiter = isMultiline ? quote.repeat(3) : quote;
  let index = start + delimiter.length;
  while (index < text.length && !text.startsWith(delimiter, index)) {
    index += quote === '"' && text[index] === '\\' ? 2 : 1;
  }
  return index + delimiter.length;
}

function findNextToken(text: string, start: number): number {
  let index = start;
  while (index < text.length) {
    if (text[index] === '#') index = findLineEnd(text, index);
    else if (/\s/.test(text[index])) index++;
    else break;
  }
  return index;
}

function findLineEnd(text: string, start: number): number {
  const end = text.indexOf('\n', start);
  return end < 0 ? text.length : end;
}

function listLineStarts(text: string): number[] {
  const starts = [0];
  for (let index = 0; index < text.length; index++) {
    if (text[index] === '\n') starts.push(index + 1);
  }
  return starts;
}

function getPosition(
  lineStarts: readonly number[],
  offset: number,
): TextPosition {
  let line = 0;
  while (line + 1 < lineStarts.length && lineStarts[line + 1] <= offset) line++;
  return {line: line + 1, column: offset - lineStarts[line] + 1};
}
