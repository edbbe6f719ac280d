/** Loads and validates settings files. */
import {readFileSync} from 'node:fs';
import {dirname, resolve} from 'node:path';
import {Err, Ok, type Result} from 'ts-results';
import type {z} from 'zod';
import {createMessage, type Message, messages} from '../diagnostics';
import {collectSettingsErrors, collectStandinsErrors} from './cross_checks';
import {type Settings, type SettingsInput, settingsSchema} from './schema';
import {type StandinsSettings, standinsSchema} from './standins_schema';
import {
  checkToml,
  compareByLocation,
  parseToml,
  type TomlDocument,
} from './toml_check';

/** One error of a settings file, with its location where known. */
export type SettingsError = Message;

/** Settings of a node or of the stand-ins. */
export type AnySettings =
  | {readonly kind: 'node'; readonly settings: Settings}
  | {readonly kind: 'standins'; readonly settings: StandinsSettings};

/** Loads the settings file of a node; returns all of its errors at once. */
export function loadSettings(
  file: string,
): Result<Settings, readonly SettingsError[]> {
  return readTextFile(file)
    .andThen(text => parseSettings(file, text))
    .map(settings => resolveFilePaths(settings, dirname(file)));
}

/** Resolves the file paths in the settings relative to the directory of the settings file. */
function resolveFilePaths(settings: Settings, directory: string): Settings {
  const {secrets, tls} = settings;
  return {
    ...settings,
    secrets: resolvePaths(secrets, directory),
    tls: {
      callers: tls.callers && resolvePaths(tls.callers, directory),
      operators: tls.operators && resolvePaths(tls.operators, directory),
      peers: tls.peers && resolvePaths(tls.peers, directory),
    },
  };
}

function resolvePaths<T extends Readonly<Record<string, string | undefined>>>(
  table: T,
  directory: string,
): T {
  const entries = Object.entries(table).map(([key, value]) => [
    key,
    key.endsWith('_file') && value !== undefined
      ? resolve(directory, value)
      : value,
  ]);
  return Object.fromEntries(entries) as T;
}

/** Parses and validates the text of a node's settings; file paths in it stay as written. */
export function parseSettings(
  file: string,
  text: string,
): Result<Settings, readonly SettingsError[]> {
  return parseToml(file, text).andThen(checkNodeDocument);
}

/** Loads a settings file of the stand-ins; returns all of its errors at once. */
export function loadStandinsSettings(
  file: string,
): Result<StandinsSettings, readonly SettingsError[]> {
  return readTextFile(file)
    .andThen(text => parseToml(file, text))
    .andThen(checkStandinsDocument);
}

/** Loads a settings file of either kind; a file with a table `standins` is one of the stand-ins. */
export function loadAnySettings(
  file: string,
): Result<AnySettings, readonly SettingsError[]> {
  return readTextFile(file)
    .andThen(text => parseToml(file, text))
    .andThen((document): Result<AnySettings, readonly SettingsError[]> => {
      if ('standins' in document.value) {
        return checkStandinsDocument(document).map(settings => ({
          kind: 'standins',
          settings,
        }));
      }
      return checkNodeDocument(document).map(settings => ({
        kind: 'node',
        settings,
      }));
    });
}

/** Fills in the defaults of settings built in code. Throws when they are invalid. */
export function createSettings(input: SettingsInput): Settings {
  return settingsSchema.parse(input);
}

/** Reads the text of a file; the error gives the reason, such as `ENOENT`. */
export function readTextFile(
  file: string,
): Result<string, readonly SettingsError[]> {
  try {
    return Ok(readFileSync(file, 'utf8'));
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? String(error);
    return Err([createMessage(messages.FileUnreadable, [file, reason])]);
  }
}

function checkNodeDocument(
  document: TomlDocument,
): Result<Settings, readonly SettingsError[]> {
  return checkDocument(
    document,
    settingsSchema,
    collectSettingsErrors(document),
  );
}

function checkStandinsDocument(
  document: TomlDocument,
): Result<StandinsSettings, readonly SettingsError[]> {
  return checkDocument(
    document,
    standinsSchema,
    collectStandinsErrors(document),
  );
}

function checkDocument<T extends z.ZodType>(
  document: TomlDocument,
  schema: T,
  crossErrors: readonly Message[],
): Result<z.infer<T>, readonly Message[]> {
  const checked = checkToml(document, schema);
  const errors = [...(checked.err ? checked.val : []), ...crossErrors];
  if (checked.ok && errors.length === 0) return Ok(checked.val);
  return Err(errors.sort(compareByLocation));
}
