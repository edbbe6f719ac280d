/** Schemas of the responses of the operators and control listeners, with the fields that the commands read. */
import {z} from 'zod';
import type {Explanation} from '../explain';

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

const candidateSchema = z.looseObject({
  id: z.string(),
  failureDomain: z.string(),
  isChosen: z.boolean(),
  healthyChance: z.number(),
  pausedMs: z.number(),
  timeFactor: z.number(),
});

const targetSchema = z.looseObject({
  service: z.string(),
  fraction: z.number(),
  outcomes: z.array(z.looseObject({kind: z.string()})),
  isComplete: z.boolean(),
  candidates: z.array(candidateSchema),
});

/** Checks the fields without which an explanation cannot be printed; both ends share the type. */
export const explanationSchema = z.looseObject({
  node: z.string(),
  stateAgeMs: z.number().nullable(),
  configVersion: z.number(),
  targets: z.array(targetSchema),
}) as unknown as z.ZodType<Explanation>;

export type Fleet = z.infer<typeof fleetSchema>;
export type FleetVm = z.infer<typeof vmSchema>;
