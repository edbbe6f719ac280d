/** Applies publications, amendments, retirements and carried records to the templates. */
import {assertNever} from '../runtime';
import type {CarriedTemplate, ConfigState, TemplateEntry} from './config_types';
import {removeTemplate, setTemplate} from './key_owners';
import {StoredTemplate} from './stored_template';
import {listTemplateChanges} from './template_diff';
import {tryParseTemplate} from './template_parse';
import type {Template} from './template_schema';
import type {TemplateVersion} from './template_state';
import type {EntryContext, EntryOutcome} from './types';

/** How many versions of a template the history keeps. */
const MAX_HISTORY = 16;
/** How long a retirement is remembered; longer than any record of the template is kept. */
const RETIRED_KEEP_MS = 14 * 24 * 3_600_000;

/** Returns the client account that an entry is about. */
export function getEntryAccount(entry: TemplateEntry): string {
  switch (entry.kind) {
    case 'template-publish':
    case 'template-amend':
      return entry.template.client_account;
    case 'template-retire':
      return entry.clientAccount;
    case 'template-carry':
      return entry.carried.clientAccount;
    default:
      return assertNever(entry);
  }
}

/** Applies an entry as a process that knows everything before it would. */
export function applyChange(
  state: ConfigState,
  entry: TemplateEntry,
  context: EntryContext,
): EntryOutcome {
  const account = getEntryAccount(entry);
  const known = state.templates.get(account);
  switch (entry.kind) {
    case 'template-publish': {
      const reason = tryGetPublishRefusal(state, entry, context);
      if (reason !== undefined) return refuseEntry(context, reason);
      return admitTemplate(state, entry, context, undefined);
    }
    case 'template-amend':
    case 'template-retire': {
      if (known === undefined) return refuseEntry(context, 'not published');
      const reason = tryGetAmendRefusal(known, entry);
      if (reason !== undefined) return refuseEntry(context, reason);
      if (entry.kind === 'template-amend') {
        return admitTemplate(state, entry, context, known);
      }
      return admitRetirement(state, entry, context, known);
    }
    case 'template-carry':
      return admitCarried(state, entry.carried, context);
    default:
      return assertNever(entry);
  }
}

/** Replaces what is known of a client account by a carried record. */
export function restoreCarried(
  state: ConfigState,
  carried: CarriedTemplate,
  carriedAtMs: number,
): boolean {
  const {clientAccount, history, publishedVersion} = carried;
  const current = history[history.length - 1];
  if (carried.template === undefined) {
    removeTemplate(state, clientAccount);
    state.retired.delete(clientAccount);
    if (carriedAtMs - current.acceptedAtMs > RETIRED_KEEP_MS) return true;
    state.retired.set(clientAccount, {
      current,
      history,
      publishedVersion,
      carriedAtMs,
    });
    return true;
  }
  const template = tryParseTemplate(carried.template);
  if (template === undefined) return false;
  state.retired.delete(clientAccount);
  const text = JSON.stringify(carried.template);
  setTemplate(
    state,
    new StoredTemplate({
      text,
      parsed: template,
      history,
      publishedVersion,
      carriedAtMs,
    }),
  );
  return true;
}

function tryGetPublishRefusal(
  state: ConfigState,
  entry: TemplateEntry & {kind: 'template-publish'},
  context: EntryContext,
): string | undefined {
  const account = entry.template.client_account;
  const known = state.templates.get(account);
  if (known !== undefined) {
    const {operator, version} = known.current;
    return `published before: ${operator} made version ${version}, which is in force`;
  }
  if (!entry.template.operators.includes(entry.operator)) {
    return `operator ${entry.operator} is not among the template's operators`;
  }
  // Versions are offsets, so a publication in the record of a retirement would share its version.
  if (state.retired.get(account)?.current.version === context.offset) {
    return 'retired in the same record';
  }
  return undefined;
}

function tryGetAmendRefusal(
  known: StoredTemplate,
  entry: TemplateEntry & {kind: 'template-amend' | 'template-retire'},
): string | undefined {
  const {current} = known;
  if (!known.template.operators.includes(entry.operator)) {
    return `operator ${entry.operator} may not change it`;
  }
  if (current.version === entry.baseVersion) return undefined;
  const changes = known.history
    .filter(version => version.version > entry.baseVersion)
    .map(version => `${version.operator}: ${version.changes.join('; ')}`);
  return (
    `changed by ${current.operator}: version ${current.version} is in force, ` +
    `not ${entry.baseVersion} (${changes.join(' | ')})`
  );
}

function admitTemplate(
  state: ConfigState,
  entry: TemplateEntry & {kind: 'template-publish' | 'template-amend'},
  context: EntryContext,
  known: StoredTemplate | undefined,
): EntryOutcome {
  const {template} = entry;
  const account = template.client_account;
  const retired = state.retired.get(account);
  const version = createVersion(entry, context, known?.template);
  const history = [...((known ?? retired)?.history ?? []), version];
  state.retired.delete(account);
  setTemplate(
    state,
    new StoredTemplate({
      text: JSON.stringify(entry.source ?? template),
      parsed: template,
      history: history.slice(-MAX_HISTORY),
      publishedVersion: known?.publishedVersion ?? context.offset,
      carriedAtMs: known?.carriedAtMs ?? context.appendedAtMs,
    }),
  );
  return admitEntry(context);
}

function admitRetirement(
  state: ConfigState,
  entry: TemplateEntry & {kind: 'template-retire'},
  context: EntryContext,
  known: StoredTemplate,
): EntryOutcome {
  const current = createVersion(entry, context, undefined);
  removeTemplate(state, entry.clientAccount);
  state.retired.set(entry.clientAccount, {
    current,
    history: [...known.history, current].slice(-MAX_HISTORY),
    publishedVersion: known.publishedVersion,
    carriedAtMs: known.carriedAtMs,
  });
  return admitEntry(context);
}

function createVersion(
  entry: Exclude<TemplateEntry, {kind: 'template-carry'}>,
  context: EntryContext,
  before: Template | undefined,
): TemplateVersion {
  const isAmendment = entry.kind === 'template-amend' && before !== undefined;
  return {
    version: context.offset,
    baseVersion: entry.kind === 'template-publish' ? 0 : entry.baseVersion,
    operator: entry.operator,
    acceptedAtMs: context.appendedAtMs,
    change: entry.kind.slice('template-'.length) as TemplateVersion['change'],
    changes: isAmendment ? listTemplateChanges(before, entry.template) : [],
  };
}

/** Takes a carried version when it is newer than what is known, and never an older one. */
function admitCarried(
  state: ConfigState,
  carried: CarriedTemplate,
  context: EntryContext,
): EntryOutcome {
  const {clientAccount, history} = carried;
  const known =
    state.templates.get(clientAccount) ?? state.retired.get(clientAccount);
  const {version} = history[history.length - 1];
  if (known !== undefined && known.current.version > version) {
    return refuseEntry(context, 'a newer version is known');
  }
  if (known?.current.version === version) {
    recordCarried(state, clientAccount, context.appendedAtMs);
    return admitEntry(context);
  }
  if (!restoreCarried(state, carried, context.appendedAtMs)) {
    return refuseEntry(context, 'malformed template');
  }
  return admitEntry(context);
}

function recordCarried(
  state: ConfigState,
  account: string,
  carriedAtMs: number,
): void {
  const known = state.templates.get(account);
  if (known !== undefined) {
    known.recordCarried(carriedAtMs);
    return;
  }
  const retired = state.retired.get(account);
  if (retired !== undefined)
    state.retired.set(account, {...retired, carriedAtMs});
}

function admitEntry(context: EntryContext): EntryOutcome {
  const {offset, index} = context;
  return {kind: 'accepted', position: {offset, index}};
}

function refuseEntry(context: EntryContext, reason: string): EntryOutcome {
  const {offset, index} = context;
  return {kind: 'rejected', position: {offset, index}, reason};
}
