/** Schema and defaults of the settings of a node. Property names are the keys of the TOML file. */
import {z} from 'zod';
import {
  durationMsSchema,
  durationSSchema,
  httpAddressSchema,
  listenAddressSchema,
  nameSchema,
  sha256Schema,
} from './schema_parts';

const KIB = 1_024;
const MIB = 1_024 * KIB;

const nodeSchema = z
  .strictObject({
    id: nameSchema.describe('Name of this node, unique in the deployment'),
    region: nameSchema.describe('Region of the VM'),
    failure_domain: nameSchema.describe('Failure domain of the VM'),
    building: z
      .string()
      .max(200)
      .default('')
      .describe(
        'Building of the VM; needed when a move between buildings is planned',
      ),
  })
  .describe('Identity of this node');

const listenSchema = z
  .strictObject({
    callers: listenAddressSchema.describe(
      'Listener for callers; port 0 picks a free port',
    ),
    operators: listenAddressSchema.describe('Listener for operators'),
    peers: listenAddressSchema.describe('Listener for other nodes'),
  })
  .describe('Listen addresses. The node opens no other listeners');

const tlsListenerSchema = z.strictObject({
  cert_file: z
    .string()
    .min(1)
    .describe('Certificate chain in PEM; reloaded when it changes'),
  key_file: z
    .string()
    .min(1)
    .describe('Private key in PEM; reloaded when it changes'),
  client_ca_file: z
    .string()
    .min(1)
    .optional()
    .describe(
      'CA that must have signed client certificates; none are requested when omitted',
    ),
});

const tlsSchema = z
  .strictObject({
    callers: tlsListenerSchema
      .optional()
      .describe('TLS for callers; plain HTTP when omitted'),
    operators: tlsListenerSchema
      .optional()
      .describe('TLS for operators; plain HTTP when omitted'),
    peers: tlsListenerSchema
      .optional()
      .describe('TLS between nodes; plain HTTP when omitted'),
  })
  .describe('TLS of each listener. Files are relative to the settings file');

const platformSchema = z
  .strictObject({
    log_address: httpAddressSchema.describe(
      'Base address of the append-only log',
    ),
    vm_list_address: httpAddressSchema.describe(
      'Base address of the list of live and leaving VMs',
    ),
    weight_store_address: httpAddressSchema.describe(
      'Base address of the store of model weights',
    ),
    log_retention_s: durationSSchema
      .default(86_400)
      .describe('How long the log keeps a record, in seconds'),
  })
  .describe('Services of the platform');

const secretsSchema = z
  .strictObject({
    peer_secret_file: z
      .string()
      .min(1)
      .optional()
      .describe('File with the secret that all nodes share'),
    peer_secret_env: z
      .string()
      .min(1)
      .optional()
      .describe('Environment variable with the secret that all nodes share'),
    resume_secret_file: z
      .string()
      .min(1)
      .optional()
      .describe(
        'File with the secret that signs resume tokens, the same on all nodes',
      ),
    resume_secret_env: z
      .string()
      .min(1)
      .optional()
      .describe(
        'Environment variable with the secret that signs resume tokens',
      ),
  })
  .describe(
    'Sources of the secrets. Secrets are never printed or logged. Files are relative to the settings file',
  );

const operatorSchema = z
  .strictObject({
    name: nameSchema.describe(
      'Name of the operator, shown in templates and the time line',
    ),
    token_sha256: sha256Schema.describe(
      "SHA-256 of the operator's token, in hexadecimal",
    ),
    rights: z
      .array(z.enum(['read', 'change', 'administer']))
      .min(1)
      .default(['read', 'change'])
      .describe(
        'read: view state; change: publish and amend templates; administer: change the log level',
      ),
  })
  .describe('People and programs that may use the operators listener');

const backendServerSchema = z
  .strictObject({
    id: nameSchema.describe('Name of the VM'),
    kind: z.enum(['model_engine', 'service']).describe('What runs on the VM'),
    address: httpAddressSchema.describe('Base address of the backend server'),
    failure_domain: nameSchema.describe('Failure domain of the VM'),
    building: z.string().max(200).default('').describe('Building of the VM'),
    service: nameSchema
      .optional()
      .describe('Name of the plain service; required with kind `service`'),
  })
  .describe("Backend servers that are not in the platform's VM list");

const limitsSchema = z
  .strictObject({
    max_body_bytes: z
      .number()
      .int()
      .positive()
      .max(256 * MIB)
      .default(8 * MIB)
      .describe('Largest request body, in bytes'),
    max_header_bytes: z
      .number()
      .int()
      .min(KIB)
      .max(MIB)
      .default(16 * KIB)
      .describe('Largest request headers, in bytes'),
    header_timeout_s: durationSSchema
      .default(10)
      .describe(
        'How long the headers of a request may take to arrive, in seconds',
      ),
    upload_timeout_s: durationSSchema
      .default(60)
      .describe('How long a whole request may take to arrive, in seconds'),
    idle_timeout_s: durationSSchema
      .default(65)
      .describe('How long an idle connection stays open, in seconds'),
    max_connections: z
      .number()
      .int()
      .positive()
      .max(1_000_000)
      .default(10_000)
      .describe('Maximum number of connections of one listener'),
  })
  .describe('Limits of the listeners');

const claimsSchema = z
  .strictObject({
    window_s: durationSSchema
      .default(3_600)
      .describe('How long an idempotency key is valid at most, in seconds'),
  })
  .describe('Non-idempotent requests');

const routingSchema = z
  .strictObject({
    report_interval_ms: durationMsSchema
      .default(500)
      .describe(
        'Time between two reads of the load report of an engine, in milliseconds',
      ),
    max_reports_per_s: z
      .number()
      .int()
      .positive()
      .max(100_000)
      .default(12)
      .describe(
        'Maximum number of load reports that the node reads in a second, over all engines',
      ),
  })
  .describe('Selection of backend servers');

const planningSchema = z
  .strictObject({
    goodput_weight: z
      .number()
      .nonnegative()
      .max(1_000)
      .default(1)
      .describe('Weight of goodput against role_change_weight'),
    role_change_weight: z
      .number()
      .nonnegative()
      .max(1_000)
      .default(1)
      .describe(
        'Weight of avoiding role changes; above goodput_weight the planner changes roles rarely and late',
      ),
    safe_capacity: z
      .number()
      .min(0)
      .max(1)
      .default(0.75)
      .describe('Minimum fraction of the engines that must be serving'),
    interval_ms: durationMsSchema
      .default(2_000)
      .describe('Time between two planning runs, in milliseconds'),
    role_change_ms: durationMsSchema
      .default(4_000)
      .describe(
        'How long an engine is unavailable during a role change, in milliseconds',
      ),
  })
  .describe('Planning of engine roles');

const fencingSchema = z
  .strictObject({
    checked_by: z
      .array(nameSchema)
      .optional()
      .describe(
        "Engines that reject an outdated fencing number; when omitted, taken from the platform's VM list",
      ),
    guard_time_ms: durationMsSchema
      .default(3_000)
      .describe(
        'How long a new lease holder waits before it sends commands to engines that do not check fencing numbers, in milliseconds',
      ),
  })
  .describe('Fencing of commands to engines');

const loggingSchema = z
  .strictObject({
    level: z
      .enum(['error', 'warn', 'info', 'debug'])
      .default('info')
      .describe('Least severe log level that is written'),
    format: z
      .enum(['json', 'text'])
      .default('json')
      .describe('json for programs, text for people'),
    max_events: z
      .number()
      .int()
      .min(16)
      .max(1_000_000)
      .default(8_192)
      .describe('Events kept for the time line; older ones are dropped'),
  })
  .describe('Logs and events');

export const settingsSchema = z.strictObject({
  deployment: nameSchema.describe('Name of the deployment'),
  node: nodeSchema,
  listen: listenSchema,
  tls: tlsSchema.prefault({}),
  platform: platformSchema,
  secrets: secretsSchema.prefault({}),
  operator: z.array(operatorSchema).default([]),
  backend_server: z.array(backendServerSchema).default([]),
  limits: limitsSchema.prefault({}),
  claims: claimsSchema.prefault({}),
  routing: routingSchema.prefault({}),
  planning: planningSchema.prefault({}),
  fencing: fencingSchema.prefault({}),
  logging: loggingSchema.prefault({}),
});

/** Validated settings with the defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
/** Settings as written in a file, before the defaults are filled in. */
export type SettingsInput = z.input<typeof settingsSchema>;
