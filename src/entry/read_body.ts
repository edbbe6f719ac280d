/** Reads a request's body up to a maximum length. */
import type {H3Event} from 'h3';

/** Returns the body's text, or undefined when it is longer than `maxBytes`. */
export async function tryReadBody(
  event: H3Event,
  maxBytes: number,
): Promise<string | undefined> {
  const declared = Number(event.req.headers.get('content-length') ?? 0);
  if (declared > maxBytes) return undefined;
  const stream = event.req.body;
  if (stream === null) return '';
  const decoder = new TextDecoder();
  let text = '';
  let length = 0;
  for await (const chunk of stream) {
    length += chunk.byteLength;
    if (length > maxBytes) return undefined;
    text += decoder.decode(chunk, {stream: true});
  }
  return text + decoder.decode();
}
