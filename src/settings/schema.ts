/** The settings of a node: schema and defaults. Keys are those of the TOML file. */
import {z} from 'zod';

const listenAddressSchema = z
  .string()
  .regex(/^[^:]+:\d{1,5}$/, 'HOST:PORT')
  .describe('Address and port to listen on');

const httpAddressSchema = z.url({protocol: /^https?$/});

export const settingsSchema = z.strictObject({
  deployment: z.string().min(1).describe('Name of the deployment'),
  node: z.strictObject({
    id: z
      .string()
      .min(1)
      .describe('Name of this node, unique in the deployment'),
    region: z.string().min(1),
    failure_domain: z.string().min(1),
  }),
  listen: z.strictObject({
    callers: listenAddressSchema,
    operators: listenAddressSchema,
    peers: listenAddressSchema,
  }),
  platform: z.strictObject({
    log_address: httpAddressSchema,
    vm_list_address: httpAddressSchema,
    weight_store_address: httpAddressSchema,
    log_retention_s: z.number().int().positive().default(86_400),
  }),
  operator: z
    .array(
      z.strictObject({
        name: z.string().min(1),
        token_sha256: z.string().regex(/^[0-9a-f]{64}$/),
      }),
    )
    .default([]),
  routing: z
    .strictObject({
      report_interval_ms: z.number().int().positive().default(500),
    })
    .prefault({}),
  logging: z
    .strictObject({
      level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
      format: z.enum(['json', 'text']).default('json'),
    })
    .prefault({}),
});

/** Checked settings with their defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
