/** Schemas shared by the settings of nodes and stand-ins. */
import {z} from 'zod';

/** An address to listen on. */
export const listenAddressSchema = z
  .string()
  .regex(
    /^(?:\[[0-9a-fA-F:]+\]|[^:\s]+):\d{1,5}$/,
    'HOST:PORT, such as 127.0.0.1:8101',
  );

/** Base address of an HTTP service. */
export const httpAddressSchema = z.url({protocol: /^https?$/});

/** Name of a VM, failure domain, model or other item. */
export const nameSchema = z.string().min(1).max(200);

/** SHA-256 in hexadecimal. */
export const sha256Schema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'a SHA-256: 64 digits 0-9, a-f');

/** A duration in milliseconds, at most one day. */
export const durationMsSchema = z.number().int().positive().max(86_400_000);

/** A duration in seconds, at most 30 days. */
export const durationSSchema = z.number().int().positive().max(2_592_000);

/** Role of a model engine. */
export const engineRoleSchema = z.enum(['prefill', 'decode', 'mixed']);
