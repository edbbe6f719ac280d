/** Reads and checks a settings file. */
import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';
import {Err, Ok, type Result} from 'ts-results';
import {type Settings, settingsSchema} from './schema';

/** One fault of a settings file. */
export interface SettingsFault {
  readonly file: string;
  readonly key: string;
  readonly message: string;
}

/** Reads and checks a file; returns all of its faults. */
export function loadSettings(
  file: string,
): Result<Settings, readonly SettingsFault[]> {
  try {
    return parseSettings(file, readFileSync(file, 'utf8'));
  } catch (error) {
    return Err([{file, key: '', message: getMessage(error)}]);
  }
}

/** Checks the text of a settings file. */
export function parseSettings(
  file: string,
  text: string,
): Result<Settings, readonly SettingsFault[]> {
  let value: unknown;
  try {
    value = parse(text);
  } catch (error) {
    return Err([{file, key: '', message: getMessage(error)}]);
  }
  const parsed = settingsSchema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  return Err(
    parsed.error.issues.map(issue => ({
      file,
      key: issue.path.join('.'),
      message: issue.message,
    })),
  );
}

function getMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
