/** Schema and defaults of a client account's template. The keys are those of the TOML file. */
import {z} from 'zod';

/** Selects backend servers that match all the given keys; an omitted key matches every server. */
export const serverSelectorSchema = z
  .strictObject({
    buildings: z.array(z.string().min(1)).optional(),
    failure_domains: z.array(z.string().min(1)).optional(),
    ids: z.array(z.string().min(1)).optional(),
  })
  .describe('Selects backend servers');

/** Requests with the same urgency, deadline and idempotence. The first matching class applies. */
export const requestClassSchema = z.strictObject({
  name: z.string().min(1),
  /** Requests to model engines or to plain services. */
  kind: z.enum(['model', 'service']),
  /** Name of the model; every model when omitted. */
  model: z.string().min(1).optional(),
  /** Name of the plain service; every service when omitted. */
  service: z.string().min(1).optional(),
  urgent: z.boolean().default(false),
  /** False for requests that must run at most once; they need an idempotency key. */
  idempotent: z.boolean().default(true),
  deadline_ms: z.number().int().positive().max(3_600_000).optional(),
});

/** Limits of a client account over the whole fleet. */
export const limitsSchema = z.strictObject({
  requests_per_s: z.number().positive().default(50),
  /** Maximum number of requests in a burst above the rate. */
  burst: z.number().int().positive().default(100),
  max_concurrent: z.number().int().positive().default(200),
  /** Weight of the client account's share of capacity under overload. */
  weight: z.number().positive().default(1),
});

/** Conditions for a stage to advance to the next one. */
export const gateSchema = z.strictObject({
  /** Minimum goodput over the window, 0 to 1. */
  min_goodput: z.number().min(0).max(1).default(0.95),
  /** Maximum fraction of failed requests over the window, 0 to 1. */
  max_error_rate: z.number().min(0).max(1).default(0.02),
  /** Length of the window and minimum duration of the stage, in seconds. */
  window_s: z.number().positive().default(60),
  /** Minimum number of requests in the window for goodput and error rate to be evaluated. */
  min_requests: z.number().int().nonnegative().default(20),
});

/** One stage of a move. */
export const moveStageSchema = z.strictObject({
  name: z.string().min(1),
  kind: z.enum(['prepare_weights', 'warm', 'shift', 'drain', 'done']),
  starts_at: z.iso.datetime({offset: true}),
  /** Backend servers that get the fraction `share` of the requests; the rest go to `from`. */
  to: serverSelectorSchema,
  from: serverSelectorSchema,
  share: z.number().min(0).max(1).default(0),
  gate: gateSchema.prefault({}),
});

/** The move of a client account from one set of backend servers to another, in stages. */
export const moveSchema = z.strictObject({
  /** While true, the move stays at its current stage. */
  hold: z.boolean().default(false),
  /** Name of the stage to roll back to; its share takes effect at once. */
  roll_back_to: z.string().min(1).optional(),
  stages: z.array(moveStageSchema).min(1),
});

/** The template of one client account. */
export const templateSchema = z.strictObject({
  client_account: z
    .string()
    .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and "-"'),
  description: z.string().max(500).default(''),
  /** SHA-256 of each API key, in hexadecimal. */
  api_key_sha256: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
  /** Operators who may amend this template. */
  operators: z.array(z.string().min(1)).min(1),
  /** Models that the client account may use. */
  models: z.array(z.string().min(1)).default([]),
  /** Adapters that must be loaded on its engines. */
  adapters: z.array(z.string().min(1)).default([]),
  /** Plain services that the client account may use. */
  services: z.array(z.string().min(1)).default([]),
  /** Deadline of requests that specify none, in milliseconds. */
  deadline_ms: z.number().int().positive().max(3_600_000).default(30_000),
  limits: limitsSchema.prefault({}),
  /** How long an idempotency key is valid, in seconds. */
  key_window_s: z.number().int().positive().max(604_800).default(3_600),
  engines: serverSelectorSchema.default({}),
  request_class: z.array(requestClassSchema).default([]),
  move: moveSchema.optional(),
});

export type ServerSelector = z.infer<typeof serverSelectorSchema>;
export type RequestClass = z.infer<typeof requestClassSchema>;
export type AccountLimits = z.infer<typeof limitsSchema>;
export type MoveGate = z.infer<typeof gateSchema>;
export type MoveStage = z.infer<typeof moveStageSchema>;
export type AccountMove = z.infer<typeof moveSchema>;
export type Template = z.infer<typeof templateSchema>;
