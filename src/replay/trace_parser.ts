/** Reads and writes traces. */
import {Err, Ok, type Result} from 'ts-results';
import type {z} from 'zod';
import {traceHeaderSchema, traceRequestSchema} from './trace_schema';
import type {Trace, TraceError, TraceRequest} from './types';

/** Maximum number of invalid lines that are reported. */
const MAX_REPORTED_ERRORS = 20;

/** Parses a trace. Returns the invalid lines, at most `MAX_REPORTED_ERRORS`; never throws. */
export function parseTrace(text: string): Result<Trace, readonly TraceError[]> {
  const lines = text.split('\n');
  const errors: TraceError[] = [];
  const header = parseLine(lines[0] ?? '', traceHeaderSchema);
  if (typeof header === 'string') return Err([{line: 1, message: header}]);
  const requests: TraceRequest[] = [];
  for (let index = 1; index < lines.length; index++) {
    if (lines[index].trim() === '') continue;
    const request = parseRequest(lines[index]);
    if (typeof request === 'string') {
      errors.push({line: index + 1, message: request});
      if (errors.length === MAX_REPORTED_ERRORS) break;
    } else {
      requests.push(request);
    }
  }
  if (errors.length > 0) return Err(errors);
  requests.sort((left, right) => left.at_ms - right.at_ms);
  return Ok({header, requests});
}

/** Formats a trace; omits request fields that have their default value. */
export function formatTrace(trace: Trace): string {
  const lines = [JSON.stringify(trace.header)];
  for (const request of trace.requests) {
    lines.push(JSON.stringify(removeDefaults(request)));
  }
  return `${lines.join('\n')}\n`;
}

function parseRequest(line: string): TraceRequest | string {
  const request = parseLine(line, traceRequestSchema);
  if (typeof request === 'string') return request;
  if (request.kind === 'service' && request.service === undefined) {
    return 'service: required with kind "service"';
  }
  if (request.kind === 'model' && request.output_tokens === 0) {
    return 'output_tokens: must be at least 1 with kind "model"';
  }
  if (request.prefix_tokens > request.prompt_tokens) {
    return 'prefix_tokens: must not exceed prompt_tokens';
  }
  return request;
}

function parseLine<Schema extends z.ZodType>(
  line: string,
  schema: Schema,
): z.infer<Schema> | string {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    return 'not a JSON object';
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  return `${issue.path.join('.')}: ${issue.message}`;
}

function removeDefaults(request: TraceRequest): Partial<TraceRequest> {
  const entries = Object.entries(request).filter(([key, value]) => {
    if (value === undefined) return false;
    return value !== REQUEST_DEFAULTS[key as keyof TraceRequest];
  });
  return Object.fromEntries(entries) as Partial<TraceRequest>;
}

const REQUEST_DEFAULTS: Partial<TraceRequest> = {
  kind: 'model',
  prompt_tokens: 0,
  output_tokens: 0,
  deadline_ms: 30_000,
  urgent: false,
  idempotent: true,
  prefix_tokens: 0,
};
