/** Parses the request of an explanation from JSON. */
import {Err, Ok, type Result} from 'ts-results';
import {z} from 'zod';
import type {ExplainRequest} from './types';

/** Maximum number of parts of one prompt: many times that of real prompts. */
const MAX_PARTS = 1_000;
const MAX_TEXT_LENGTH = 8_192;

const count = z.number().int().min(0);
const text = z.string().min(1).max(MAX_TEXT_LENGTH);

const requestSchema = z.strictObject({
  host: text,
  path: text.startsWith('/'),
  method: text.default('POST'),
  account: text.optional(),
  tokens: z.strictObject({prompt: count, output: count}).optional(),
  parts: z
    .array(z.strictObject({id: text, tokens: z.number().positive()}))
    .max(MAX_PARTS)
    .optional(),
  deadlineMs: z.number().positive().optional(),
  bodyBytes: count.default(0),
});

/** Parses a body; an error names the field, and never repeats a value, which may be a key sent by mistake. */
export function parseExplainRequest(
  body: string,
): Result<ExplainRequest, string> {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    return Err('the body is not JSON');
  }
  const parsed = requestSchema.safeParse(value);
  if (!parsed.success) return Err(formatIssue(parsed.error.issues[0]));
  const {tokens, parts, account, deadlineMs, ...rest} = parsed.data;
  if (parts !== undefined && tokens === undefined) {
    return Err('parts: needs tokens as well');
  }
  return Ok({
    ...rest,
    ...(account === undefined ? {} : {account}),
    ...(deadlineMs === undefined ? {} : {deadlineMs}),
    ...(tokens === undefined
      ? {}
      : {
          model: {
            promptTokens: tokens.prompt,
            maxOutputTokens: tokens.output,
            parts: parts ?? [],
          },
        }),
  });
}

function formatIssue(issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') {
    const path = [...issue.path, issue.keys[0]].join('.');
    return `${path}: unknown field`;
  }
  const path = issue.path.join('.') || 'the body';
  return `${path}: ${issue.message}`;
}
