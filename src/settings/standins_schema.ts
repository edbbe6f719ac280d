/** Settings of `anvilstack standins`, which simulates the platform and the backend servers for trials. */
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
    listen: listenAddressSchema.describe('Listen address'),
    failure_domain: nameSchema.describe('Failure domain of the VM'),
    building: z.string().max(200).default('').describe('Building of the VM'),
    role: engineRoleSchema.default('mixed').describe('Initial role'),
    models: z
      .array(nameSchema)
      .min(1)
      .describe('Models that are loaded at the start'),
    checks_fencing: z
      .boolean()
      .default(true)
      .describe(
        'Whether the engine rejects commands with an outdated fencing number',
      ),
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
    listen: listenAddressSchema.describe('Listen address'),
    failure_domain: nameSchema.describe('Failure domain of the VM'),
    building: z.string().max(200).default('').describe('Building of the VM'),
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
    failure_domain: nameSchema.describe('Failure domain of the VM'),
  })
  .describe('Nodes in the VM list');

const logFaultSchema = z
  .strictObject({
    kind: z
      .enum(['outage', 'lost_replies', 'slow'])
      .describe('Kind of the fault'),
    at_s: z
      .number()
      .nonnegative()
      .describe('When the fault begins, in seconds from the start'),
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
      .describe('Number of replies that are lost, with `lost_replies`'),
    delay_ms: durationMsSchema
      .default(500)
      .describe('Delay added to each reply with `slow`, in milliseconds'),
  })
  .describe('Injected faults of the log');

export const standinsSchema = z.strictObject({
  deployment: nameSchema.describe('Name of the deployment'),
  standins: z
    .strictObject({
      region: nameSchema.describe('Region of all VMs'),
      log_listen: listenAddressSchema.describe(
        'Listen address of the append-only log',
      ),
      vm_list_listen: listenAddressSchema.describe(
        'Listen address of the VM list',
      ),
      weight_store_listen: listenAddressSchema.describe(
        'Listen address of the weight store',
      ),
      log_retention_s: durationSSchema
        .default(86_400)
        .describe('How long the log keeps a record, in seconds'),
      log_appends_per_s: z
        .number()
        .int()
        .positive()
        .default(400)
        .describe('Maximum number of appends that the log accepts in a second'),
      log_delay_ms: z
        .number()
        .int()
        .nonnegative()
        .default(0)
        .describe('Delay added to each reply of the log, in milliseconds'),
      vm_list_lag_ms: z
        .number()
        .int()
        .nonnegative()
        .default(1_000)
        .describe(
          'Delay before a change appears in the VM list, in milliseconds',
        ),
      engine: z.array(engineSchema).default([]),
      service: z.array(serviceSchema).default([]),
      node: z.array(nodeSchema).default([]),
      log_fault: z.array(logFaultSchema).default([]),
    })
    .describe('The simulated platform and backend servers'),
});

/** Validated settings of the stand-ins with the defaults filled in. */
export type StandinsSettings = z.infer<typeof standinsSchema>;
