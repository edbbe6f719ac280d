/** The settings of `anvilstack standins`: the platform and the backend servers for a trial. */
import {z} from 'zod';
import {
  durationMsSchema,
  durationSSchema,
  engineRoleSchema,
  httpAddressSchema,
  listenAddressSchema,
  nameSchema,
} from './schema_parts';

const engineSchema = z
  .strictObject({
    id: nameSchema.describe('Name of the VM'),
    listen: listenAddressSchema.describe('Where it listens'),
    failure_domain: nameSchema.describe('Failure domain'),
    building: z.string().max(200).default('').describe('Building'),
    role: engineRoleSchema.default('mixed').describe('Role at the start'),
    models: z.array(nameSchema).min(1).describe('Models that it has loaded'),
    checks_fencing: z
      .boolean()
      .default(true)
      .describe('Whether it refuses commands with an old fencing number'),
    memory_pieces: z
      .number()
      .int()
      .positive()
      .default(64)
      .describe('KV cache memory in pieces of 2,048 tokens'),
  })
  .describe('Model engines');

const serviceSchema = z
  .strictObject({
    id: nameSchema.describe('Name of the VM'),
    service: nameSchema.describe('Name of the plain service'),
    listen: listenAddressSchema.describe('Where it listens'),
    failure_domain: nameSchema.describe('Failure domain'),
    building: z.string().max(200).default('').describe('Building'),
  })
  .describe('Servers of plain services');

const nodeSchema = z
  .strictObject({
    id: nameSchema.describe('Name of the node'),
    address: httpAddressSchema.describe('Base address of its callers listener'),
    peer_address: httpAddressSchema
      .optional()
      .describe('Base address of its peers listener'),
    operator_address: httpAddressSchema
      .optional()
      .describe('Base address of its operators listener'),
    failure_domain: nameSchema.describe('Failure domain'),
  })
  .describe('Nodes that the VM list shows');

const logFaultSchema = z
  .strictObject({
    kind: z
      .enum(['outage', 'lost_replies', 'slow'])
      .describe('What goes wrong with the log'),
    at_s: z
      .number()
      .nonnegative()
      .describe('When it begins, in seconds from the start'),
    for_s: z
      .number()
      .positive()
      .default(10)
      .describe('How long an outage or slowness lasts, in seconds'),
    count: z
      .number()
      .int()
      .positive()
      .default(1)
      .describe('Answers that are lost, with `lost_replies`'),
    delay_ms: durationMsSchema
      .default(500)
      .describe('Added to each answer with `slow`, in milliseconds'),
  })
  .describe('Faults of the log');

export const standinsSchema = z.strictObject({
  deployment: nameSchema.describe('Name of the deployment'),
  standins: z
    .strictObject({
      region: nameSchema.describe('Region of all VMs'),
      log_listen: listenAddressSchema.describe('Append-only log'),
      vm_list_listen: listenAddressSchema.describe('VM list'),
      weight_store_listen: listenAddressSchema.describe('Weight store'),
      log_retention_s: durationSSchema
        .default(86_400)
        .describe('How long the log keeps a record, in seconds'),
      log_appends_per_s: z
        .number()
        .int()
        .positive()
        .default(400)
        .describe('Appends that the log takes in a second'),
      log_delay_ms: z
        .number()
        .int()
        .nonnegative()
        .default(0)
        .describe('Added to each answer of the log, in milliseconds'),
      vm_list_lag_ms: z
        .number()
        .int()
        .nonnegative()
        .default(1_000)
        .describe('How late the VM list shows a change, in milliseconds'),
      engine: z.array(engineSchema).default([]),
      service: z.array(serviceSchema).default([]),
      node: z.array(nodeSchema).default([]),
      log_fault: z.array(logFaultSchema).default([]),
    })
    .describe('The platform and the backend servers'),
});

/** Checked settings of the stand-ins. */
export type StandinsSettings = z.infer<typeof standinsSchema>;
