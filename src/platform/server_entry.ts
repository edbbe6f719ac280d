/** Decodes the service discovery entries that backend servers write to the store. */
import {type BackendEntry, EngineStage} from '../gateway';
import {
  tryGetFields,
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
 * Decodes the entry of a backend server; returns undefined when the entry is
 * malformed, incomplete or out of range, or its state is neither ready nor draining.
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
  const {maxBatch = 1, born = 0} = fields;
  const maxRunning = tryGetWhole(maxBatch, 1);
  const startedAtMs = tryGetWhole(born, 0);
  if (maxRunning === undefined || startedAtMs === undefined) return undefined;
  return {
    id,
    service,
    ...address,
    failureDomain,
    maxRunning,
    isLeaving: state === 'draining',
    ...(stage === undefined ? {} : {stage}),
    startedAtMs,
  };
}
