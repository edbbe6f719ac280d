/** Schemas of the lines of a trace file; the keys are those of the file. */
import {z} from 'zod';

/** Kinds of faults that a trace can inject. */
export const FAULT_KINDS = [
  'engine_crash',
  'engine_leave',
  'log_outage',
  'log_lost_reply',
  'node_kill',
  'node_pause',
  'partition',
] as const;
export type FaultKind = (typeof FAULT_KINDS)[number];

const timeSchema = z.number().nonnegative().max(1e10);
const tokensSchema = z.number().int().nonnegative().max(1_000_000);
const nameSchema = z.string().min(1).max(200);

const engineSchema = z.object({
  id: nameSchema,
  failure_domain: nameSchema,
  role: z.enum(['prefill', 'decode', 'mixed']).default('mixed'),
  checks_fencing: z.boolean().default(true),
});

const serviceSchema = z.object({
  id: nameSchema,
  failure_domain: nameSchema,
  service: nameSchema,
});

const faultSchema = z.object({
  at_ms: timeSchema,
  kind: z.enum(FAULT_KINDS),
  /** Id of an engine, a node or a service's server, or name of a failure domain; omitted for faults of the log. */
  target: nameSchema.optional(),
  /** Duration in milliseconds; with `log_lost_reply`, the number of lost replies. */
  for_ms: timeSchema.optional(),
});

/** First line of a trace. */
export const traceHeaderSchema = z.object({
  trace: z.literal(1),
  deployment: nameSchema,
  engines: z.array(engineSchema).min(1).max(10_000),
  /** Servers of plain services; one for each service named by a request when omitted. */
  services: z.array(serviceSchema).optional(),
  nodes: z.number().int().min(1).max(1_000).default(1),
  report_lag_ms: timeSchema.default(0),
  role_change_ms: timeSchema.default(4_000),
  faults: z.array(faultSchema).default([]),
  /** Whether the deployment's planner weights favour goodput or few role changes. */
  weight: z.enum(['goodput', 'few_changes']).default('goodput'),
  /** Generator and seed of a generated trace. */
  generated: z.object({by: z.string(), seed: z.number().int()}).optional(),
});

/** A line of a trace after the first: one request. */
export const traceRequestSchema = z.object({
  at_ms: timeSchema,
  client_account: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/),
  kind: z.enum(['model', 'service']).default('model'),
  /** Name of the plain service, with kind `service`. */
  service: nameSchema.optional(),
  prompt_tokens: tokensSchema.default(0),
  output_tokens: tokensSchema.default(0),
  deadline_ms: z.number().positive().max(1e10).default(30_000),
  urgent: z.boolean().default(false),
  idempotent: z.boolean().default(true),
  /** Idempotency key; a non-idempotent request needs one. */
  key: nameSchema.optional(),
  /** Name of the prompt's leading part; prompts with the same name share it. */
  prefix: nameSchema.optional(),
  prefix_tokens: tokensSchema.default(0),
});

export type TraceHeader = z.infer<typeof traceHeaderSchema>;
export type TraceEngine = TraceHeader['engines'][number];
export type TraceService = z.infer<typeof serviceSchema>;
export type TraceFault = z.infer<typeof faultSchema>;
export type TraceRequest = z.infer<typeof traceRequestSchema>;
