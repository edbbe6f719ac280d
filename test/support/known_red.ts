/** Options for tests that KNOWN-RED.txt may list. */
import {existsSync, readFileSync} from 'node:fs';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';

const knownRed = existsSync(KNOWN_RED_FILE)
  ? readFileSync(KNOWN_RED_FILE, 'utf8')
  : '';

/** A test listed in KNOWN-RED.txt runs and is printed; it does not fail the run. */
export function getKnownRedOptions(title: string): {todo?: string} {
  return knownRed.includes(title) ? {todo: KNOWN_RED_FILE} : {};
}
