/** Decodes what backend servers write about themselves in the store. */
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

/** Returns the stage that a field names, or undefined. */
export function tryParseStage(value: unknown): EngineStage | undefined {
  return STAGES[tryGetString(value) ?? ''];
}

/** Decodes an entry; returns undefined when it names no usable server. */
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
    // Here the field counts requests that run at once, also for plain services.
    maxRunning: tryGetNumber(fields['maxBatch']) ?? 1,
    isLeaving: state === 'draining',
    ...(stage === undefined ? {} : {stage}),
    startedAtMs: tryGetNumber(fields['born']) ?? 0,
  };
}
