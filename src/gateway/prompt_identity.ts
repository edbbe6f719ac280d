/** Identifies whole prompts and the parts that other requests may share, both of which may crash engines. */
import {createHash} from 'node:crypto';
import {listSharedParts} from './placement';
import type {ModelRequest} from './types';

/** Ids of parts contain no colon, as it separates them from their token counts. */
const PROMPT_ID_PREFIX = 'prompt:';
const DIGEST_CHARACTERS = 16;

/** Returns an id that requests with the same parts in the same order share; undefined for a prompt without parts. */
export function tryCreatePromptId({parts}: ModelRequest): string | undefined {
  if (parts.length === 0) return undefined;
  const text = parts.map(({id, tokens}) => `${id}:${tokens}`).join();
  const digest = createHash('sha256').update(text).digest('base64url');
  return `${PROMPT_ID_PREFIX}${digest.slice(0, DIGEST_CHARACTERS)}`;
}

/** True for the id of a whole prompt, false for that of a part. */
export function isPromptId(id: string): boolean {
  return id.startsWith(PROMPT_ID_PREFIX);
}

/** Lists the ids of the shared parts in prompt order, then that of the whole prompt. */
export function listSuspectIds(model: ModelRequest): string[] {
  const promptId = tryCreatePromptId(model);
  const partIds = listSharedParts(model).map(part => part.id);
  return promptId === undefined ? partIds : [...partIds, promptId];
}
