/** Access to the headers of a message as a flat list of names and values. */

/** A transfer coding marks the end of a body only when `chunked` is the last one. */
const ENDS_CHUNKED = /(^|,)\s*chunked\s*$/i;

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
  const codings = listValues(rawHeaders, 'Transfer-Encoding');
  if (codings.length > 0) return ENDS_CHUNKED.test(codings.join(','));
  return findHeader(rawHeaders, 'Content-Length') !== undefined;
}

/** Lists the values of a header in order; names are compared without regard to case. */
function listValues(
  rawHeaders: readonly string[],
  wantedName: string,
): string[] {
  const lower = wantedName.toLowerCase();
  return rawHeaders.filter(
    (_value, index) =>
      index % 2 === 1 && rawHeaders[index - 1].toLowerCase() === lower,
  );
}
