/** Decodes the service discovery entries that backend servers write to the store. */
import {type BackendEntry, EngineStage} from '../gateway';
import {
  tryGetFields,
  tryGetNumber,
  tryParseJson,
  trySplitAddress,
  tryGetString,
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
 * malformed, incomplete, or its state is neither ready nor draining.
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
  return {
    id,
    service,
    ...address,
    failureDomain,
    // Despite its name, `maxBatch` limits the concurrent requests of plain services too.
    maxRunning: tryGetNumber(fields['maxBatch']) ?? 1,
    isLeaving: state === 'draining',
    ...(stage === undefined ? {} : {stage}),
    startedAtMs: tryGetNumber(fields['born']) ?? 0,
  };
}
