/** Reads and writes JSON for the operators' HTTP application. */
import type {H3Event} from 'h3';

/** Returns the parsed JSON body, or undefined when the body is not JSON. */
export async function readJson(event: H3Event): Promise<unknown> {
  try {
    return await event.req.json();
  } catch {
    return undefined;
  }
}

/** Creates a response with a JSON body. */
export function createJsonResponse(status: number, body: unknown): Response {
  return Response.json(body, {status});
}
