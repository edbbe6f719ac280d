/** Applies publications, amendments, retirements and carried records to the state of `config`. */
import {assertNever} from '../runtime';
import type {CarriedTemplate, ConfigState, TemplateEntry} from './config_types';
import {removeTemplate, setTemplate} from './key_owners';
import {StoredTemplate} from './stored_template';
import {listTemplateChanges} from './template_diff';
import {tryParseTemplate} from './template_parse';
import type {Template} from './template_schema';
import type {TemplateVersion} from './template_state';
import type {EntryContext, EntryOutcome} from './types';

/** Maximum number of versions in a template's history; older ones are dropped. */
const MAX_HISTORY = 16;
/** How long a retirement is remembered: longer than the log keeps any record of the template. */
const RETIRED_RETENTION_MS = 14 * 24 * 3_600_000;

/** Returns the client account that an entry concerns. */
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

/** Applies an entry on the assumption that the state reflects all records before it. */
export function applyChange(
  state: ConfigState,
  entry: TemplateEntry,
  context: EntryContext,
): EntryOutcome {
  const account = getEntryAccount(entry);
  const known = state.templates.get(account);
  switch (entry.kind) {
    case 'template-publish': {
      const reason = tryGetPublishRejection(state, entry, context);
      if (reason !== undefined) return createRejectedOutcome(context, reason);
      return applyTemplate(state, entry, context, undefined);
    }
    case 'template-amend':
    case 'template-retire': {
      if (known === undefined)
        return createRejectedOutcome(
          context,
          'the client account has no published template',
        );
      const reason = tryGetAmendRejection(known, entry);
      if (reason !== undefined) return createRejectedOutcome(context, reason);
      if (entry.kind === 'template-amend') {
        return applyTemplate(state, entry, context, known);
      }
      return applyRetirement(state, entry, context, known);
    }
    case 'template-carry':
      return applyCarried(state, entry.carried, context);
    default:
      return assertNever(entry);
  }
}

/** Replaces the state of a client account by a carried one; returns false if it is malformed. */
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
    if (carriedAtMs - current.acceptedAtMs > RETIRED_RETENTION_MS) return true;
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

function tryGetPublishRejection(
  state: ConfigState,
  entry: TemplateEntry & {kind: 'template-publish'},
  context: EntryContext,
): string | undefined {
  const account = entry.template.client_account;
  const known = state.templates.get(account);
  if (known !== undefined) {
    const {operator, version} = known.current;
    return `already published: ${operator} made version ${version}, which is in force`;
  }
  if (!entry.template.operators.includes(entry.operator)) {
    return `operator ${entry.operator} is not among the template's operators`;
  }
  // Versions are record offsets: a publication in the retirement's record would get its version.
  if (state.retired.get(account)?.current.version === context.offset) {
    return 'the template was retired in the same record';
  }
  return undefined;
}

function tryGetAmendRejection(
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

function applyTemplate(
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
  return createAcceptedOutcome(context);
}

function applyRetirement(
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
  return createAcceptedOutcome(context);
}

function createVersion(
  entry: Exclude<TemplateEntry, {kind: 'template-carry'}>,
  context: EntryContext,
  previous: Template | undefined,
): TemplateVersion {
  const isAmendment = entry.kind === 'template-amend' && previous !== undefined;
  return {
    version: context.offset,
    baseVersion: entry.kind === 'template-publish' ? 0 : entry.baseVersion,
    operator: entry.operator,
    acceptedAtMs: context.appendedAtMs,
    change: entry.kind.slice('template-'.length) as TemplateVersion['change'],
    changes: isAmendment ? listTemplateChanges(previous, entry.template) : [],
  };
}

/** Applies a carried record unless its version is older than the known one. */
function applyCarried(
  state: ConfigState,
  carried: CarriedTemplate,
  context: EntryContext,
): EntryOutcome {
  const {clientAccount, history} = carried;
  const known =
    state.templates.get(clientAccount) ?? state.retired.get(clientAccount);
  const {version} = history[history.length - 1];
  if (known !== undefined && known.current.version > version) {
    return createRejectedOutcome(context, 'a newer version is known');
  }
  if (known?.current.version === version) {
    recordCarried(state, clientAccount, context.appendedAtMs);
    return createAcceptedOutcome(context);
  }
  if (!restoreCarried(state, carried, context.appendedAtMs)) {
    return createRejectedOutcome(context, 'malformed template');
  }
  return createAcceptedOutcome(context);
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

function createAcceptedOutcome(context: EntryContext): EntryOutcome {
  const {offset, index} = context;
  return {kind: 'accepted', position: {offset, index}};
}

function createRejectedOutcome(
  context: EntryContext,
  reason: string,
): EntryOutcome {
  const {offset, index} = context;
  return {kind: 'rejected', position: {offset, index}, reason};
}
