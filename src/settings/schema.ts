/** The settings of a node: schema and defaults. Keys are those of the TOML file. */
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
    region: nameSchema.describe('Region that the VM stands in'),
    failure_domain: nameSchema.describe('Failure domain that the VM stands in'),
    building: z
      .string()
      .max(200)
      .default('')
      .describe('Building that the VM stands in, when a move is planned'),
  })
  .describe('This process');

const listenSchema = z
  .strictObject({
    callers: listenAddressSchema.describe(
      'Listener for callers; port 0 takes a free one',
    ),
    operators: listenAddressSchema.describe('Listener for operators'),
    peers: listenAddressSchema.describe('Listener for other nodes'),
  })
  .describe('Listeners. Nothing listens on more than these');

const tlsListenerSchema = z.strictObject({
  cert_file: z
    .string()
    .min(1)
    .describe('Certificate chain in PEM; read again when it changes'),
  key_file: z
    .string()
    .min(1)
    .describe('Private key in PEM; read again when it changes'),
  client_ca_file: z
    .string()
    .min(1)
    .optional()
    .describe('CA that clients must have a certificate of; none when omitted'),
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
    log_address: httpAddressSchema.describe('Append-only log'),
    vm_list_address: httpAddressSchema.describe('List of live and leaving VMs'),
    weight_store_address: httpAddressSchema.describe('Store of model weights'),
    log_retention_s: durationSSchema
      .default(86_400)
      .describe('How long the log keeps a record, in seconds'),
  })
  .describe("The platform's services");

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
    'Where secrets come from. They are never printed or logged. Files are relative to the settings file',
  );

const operatorSchema = z
  .strictObject({
    name: nameSchema.describe('Name that templates and the time line show'),
    token_sha256: sha256Schema.describe(
      "SHA-256 of the operator's token, in hexadecimal",
    ),
    rights: z
      .array(z.enum(['read', 'change', 'administer']))
      .min(1)
      .default(['read', 'change'])
      .describe(
        'read: look; change: publish and amend templates; administer: level of the log',
      ),
  })
  .describe('People and programs who may use the operators listener');

const backendServerSchema = z
  .strictObject({
    id: nameSchema.describe('Name of the VM'),
    kind: z.enum(['model_engine', 'service']).describe('What runs on it'),
    address: httpAddressSchema.describe('Base address of its listener'),
    failure_domain: nameSchema.describe('Failure domain that it stands in'),
    building: z.string().max(200).default('').describe('Building'),
    service: nameSchema
      .optional()
      .describe('Name of the plain service, with kind `service`'),
  })
  .describe("Backend servers that the platform's VM list does not hold");

const limitsSchema = z
  .strictObject({
    max_body_bytes: z
      .number()
      .int()
      .positive()
      .max(256 * MIB)
      .default(8 * MIB)
      .describe('Longest body of a request, in bytes'),
    max_header_bytes: z
      .number()
      .int()
      .min(KIB)
      .max(MIB)
      .default(16 * KIB)
      .describe('Longest headers of a request, in bytes'),
    header_timeout_s: durationSSchema
      .default(10)
      .describe('How long the headers of a request may take, in seconds'),
    upload_timeout_s: durationSSchema
      .default(60)
      .describe('How long a whole request may take to arrive, in seconds'),
    idle_timeout_s: durationSSchema
      .default(65)
      .describe('How long an idle connection is kept, in seconds'),
    max_connections: z
      .number()
      .int()
      .positive()
      .max(1_000_000)
      .default(10_000)
      .describe('Most connections of one listener'),
  })
  .describe('Limits of the listeners');

const claimsSchema = z
  .strictObject({
    window_s: durationSSchema
      .default(3_600)
      .describe('Longest time that an idempotency key is valid, in seconds'),
  })
  .describe('Non-idempotent requests');

const routingSchema = z
  .strictObject({
    report_interval_ms: durationMsSchema
      .default(500)
      .describe('Time between two reads of an engine report, in milliseconds'),
    max_reports_per_s: z
      .number()
      .int()
      .positive()
      .max(100_000)
      .default(12)
      .describe(
        'Load reports that the node reads in a second, of all engines together',
      ),
  })
  .describe('Choice of a backend server');

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
        'Weight of few role changes; above goodput_weight the planner changes seldom and late',
      ),
    safe_capacity: z
      .number()
      .min(0)
      .max(1)
      .default(0.75)
      .describe('Least part of the engines that must be serving'),
    interval_ms: durationMsSchema
      .default(2_000)
      .describe('Time between two plans, in milliseconds'),
    role_change_ms: durationMsSchema
      .default(4_000)
      .describe('How long a role change takes an engine away, in milliseconds'),
  })
  .describe('Roles of engines');

const fencingSchema = z
  .strictObject({
    checked_by: z
      .array(nameSchema)
      .optional()
      .describe(
        "Engines that refuse an old fencing number; when omitted, what the platform's VM list says",
      ),
    guard_time_ms: durationMsSchema
      .default(3_000)
      .describe(
        'How long a new holder waits before it sends commands to engines that do not check, in milliseconds',
      ),
  })
  .describe('Control authority');

const loggingSchema = z
  .strictObject({
    level: z
      .enum(['error', 'warn', 'info', 'debug'])
      .default('info')
      .describe('Least severe level that is written'),
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

/** Checked settings with their defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
/** Settings as they stand in a file, without the defaults. */
export type SettingsInput = z.input<typeof settingsSchema>;
