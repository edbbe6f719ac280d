/** Loads secrets from files or environment variables and keeps them out of logs and output. */
import {readFileSync} from 'node:fs';
import {inspect} from 'node:util';
import {Err, Ok, type Result} from 'ts-results';
import {createMessage, type Message, messages} from '../diagnostics';
import type {Settings} from './schema';

const REDACTED_TEXT = '[secret]';

/** A secret that is printed, inspected and serialized as `[secret]`. */
export interface Secret {
  /** Returns the secret in plain text; call it only where the secret is used. */
  getText(): string;
  toString(): string;
  toJSON(): string;
}

/** The secrets of a node; those without a source in the settings are undefined. */
export interface Secrets {
  readonly peerSecret?: Secret;
  readonly resumeSecret?: Secret;
}

/** Replacements for the process environment and the file system, for tests. */
export interface SecretSources {
  readonly environment?: Readonly<Record<string, string | undefined>>;
  readonly readFile?: (file: string) => string;
}

export function createSecret(text: string): Secret {
  const secret = {
    getText: () => text,
    toString: () => REDACTED_TEXT,
    toJSON: () => REDACTED_TEXT,
    [inspect.custom]: () => REDACTED_TEXT,
  };
  return secret;
}

/** Reads the secrets that the settings name. Errors name the secret and its source, never its value. */
export function loadSecrets(
  settings: Settings,
  sources: SecretSources = {},
): Result<Secrets, readonly Message[]> {
  const errors: Message[] = [];
  const {secrets} = settings;
  const peerSecret = tryLoad(
    'peer_secret',
    secrets.peer_secret_file,
    secrets.peer_secret_env,
  );
  const resumeSecret = tryLoad(
    'resume_secret',
    secrets.resume_secret_file,
    secrets.resume_secret_env,
  );
  if (errors.length > 0) return Err(errors);
  return Ok({peerSecret, resumeSecret});

  function tryLoad(
    name: string,
    file: string | undefined,
    variable: string | undefined,
  ): Secret | undefined {
    if (file === undefined && variable === undefined) return undefined;
    const text =
      file === undefined
        ? (sources.environment ?? process.env)[variable ?? '']
        : tryReadFile(file, sources.readFile);
    if (text !== undefined && text.trim() !== '') {
      return createSecret(text.trim());
    }
    const source =
      file === undefined
        ? `the environment variable ${variable}`
        : `the file ${file}`;
    errors.push(createMessage(messages.SecretUnavailable, [name, source]));
    return undefined;
  }
}

function tryReadFile(
  file: string,
  readFile: (file: string) => string = name => readFileSync(name, 'utf8'),
): string | undefined {
  try {
    return readFile(file);
  } catch {
    return undefined;
  }
}
