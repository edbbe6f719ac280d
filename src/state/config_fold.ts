/** The stream `config`: templates of client accounts, published and amended by operators. */
import {z} from 'zod';
import {assertNever} from '../runtime';
import {type Template, templateSchema} from './template_schema';
import type {EntryContext, EntryOutcome, StreamDefinition} from './types';

/** Name of the stream that holds the templates. */
export const CONFIG_STREAM = 'config';
/** How many versions of a template the history keeps. */
const MAX_HISTORY = 32;

const publishSchema = z.object({
  kind: z.literal('template-publish'),
  operator: z.string().min(1),
  template: templateSchema,
});

const amendSchema = z.object({
  kind: z.literal('template-amend'),
  operator: z.string().min(1),
  /** Version that the amendment is based on. */
  baseVersion: z.number().int().nonnegative(),
  template: templateSchema,
});

const configEntrySchema = z.discriminatedUnion('kind', [
  publishSchema,
  amendSchema,
]);

/** An entry of the stream `config`. */
export type ConfigEntry = z.infer<typeof configEntrySchema>;

/** One accepted version of a template. */
export interface TemplateVersion {
  /** Offset of the record that brought it in. */
  readonly version: number;
  readonly baseVersion: number;
  readonly operator: string;
  /** When the log took it, in milliseconds since the Unix epoch. */
  readonly acceptedAtMs: number;
}

/** A client account's template in force, with its history. */
export interface TemplateState {
  readonly template: Template;
  readonly current: TemplateVersion;
  /** Accepted versions, oldest first, the current one last. */
  readonly history: readonly TemplateVersion[];
}

/** State of the stream `config`. */
export interface ConfigState {
  readonly templates: Map<string, TemplateState>;
  /** Client account of each API key, by the key's SHA-256. */
  readonly accountByKeyHash: Map<string, string>;
}

/** The stream `config`: schema and fold. */
export const configStream: StreamDefinition<ConfigState, ConfigEntry> = {
  stream: CONFIG_STREAM,
  createState: () => ({templates: new Map(), accountByKeyHash: new Map()}),
  tryParseEntry: value => {
    const parsed = configEntrySchema.safeParse(value);
    return parsed.success ? parsed.data : undefined;
  },
  applyEntry,
  exportState: state => [...state.templates.values()],
  tryRestoreState,
};

function applyEntry(
  state: ConfigState,
  entry: ConfigEntry,
  context: EntryContext,
): EntryOutcome {
  const known = state.templates.get(entry.template.client_account);
  switch (entry.kind) {
    case 'template-publish':
      if (known !== undefined) {
        return refuseEntry(
          context,
          `published by ${known.current.operator} as version ${known.current.version}`,
        );
      }
      return applyTemplate(state, entry, context, 0);
    case 'template-amend':
      if (known === undefined) return refuseEntry(context, 'not published');
      if (known.current.version !== entry.baseVersion) {
        return refuseEntry(
          context,
          `amended by ${known.current.operator}: version ${known.current.version} is in force, not ${entry.baseVersion}`,
        );
      }
      if (!known.template.operators.includes(entry.operator)) {
        return refuseEntry(
          context,
          `operator ${entry.operator} may not amend it`,
        );
      }
      return applyTemplate(state, entry, context, entry.baseVersion);
    default:
      return assertNever(entry);
  }
}

function applyTemplate(
  state: ConfigState,
  entry: ConfigEntry,
  context: EntryContext,
  baseVersion: number,
): EntryOutcome {
  const account = entry.template.client_account;
  const known = state.templates.get(account);
  const current: TemplateVersion = {
    version: context.offset,
    baseVersion,
    operator: entry.operator,
    acceptedAtMs: context.appendedAtMs,
  };
  const history = [...(known?.history ?? []), current].slice(-MAX_HISTORY);
  removeKeys(state, known);
  addTemplate(state, {template: entry.template, current, history});
  return {kind: 'accepted', position: getPosition(context)};
}

function removeKeys(
  state: ConfigState,
  known: TemplateState | undefined,
): void {
  if (known === undefined) return;
  for (const hash of known.template.api_key_sha256) {
    if (state.accountByKeyHash.get(hash) === known.template.client_account) {
      state.accountByKeyHash.delete(hash);
    }
  }
}

function addTemplate(state: ConfigState, entry: TemplateState): void {
  const account = entry.template.client_account;
  state.templates.set(account, entry);
  for (const hash of entry.template.api_key_sha256) {
    if (!state.accountByKeyHash.has(hash)) {
      state.accountByKeyHash.set(hash, account);
    }
  }
}

function refuseEntry(context: EntryContext, reason: string): EntryOutcome {
  return {kind: 'rejected', position: getPosition(context), reason};
}

function getPosition(context: EntryContext): {offset: number; index: number} {
  return {offset: context.offset, index: context.index};
}

function tryRestoreState(data: unknown): ConfigState | undefined {
  if (!Array.isArray(data)) return undefined;
  const state = configStream.createState();
  for (const item of data as TemplateState[]) {
    const parsed = templateSchema.safeParse(item.template);
    if (!parsed.success) return undefined;
    addTemplate(state, {...item, template: parsed.data});
  }
  return state;
}
