/** Decodes the service discovery entries that backend servers write to the store. */
import {type BackendEntry, EngineStage} from '../gateway';
import {
  type Fields,
  tryGetFields,
  tryGetNumber,
  tryGetString,
  tryGetWhole,
  tryParseJson,
  trySplitAddress,
} from './wire_decode';

const STAGES: Readonly<Record<string, EngineStage>> = {
  prefill: EngineStage.Prefill,
  decode: EngineStage.Decode,
};

/** Returns the engine stage that a field names, or undefined when it names none. */
export function tryParseStage(value: unknown): EngineStage | undefined {
  return STAGES[tryGetString(value) ?? ''];
}

/**
 * Decodes the entry of a backend server; returns undefined when a field of it is
 * missing, malformed or out of range, also one that the gateway does not use: such
 * an entry was not written by a server.
 */
export function tryParseEntry(
  id: string,
  text: string,
): BackendEntry | undefined {
  const fields = tryGetFields(tryParseJson(text));
  const service = tryGetString(fields?.['service']);
  const address = trySplitAddress(fields?.['address']);
  const failureDomain = tryGetString(fields?.['zone']);
  const state = tryGetString(fields?.['state']);
  if (fields === undefined || service === undefined) return undefined;
  if (address === undefined || failureDomain === undefined) return undefined;
  if (state !== 'ready' && state !== 'draining') return undefined;
  const stage = tryParseStage(fields['stage']);
  if (fields['stage'] !== undefined && stage === undefined) return undefined;
  // Despite its name, `maxBatch` limits the concurrent requests of plain services too.
  const maxRunning = tryGetWhole(fields['maxBatch'], 1);
  // Only servers that may restart under their id say when they started.
  const {born = 0} = fields;
  const startedAtMs = tryGetWhole(born, 0);
  if (maxRunning === undefined || startedAtMs === undefined) return undefined;
  if (!hasServerFields(fields)) return undefined;
  const leavesInMs = tryGetNumber(fields['leaves_ms']);
  return {
    id,
    service,
    ...address,
    failureDomain,
    maxRunning,
    isLeaving: state === 'draining',
    ...(stage === undefined ? {} : {stage}),
    startedAtMs,
    ...(fields['spot'] === true ? {isReclaimable: true} : {}),
    ...(leavesInMs === undefined ? {} : {leavesInMs}),
  };
}

/** True when an entry has the fields of a server that the gateway does not use. */
function hasServerFields(fields: Fields): boolean {
  const coldLeftMs = tryGetNumber(fields['coldLeftMs']);
  return (
    tryGetString(fields['version']) !== undefined &&
    tryGetWhole(fields['seq'], 0) !== undefined &&
    coldLeftMs !== undefined &&
    coldLeftMs >= 0
  );
}
