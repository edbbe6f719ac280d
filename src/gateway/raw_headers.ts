/** Access to the headers of a message as a flat list of names and values. */

const FRAMING_HEADERS = ['Content-Length', 'Transfer-Encoding'];

/** Returns the first value of a header, or undefined; names are compared without regard to case. */
export function findHeader(
  rawHeaders: readonly string[],
  wantedName: string,
): string | undefined {
  const lower = wantedName.toLowerCase();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index];
    if (name.length === lower.length && name.toLowerCase() === lower) {
      return rawHeaders[index + 1];
    }
  }
  return undefined;
}

/** True when the head of an answer says where its body ends; otherwise it ends with the connection. */
export function hasFraming(rawHeaders: readonly string[]): boolean {
  return FRAMING_HEADERS.some(
    name => findHeader(rawHeaders, name) !== undefined,
  );
}
