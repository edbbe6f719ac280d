/** JSON in and out of the operators' HTTP. */
import type {H3Event} from 'h3';

/** Returns the body as JSON, or undefined when it is none. */
export async function readJson(event: H3Event): Promise<unknown> {
  try {
    return await event.req.json();
  } catch {
    return undefined;
  }
}

/** Returns an answer in JSON. */
export function createJsonResponse(status: number, body: unknown): Response {
  return Response.json(body, {status});
}
