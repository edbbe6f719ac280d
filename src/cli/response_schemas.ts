/** Schemas of the operators listener's responses, with the fields that the commands read. */
import {z} from 'zod';

export const templateRowSchema = z.looseObject({
  client_account: z.string(),
  description: z.string(),
  version: z.number(),
  operator: z.string(),
  acceptedAtMs: z.number(),
});

export const templateStateSchema = z.looseObject({
  template: z.looseObject({client_account: z.string()}),
  current: z.looseObject({version: z.number(), operator: z.string()}),
  history: z.array(
    z.looseObject({
      version: z.number(),
      baseVersion: z.number(),
      operator: z.string(),
      acceptedAtMs: z.number(),
    }),
  ),
});

export const inForceSchema = z.looseObject({
  node: z.string(),
  nextOffset: z.number(),
  isCaughtUp: z.boolean(),
});

export const vmSchema = z.looseObject({
  id: z.string(),
  purpose: z.string(),
  state: z.string(),
  failureDomain: z.string(),
  address: z.string(),
  operatorAddress: z.string().optional(),
  building: z.string().optional(),
  service: z.string().optional(),
});

export const engineReportSchema = z.looseObject({
  engine: z.string(),
  role: z.string().optional(),
});

export const fleetSchema = z.looseObject({
  node: z.string(),
  vms: z.array(vmSchema),
  reports: z.array(engineReportSchema).optional(),
});

export const eventSchema = z.object({
  at: z.object({wallMs: z.number(), counter: z.number()}),
  node: z.string(),
  kind: z.string(),
  requestId: z.string().optional(),
  clientAccount: z.string().optional(),
  engine: z.string().optional(),
  shard: z.string().optional(),
  cause: z.string(),
});

export const eventsSchema = z.looseObject({
  node: z.string(),
  dropped: z.number(),
  events: z.array(eventSchema),
});

export const progressSchema = z.array(
  z.looseObject({
    client_account: z.string(),
    template_version: z.number(),
    stage: z.string().nullable(),
    is_complete: z.boolean(),
    entered_at: z.string().nullable(),
    next_stage: z.string().nullable(),
    cause: z.string(),
  }),
);

export type Fleet = z.infer<typeof fleetSchema>;
export type FleetVm = z.infer<typeof vmSchema>;
