/** Reads the settings file that the platform writes for each process. */
import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';
import {Err, Ok, type Result} from 'ts-results';
import {
  type Address,
  DutyKind,
  type DutySettings,
  type GatewaySettings,
} from '../gateway';
import {collectKeyPositions} from '../settings/toml_positions';
import {
  type Fields,
  getList,
  tryGetFields,
  tryGetNumber,
  trySplitAddress,
  tryGetString,
} from './wire_decode';

/** Environment variable with the path of the settings file. */
export const SETTINGS_PATH_VARIABLE = 'ANVILSTACK_NODE_FILE';

/** Loads the settings file; the error message names the file and the key at fault. */
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

/** Parses the text of a settings file; `path` is used in error messages only. */
export function parseNodeSettings(
  text: string,
  path: string,
): Result<GatewaySettings, string> {
  try {
    return Ok(createSettingsReader(path, text).readAll());
  } catch (error) {
    if (error instanceof SettingsError) return Err(error.message);
    return Err(`${path}: ${error instanceof Error ? error.message : error}`);
  }
}

const DUTY_KINDS: Readonly<Record<string, DutyKind>> = {
  metering: DutyKind.Usage,
  autoscale: DutyKind.Scaling,
};

class SettingsError extends Error {}

function createSettingsReader(path: string, text: string) {
  const root: Fields = parse(text);
  return {readAll};

  function readAll(): GatewaySettings {
    // Only the first port of the range is used: the UDP port for messages between nodes.
    const ports = getList(root['portRange']);
    const peerPort = tryGetNumber(ports[0]);
    if (peerPort === undefined) failAt('portRange', 'a list of two ports');
    return {
      nodeName: getString('nodeName'),
      host: getString('ip'),
      failureDomain: getString('zone'),
      callers: getAddress('listen', 'front'),
      readiness: getAddress('listen', 'ready'),
      control: getAddress('listen', 'control'),
      peerPort,
      seeds: getList(root['seeds']).flatMap(
        seed => trySplitAddress(seed) ?? [],
      ),
      store: getAddress('platform', 'address'),
      bounds: readBounds(),
      // Set only when the whole system starts for the first time, not on each boot.
      isFirstStart: root['bootstrap'] === true,
      ...readMemoryLimit(),
      ...(root['cloudApi'] === undefined ? {} : {duties: readDuties()}),
    };
  }

  function readBounds(): GatewaySettings['bounds'] {
    return {
      // Time between SIGTERM and SIGKILL.
      shutdownMs: getNumber('bounds', 'graceS') * 1_000,
      leaseMs: getNumber('bounds', 'leaseMs'),
      // The retry budget of the fleet: retries per request, and retries beyond this ratio.
      retryRatio: getNumber('bounds', 'budgetRatio'),
      retrySlack: getNumber('bounds', 'budgetSlack'),
      ...readConfigBounds(),
    };
  }

  function readConfigBounds() {
    const bounds = tryGetFields(root['bounds']);
    const configApplyMs = tryGetNumber(bounds?.['configApplyMs']);
    return {
      ...(configApplyMs === undefined ? {} : {configApplyMs}),
      ...(bounds?.['strictRevoke'] === true
        ? {revokeMs: getNumber('bounds', 'revokeMs')}
        : {}),
    };
  }

  function readMemoryLimit(): Pick<GatewaySettings, 'memoryMb'> {
    const limits = tryGetFields(root['limits']);
    if (limits?.['memoryMb'] === undefined) return {};
    const memoryMb = getNumber('limits', 'memoryMb');
    if (memoryMb <= 0) failAt('limits.memoryMb', 'a positive number');
    return {memoryMb};
  }

  function readDuties(): DutySettings {
    const fields = tryGetFields(root['cloudApi']);
    const bounds = tryGetFields(root['bounds']);
    const getMs = (seconds: unknown) => (tryGetNumber(seconds) ?? 0) * 1_000;
    return {
      address: getAddress('cloudApi', 'address'),
      kinds: getList(fields?.['duties']).flatMap(
        name => DUTY_KINDS[tryGetString(name) ?? ''] ?? [],
      ),
      callsPerS: getNumber('cloudApi', 'dutyPerS'),
      usageWindowMs: getMs(bounds?.['usageWindowS']),
      usageDueMs: getMs(bounds?.['usageLateS']),
    };
  }

  function getString(key: string): string {
    return tryGetString(root[key]) ?? failAt(key, 'a string');
  }

  function getNumber(table: string, key: string): number {
    const value = tryGetNumber(tryGetFields(root[table])?.[key]);
    return value ?? failAt(`${table}.${key}`, 'a number');
  }

  function getAddress(table: string, key: string): Address {
    const value = trySplitAddress(tryGetFields(root[table])?.[key]);
    return value ?? failAt(`${table}.${key}`, 'HOST:PORT');
  }

  /** Throws an error with the position of the key, or of its table when the key is missing. */
  function failAt(key: string, expected: string): never {
    const positions = collectKeyPositions(text);
    const position = positions.get(key) ?? positions.get(key.split('.')[0]);
    const location =
      position === undefined ? '' : `:${position.line}:${position.column}`;
    throw new SettingsError(
      `${path}${location}: key '${key}': expected ${expected}`,
    );
  }
}
