/** Types of the stream `config`: entries, versions of templates and the folded state. */
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

/** Schema of what a carried record keeps of one client account. */
export const carriedTemplateSchema = z.object({
  clientAccount: z.string().min(1),
  /** Version of the publication that the template goes back to. */
  publishedVersion: z.number().int().nonnegative(),
  history: z.array(versionSchema).min(1),
  /** Absent when the template has been retired. */
  template: z.unknown().optional(),
});

/** A client account's template, or its retirement, as carried forward and in snapshots. */
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
  /** Offset of the first record that the carrying process had not applied. */
  asOfOffset: z.number().int().nonnegative(),
  carried: carriedTemplateSchema,
});

/** Says nothing; its place in the log tells how old the records before it are. */
const markSchema = z.object({kind: z.literal('config-mark')});

/** Schema of the entries, with templates still unchecked. */
export const configWireSchema = z.discriminatedUnion('kind', [
  publishSchema,
  amendSchema,
  retireSchema,
  carrySchema,
  markSchema,
]);

/** An entry of the stream `config`. */
export type ConfigEntry = TemplateEntry | {readonly kind: 'config-mark'};

/** An entry about one client account. */
export type TemplateEntry =
  | {
      readonly kind: 'template-publish';
      readonly operator: string;
      readonly template: Template;
      /** The template as the log holds it, with keys of newer programs. */
      readonly source?: unknown;
    }
  | {
      readonly kind: 'template-amend';
      readonly operator: string;
      /** Version that the amendment is based on. */
      readonly baseVersion: number;
      readonly template: Template;
      /** The template as the log holds it, with keys of newer programs. */
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

/** A template that has been retired. Kept so that an older copy cannot bring it back. */
export interface RetiredTemplate {
  readonly current: TemplateVersion;
  readonly history: readonly TemplateVersion[];
  readonly publishedVersion: number;
  /** When it was last retired or carried forward, on the log's clock. */
  readonly carriedAtMs: number;
}

/** An entry kept until a carried record settles its client account. */
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
  /** Client accounts of each key that several of them name; the first published keeps it. */
  readonly sharedKeys: Map<string, Set<string>>;
  /** First offset that the fold has read since the last gap; 0 without a gap. */
  startOffset: number;
  /** When every client account older than `startOffset` has been carried, on the log's clock. */
  completeAtMs: number | undefined;
  /** When the log took the last record, in milliseconds since the Unix epoch. */
  nowMs: number;
  /** After a gap: entries of each client account that no carried record has settled yet. */
  readonly journals: Map<string, JournaledEntry[]>;
  /** After a gap: client accounts that a carried record has settled. */
  readonly settled: Set<string>;
}
