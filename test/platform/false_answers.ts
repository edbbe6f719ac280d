/** Answers of a faulty server in bytes, which the HTTP library would not write. */

/**
 * `early` answers 200 without a length while the request is still being written, sends part of the
 * body and resets the connection. The others are whole answers with an invalid status or version,
 * with 101 although no caller asked for another protocol, or with 204 and a body of a stated length
 * or in chunks.
 */
export const FALSE_ANSWERS = [
  'early',
  'status-000',
  'status-099',
  'status-101',
  'status-600',
  'status-999',
  'http-0.9',
  'body-204',
  'chunked-204',
] as const;
export type FalseAnswer = (typeof FALSE_ANSWERS)[number];

const STATUS_LINES: Readonly<Record<FalseAnswer, string>> = {
  early: 'HTTP/1.1 200 OK',
  'status-000': 'HTTP/1.1 000 OK',
  'status-099': 'HTTP/1.1 099 OK',
  'status-101': 'HTTP/1.1 101 Switching Protocols',
  'status-600': 'HTTP/1.1 600 OK',
  'status-999': 'HTTP/1.1 999 OK',
  'http-0.9': 'HTTP/0.9 200 OK',
  'body-204': 'HTTP/1.1 204 No Content',
  'chunked-204': 'HTTP/1.1 204 No Content',
};
/** Returns whether a fault is one of these answers. */
export function isFalseAnswer(fault: string): fault is FalseAnswer {
  return FALSE_ANSWERS.some(kind => kind === fault);
}

/** Formats the head of an answer with these headers, and as much of the body as the server sends. */
export function formatFalseAnswer(
  kind: FalseAnswer,
  headers: Readonly<Record<string, string>>,
  body: string,
): string {
  const isChunked = kind === 'chunked-204';
  const framing = isChunked
    ? {'Transfer-Encoding': 'chunked'}
    : {'Content-Length': String(Buffer.byteLength(body))};
  const all = kind === 'early' ? headers : {...headers, ...framing};
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  const text = isChunked
    ? `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
    : body;
  return `${STATUS_LINES[kind]}\r\n${lines.join('\r\n')}\r\n\r\n${text}`;
}
