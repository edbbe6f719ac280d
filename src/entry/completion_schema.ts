/** Parses the request bodies of `/v1/chat/completions` and `/v1/completions`. */
import {z} from 'zod';

const contentSchema = z.union([
  z.string(),
  z.array(z.looseObject({type: z.string(), text: z.string().optional()})),
  z.null(),
]);

const sharedFields = {
  model: z.string().min(1).max(200),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().max(1_000_000).nullish(),
  max_completion_tokens: z.number().int().positive().max(1_000_000).nullish(),
  n: z.literal(1).nullish(),
  stream_options: z
    .looseObject({include_usage: z.boolean().nullish()})
    .nullish(),
};

const chatSchema = z.looseObject({
  ...sharedFields,
  messages: z
    .array(z.looseObject({role: z.string(), content: contentSchema.optional()}))
    .min(1),
});

const textSchema = z.looseObject({
  ...sharedFields,
  prompt: z.union([z.string(), z.array(z.string()).length(1)]),
});

/** Limit on generated tokens when the caller gives none. */
const DEFAULT_MAX_TOKENS = 256;

/** A parsed completion request. */
export interface CompletionRequest {
  readonly shape: 'chat' | 'text';
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly isStream: boolean;
  readonly includeUsage: boolean;
}

/** The parsed request, or a message that describes why it is malformed. */
export type ParsedCompletion =
  | {readonly kind: 'completion'; readonly completion: CompletionRequest}
  | {readonly kind: 'malformed'; readonly message: string};

/** Parses a body. Unknown fields are ignored. */
export function parseCompletion(
  shape: 'chat' | 'text',
  body: string,
): ParsedCompletion {
  let value: unknown;
  try {
    value = JSON.parse(body) as unknown;
  } catch {
    return {kind: 'malformed', message: 'the body is not JSON'};
  }
  const parsed =
    shape === 'chat'
      ? chatSchema.safeParse(value)
      : textSchema.safeParse(value);
  if (!parsed.success) {
    return {kind: 'malformed', message: getIssueText(parsed.error)};
  }
  const data = parsed.data;
  return {
    kind: 'completion',
    completion: {
      shape,
      model: data.model,
      prompt: getPrompt(data),
      maxTokens:
        data.max_completion_tokens ?? data.max_tokens ?? DEFAULT_MAX_TOKENS,
      isStream: data.stream ?? false,
      includeUsage: data.stream_options?.include_usage ?? false,
    },
  };
}

function getPrompt(
  data: z.infer<typeof chatSchema> | z.infer<typeof textSchema>,
): string {
  if ('messages' in data) {
    const {messages} = data as z.infer<typeof chatSchema>;
    return messages
      .map(message => `${message.role}: ${getContentText(message.content)}`)
      .join('\n');
  }
  const {prompt} = data as z.infer<typeof textSchema>;
  return typeof prompt === 'string' ? prompt : prompt[0];
}

function getContentText(
  content: z.infer<typeof contentSchema> | undefined,
): string {
  if (content === null || content === undefined) return '';
  if (typeof content === 'string') return content;
  return content.map(part => part.text ?? '').join('');
}

function getIssueText(error: z.ZodError): string {
  const issue = error.issues[0];
  const path = issue.path.join('.');
  return path === '' ? issue.message : `${path}: ${issue.message}`;
}
