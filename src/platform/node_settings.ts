/** Reads the settings file that the platform writes for each process. */
import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';
import {Err, Ok, type Result} from 'ts-results';
import type {GatewaySettings} from '../gateway';
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
    return Ok(createReader(path, parse(text)).readAll());
  } catch (error) {
    if (error instanceof SettingsFault) return Err(error.message);
    return Err(`${path}: ${error instanceof Error ? error.message : error}`);
  }
}

class SettingsFault extends Error {}

function createReader(path: string, root: Fields) {
  return {readAll};

  function readAll(): GatewaySettings {
    const listen = getTable('listen');
    const ports = listOf(root['portRange']);
    const peerPort = tryNumber(ports[0]);
    if (peerPort === undefined) failAt('portRange', 'a list of two ports');
    return {
      nodeName: getText(root, 'nodeName'),
      host: getText(root, 'ip'),
      failureDomain: getText(root, 'zone'),
      callers: getAddress(listen, 'front'),
      readiness: getAddress(listen, 'ready'),
      control: getAddress(listen, 'control'),
      peerPort,
      seeds: listOf(root['seeds']).flatMap(seed => trySplitAddress(seed) ?? []),
      store: getAddress(getTable('platform'), 'address'),
      bounds: readBounds(getTable('bounds')),
      isFirstStart: root['bootstrap'] === true,
      maxOpenFiles: getNumber(getTable('limits'), 'maxFds'),
    };
  }

  function readBounds(bounds: Fields): GatewaySettings['bounds'] {
    return {
      drainMs: getNumber(bounds, 'drainMs'),
      shutdownMs: getNumber(bounds, 'graceS') * 1_000,
      configApplyMs: getNumber(bounds, 'configApplyMs'),
      leaseMs: getNumber(bounds, 'leaseMs'),
      retryRatio: getNumber(bounds, 'budgetRatio'),
      retryWindowMs: getNumber(bounds, 'budgetWindowS') * 1_000,
      retrySlack: getNumber(bounds, 'budgetSlack'),
    };
  }

  function getTable(key: string): Fields {
    return tryFields(root[key]) ?? failAt(key, 'a table');
  }

  function getText(table: Fields, key: string): string {
    return tryText(table[key]) ?? failAt(key, 'a text');
  }

  function getNumber(table: Fields, key: string): number {
    return tryNumber(table[key]) ?? failAt(key, 'a number');
  }

  function getAddress(table: Fields, key: string) {
    return trySplitAddress(table[key]) ?? failAt(key, 'HOST:PORT');
  }

  function failAt(key: string, expected: string): never {
    throw new SettingsFault(`${path}: key '${key}': expected ${expected}`);
  }
}
