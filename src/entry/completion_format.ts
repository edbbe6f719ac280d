/** Formats answers as in the OpenAI API. */
import type {EngineEnd} from '../backends';
import type {CompletionRequest} from './completion_schema';

/** Values repeated in every chunk of one answer. */
export interface AnswerIdentity {
  readonly requestId: string;
  readonly completion: CompletionRequest;
  /** Seconds since the Unix epoch. */
  readonly createdAtS: number;
}

/** Returns the JSON text of one streamed chunk. */
export function getChunkData(
  identity: AnswerIdentity,
  text: string,
  finishReason: 'stop' | 'length' | null,
  isFirst: boolean,
): string {
  const {completion} = identity;
  const head = {
    id: identity.requestId,
    created: identity.createdAtS,
    model: completion.model,
  };
  if (completion.shape === 'text') {
    return JSON.stringify({
      ...head,
      object: 'text_completion',
      choices: [{index: 0, text, finish_reason: finishReason, logprobs: null}],
    });
  }
  const delta = {
    ...(isFirst ? {role: 'assistant'} : {}),
    ...(text === '' ? {} : {content: text}),
  };
  return JSON.stringify({
    ...head,
    object: 'chat.completion.chunk',
    choices: [{index: 0, delta, finish_reason: finishReason}],
  });
}

/** Returns the JSON text of the last streamed chunk, which contains the token usage. */
export function getUsageData(identity: AnswerIdentity, end: EngineEnd): string {
  const {completion} = identity;
  return JSON.stringify({
    id: identity.requestId,
    created: identity.createdAtS,
    model: completion.model,
    object:
      completion.shape === 'text' ? 'text_completion' : 'chat.completion.chunk',
    choices: [],
    usage: getUsage(end),
  });
}

/** Returns the JSON body of an answer that is not streamed. */
export function getAnswerBody(
  identity: AnswerIdentity,
  text: string,
  end: EngineEnd,
): string {
  const {completion} = identity;
  const finishReason = end.finishReason === 'length' ? 'length' : 'stop';
  const choice =
    completion.shape === 'text'
      ? {index: 0, text, finish_reason: finishReason, logprobs: null}
      : {
          index: 0,
          message: {role: 'assistant', content: text},
          finish_reason: finishReason,
        };
  return JSON.stringify({
    id: identity.requestId,
    object: completion.shape === 'text' ? 'text_completion' : 'chat.completion',
    created: identity.createdAtS,
    model: completion.model,
    choices: [choice],
    usage: getUsage(end),
  });
}

function getUsage(end: EngineEnd): Record<string, unknown> {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.generatedTokens,
    total_tokens: end.promptTokens + end.generatedTokens,
    prompt_tokens_details: {cached_tokens: end.cachedTokens},
  };
}
