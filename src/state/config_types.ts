/** Types of the stream `config`: its entries, carried templates and the folded state. */
import {z} from 'zod';
import type {StoredTemplate} from './stored_template';
import type {TemplateVersion} from './template_state';
import type {Template} from './template_schema';
import type {EntryContext} from './types';

/** Name of the stream that holds the templates. */
export const CONFIG_STREAM = 'config';

const versionSchema = z.object({
  version: z.number().int().nonnegative(),
  baseVersion: z.number().int().nonnegative(),
  operator: z.string(),
  acceptedAtMs: z.number(),
  change: z.enum(['publish', 'amend', 'retire']),
  changes: z.array(z.string()),
});

/** Schema of the state of one client account in a carried record; see `template_carrier.ts`. */
export const carriedTemplateSchema = z.object({
  clientAccount: z.string().min(1),
  /** Version of the publication that the later versions amend. */
  publishedVersion: z.number().int().nonnegative(),
  history: z.array(versionSchema).min(1),
  /** Absent when the template has been retired. */
  template: z.unknown().optional(),
});

/** A client account's template, or its retirement, as written in carried records. */
export type CarriedTemplate = z.infer<typeof carriedTemplateSchema>;

const publishSchema = z.object({
  kind: z.literal('template-publish'),
  operator: z.string().min(1),
  template: z.unknown(),
});

const amendSchema = z.object({
  kind: z.literal('template-amend'),
  operator: z.string().min(1),
  baseVersion: z.number().int().nonnegative(),
  template: z.unknown(),
});

const retireSchema = z.object({
  kind: z.literal('template-retire'),
  operator: z.string().min(1),
  baseVersion: z.number().int().nonnegative(),
  clientAccount: z.string().min(1),
});

const carrySchema = z.object({
  kind: z.literal('template-carry'),
  /** The carried state includes all records before this offset. */
  asOfOffset: z.number().int().nonnegative(),
  carried: carriedTemplateSchema,
});

/** Changes no template. Its append time shows that the log's clock has advanced. */
const markSchema = z.object({kind: z.literal('config-mark')});

/** Schema of the entries; templates in them are not validated yet. */
export const configWireSchema = z.discriminatedUnion('kind', [
  publishSchema,
  amendSchema,
  retireSchema,
  carrySchema,
  markSchema,
]);

/** An entry of the stream `config`. */
export type ConfigEntry = TemplateEntry | {readonly kind: 'config-mark'};

/** An entry that concerns one client account. */
export type TemplateEntry =
  | {
      readonly kind: 'template-publish';
      readonly operator: string;
      readonly template: Template;
      /** The template as written, including keys that only newer versions of this program know. */
      readonly source?: unknown;
    }
  | {
      readonly kind: 'template-amend';
      readonly operator: string;
      /** Version that the amendment is based on. */
      readonly baseVersion: number;
      readonly template: Template;
      /** The template as written, including keys that only newer versions of this program know. */
      readonly source?: unknown;
    }
  | {
      readonly kind: 'template-retire';
      readonly operator: string;
      readonly baseVersion: number;
      readonly clientAccount: string;
    }
  | {
      readonly kind: 'template-carry';
      readonly asOfOffset: number;
      readonly carried: CarriedTemplate;
    };

/** A retired template. Remembered so that an older carried record cannot restore the template. */
export interface RetiredTemplate {
  readonly current: TemplateVersion;
  readonly history: readonly TemplateVersion[];
  readonly publishedVersion: number;
  /**
   * When it was last carried forward, on the log's clock, in milliseconds since the Unix epoch. A
   * retirement keeps the time of the template it retires.
   */
  readonly carriedAtMs: number;
}

/** An entry to apply again on top of a carried record; see `applyAfterGap`. */
export interface JournaledEntry {
  readonly entry: TemplateEntry;
  readonly context: EntryContext;
}

/** State of the stream `config`. */
export interface ConfigState {
  readonly templates: Map<string, StoredTemplate>;
  readonly retired: Map<string, RetiredTemplate>;
  /** Client account of each API key, by the key's SHA-256. */
  readonly accountByKeyHash: Map<string, string>;
  /** Client accounts of each key that several of them name; the first published one owns it. */
  readonly sharedKeys: Map<string, Set<string>>;
  /** First offset read after the last gap; 0 when there was no gap. */
  startOffset: number;
  /**
   * When each client account from before `startOffset` has been carried forward once, on the log's
   * clock. Undefined without a gap, and after a gap until the first entry.
   */
  completeAtMs: number | undefined;
  /** Latest append time of the applied records, in milliseconds since the Unix epoch. */
  nowMs: number;
  /** After a gap: entries of each client account whose state before the gap is not known yet. */
  readonly journals: Map<string, JournaledEntry[]>;
  /** After a gap: client accounts whose state a carried record has restored. */
  readonly settled: Set<string>;
}
