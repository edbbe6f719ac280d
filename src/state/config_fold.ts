/** The stream `config`: folds the templates of client accounts, also after a gap in the log. */
import {z} from 'zod';
import {applyChange, getEntryAccount, restoreCarried} from './config_changes';
import {
  type CarriedTemplate,
  carriedTemplateSchema,
  CONFIG_STREAM,
  type ConfigEntry,
  type ConfigState,
  configWireSchema,
  type JournaledEntry,
  type RetiredTemplate,
  type TemplateEntry,
} from './config_types';
import {assertInvariant} from '../runtime';
import {tryParseTemplate} from './template_parse';
import type {EntryContext, EntryOutcome, StreamDefinition} from './types';

/** Options of the stream `config`. */
export interface ConfigStreamOptions {
  /** How long the log keeps a record, in milliseconds. */
  readonly retentionMs?: number;
}

const DEFAULT_RETENTION_MS = 24 * 3_600_000;
/** Fraction of the log's retention within which each template is carried forward once. */
const CARRY_PERIOD_FRACTION = 1 / 3;

/** Returns the time within which each template is carried forward once, in milliseconds. */
export function getCarryPeriodMs(retentionMs: number): number {
  return retentionMs * CARRY_PERIOD_FRACTION;
}

/** Returns the definition of the stream. */
export function createConfigStream(
  options: ConfigStreamOptions = {},
): StreamDefinition<ConfigState, ConfigEntry> {
  const retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS;
  const carryPeriodMs = getCarryPeriodMs(retentionMs);
  return {
    stream: CONFIG_STREAM,
    createState: createConfigState,
    tryParseEntry: tryParseConfigEntry,
    applyEntry: (state, entry, context) => {
      state.nowMs = Math.max(state.nowMs, context.appendedAtMs);
      if (state.startOffset > 0) {
        state.completeAtMs ??= context.appendedAtMs + carryPeriodMs;
      }
      if (entry.kind === 'config-mark') {
        const {offset, index} = context;
        return {kind: 'accepted', position: {offset, index}};
      }
      if (state.startOffset === 0) return applyChange(state, entry, context);
      return applyAfterGap(state, entry, context);
    },
    exportState,
    tryRestoreState,
    applyGap: (state, offset) => {
      state.startOffset = offset;
      state.completeAtMs = undefined;
      state.journals.clear();
      state.settled.clear();
    },
    isComplete: state =>
      state.startOffset === 0 ||
      (state.completeAtMs !== undefined && state.nowMs >= state.completeAtMs),
  };
}

/** The stream `config` for a log with the default retention of one day. */
export const configStream = createConfigStream();

function createConfigState(): ConfigState {
  return {
    templates: new Map(),
    retired: new Map(),
    accountByKeyHash: new Map(),
    sharedKeys: new Map(),
    startOffset: 0,
    completeAtMs: undefined,
    nowMs: 0,
    journals: new Map(),
    settled: new Set(),
  };
}

function tryParseConfigEntry(value: unknown): ConfigEntry | undefined {
  const parsed = configWireSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const entry = parsed.data;
  if (entry.kind === 'template-retire') return entry;
  if (entry.kind === 'template-carry') return entry;
  if (entry.kind === 'config-mark') return entry;
  const template = tryParseTemplate(entry.template);
  if (template === undefined) return undefined;
  return {...entry, template, source: entry.template};
}

/**
 * Applies an entry when records before `startOffset` have expired unread. The state of a client
 * account at that offset is unknown, so its entries are kept until a carried record arrives that
 * covers the gap, and are then applied again on top of it. Until then outcomes are provisional.
 */
function applyAfterGap(
  state: ConfigState,
  entry: TemplateEntry,
  context: EntryContext,
): EntryOutcome {
  const account = getEntryAccount(entry);
  if (state.settled.has(account)) return applyChange(state, entry, context);
  const journal = state.journals.get(account) ?? [];
  const coversGap =
    entry.kind === 'template-carry' && entry.asOfOffset >= state.startOffset;
  if (!coversGap) {
    state.journals.set(account, [...journal, {entry, context}]);
    return applyChange(state, entry, context);
  }
  if (!restoreCarried(state, entry.carried, context.appendedAtMs)) {
    return applyChange(state, entry, context);
  }
  state.settled.add(account);
  state.journals.delete(account);
  for (const item of journal) {
    if (item.context.offset < entry.asOfOffset) continue;
    applyChange(state, item.entry, item.context);
  }
  return {
    kind: 'accepted',
    position: {offset: context.offset, index: context.index},
  };
}

const snapshotSchema = z.object({
  templates: z.array(
    carriedTemplateSchema.omit({template: true}).extend({
      carriedAtMs: z.number(),
      /** The template as JSON; absent when it has been retired. */
      text: z.string().optional(),
    }),
  ),
  startOffset: z.number(),
  completeAtMs: z.number().optional(),
  nowMs: z.number(),
  journals: z.array(z.tuple([z.string(), z.array(z.unknown())])),
  settled: z.array(z.string()),
});

type Snapshot = z.infer<typeof snapshotSchema>;

function exportState(state: ConfigState): Snapshot {
  const templates = [...state.templates].map(([clientAccount, stored]) => ({
    ...exportHistory(clientAccount, stored),
    text: stored.text,
  }));
  const retired = [...state.retired].map(([clientAccount, known]) =>
    exportHistory(clientAccount, known),
  );
  return {
    templates: [...templates, ...retired],
    startOffset: state.startOffset,
    completeAtMs: state.completeAtMs,
    nowMs: state.nowMs,
    journals: [...state.journals],
    settled: [...state.settled],
  };
}

function exportHistory(
  clientAccount: string,
  known: Pick<RetiredTemplate, 'history' | 'publishedVersion' | 'carriedAtMs'>,
): Snapshot['templates'][number] {
  const {publishedVersion, carriedAtMs} = known;
  const history = known.history.map(version => ({
    ...version,
    changes: [...version.changes],
  }));
  return {clientAccount, publishedVersion, carriedAtMs, history};
}

/** Returns the carried form of a client account, which must be in the state. */
export function exportCarried(
  state: ConfigState,
  clientAccount: string,
): CarriedTemplate {
  const stored = state.templates.get(clientAccount);
  const known = stored ?? state.retired.get(clientAccount);
  assertInvariant(known !== undefined, `${clientAccount} is known`);
  const {history, publishedVersion} = exportHistory(clientAccount, known);
  const carried = {clientAccount, history, publishedVersion};
  if (stored === undefined) return carried;
  return {...carried, template: JSON.parse(stored.text) as unknown};
}

function tryRestoreState(data: unknown): ConfigState | undefined {
  const parsed = snapshotSchema.safeParse(data);
  if (!parsed.success) return undefined;
  const {templates, journals, settled, ...scalars} = parsed.data;
  const state = createConfigState();
  state.startOffset = scalars.startOffset;
  state.completeAtMs = scalars.completeAtMs;
  state.nowMs = scalars.nowMs;
  for (const {text, ...item} of templates) {
    const template = text === undefined ? undefined : tryParseJson(text);
    if (text !== undefined && template === undefined) return undefined;
    const carried = {...item, template};
    if (!restoreCarried(state, carried, item.carriedAtMs)) return undefined;
  }
  for (const [account, items] of journals) {
    state.journals.set(account, items as JournaledEntry[]);
  }
  for (const account of settled) state.settled.add(account);
  return state;
}

function tryParseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
