/** Reads the settings file that the platform writes for each process. */
import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';
import {Err, Ok, type Result} from 'ts-results';
import type {Address, GatewaySettings} from '../gateway';
import {collectKeyPositions} from '../settings/toml_positions';
import {
  type Fields,
  listOf,
  tryFields,
  tryNumber,
  trySplitAddress,
  tryText,
} from './wire_decode';

/** Environment variable with the path of the settings file. */
export const SETTINGS_VARIABLE = 'ANVILSTACK_NODE_FILE';

/** Loads the settings file; the error names file and key. */
export function loadNodeSettings(
  path: string,
): Result<GatewaySettings, string> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    return Err(`cannot read '${path}': ${String(error)}`);
  }
  return parseNodeSettings(text, path);
}

/** Parses the text of a settings file. */
export function parseNodeSettings(
  text: string,
  path: string,
): Result<GatewaySettings, string> {
  try {
    return Ok(createReader(path, text).readAll());
  } catch (error) {
    if (error instanceof SettingsFault) return Err(error.message);
    return Err(`${path}: ${error instanceof Error ? error.message : error}`);
  }
}

class SettingsFault extends Error {}

function createReader(path: string, text: string) {
  const root: Fields = parse(text);
  return {readAll};

  function readAll(): GatewaySettings {
    const ports = listOf(root['portRange']);
    const peerPort = tryNumber(ports[0]);
    if (peerPort === undefined) failAt('portRange', 'a list of two ports');
    return {
      nodeName: getText('nodeName'),
      host: getText('ip'),
      failureDomain: getText('zone'),
      callers: getAddress('listen', 'front'),
      readiness: getAddress('listen', 'ready'),
      control: getAddress('listen', 'control'),
      peerPort,
      seeds: listOf(root['seeds']).flatMap(seed => trySplitAddress(seed) ?? []),
      store: getAddress('platform', 'address'),
      bounds: readBounds(),
      isFirstStart: root['bootstrap'] === true,
    };
  }

  function readBounds(): GatewaySettings['bounds'] {
    return {
      shutdownMs: getNumber('bounds', 'graceS') * 1_000,
      leaseMs: getNumber('bounds', 'leaseMs'),
      retryRatio: getNumber('bounds', 'budgetRatio'),
      retrySlack: getNumber('bounds', 'budgetSlack'),
    };
  }

  function getText(key: string): string {
    return tryText(root[key]) ?? failAt(key, 'a text');
  }

  function getNumber(table: string, key: string): number {
    const value = tryNumber(tryFields(root[table])?.[key]);
    return value ?? failAt(`${table}.${key}`, 'a number');
  }

  function getAddress(table: string, key: string): Address {
    const value = trySplitAddress(tryFields(root[table])?.[key]);
    return value ?? failAt(`${table}.${key}`, 'HOST:PORT');
  }

  /** Names the place of a key, or of its table when the key is missing. */
  function failAt(key: string, expected: string): never {
    const positions = collectKeyPositions(text);
    const place = positions.get(key) ?? positions.get(key.split('.')[0]);
    const at = place === undefined ? '' : `:${place.line}:${place.column}`;
    throw new SettingsFault(`${path}${at}: key '${key}': expected ${expected}`);
  }
}
