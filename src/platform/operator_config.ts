/** Decodes the operator's configuration. */
import {
  type BackendService,
  DEFAULT_CALLER_LIMITS,
  type EngineLimits,
  type GatewayConfig,
  RequestKind,
  type Route,
  type WeightedService,
} from '../gateway';
import {
  type Fields,
  listOf,
  tryFields,
  tryNumber,
  tryParseJson,
  tryText,
} from './wire_decode';

const KINDS: Readonly<Record<string, RequestKind>> = {
  idempotent: RequestKind.Idempotent,
  non_idempotent: RequestKind.NonIdempotent,
  stream: RequestKind.Stream,
};
/** Route settings that the configuration leaves out. */
const DEFAULT_TIMEOUT_MS = 5_000;
const DEFAULT_OBJECTIVE_MS = 1_000;
/** Decodes a configuration; returns undefined when it has no version or routes. */
export function tryParseConfig(text: string): GatewayConfig | undefined {
  const fields = tryFields(tryParseJson(text));
  const version = tryNumber(fields?.['version']);
  if (fields === undefined || version === undefined) return undefined;
  const limits = tryFields(fields['limits']) ?? {};
  return {
    version,
    routes: listOf(fields['routes']).flatMap(item => tryParseRoute(item) ?? []),
    services: listOf(fields['services']).flatMap(
      item => tryParseService(item) ?? [],
    ),
    limits: {
      maxHeaderBytes:
        tryNumber(limits['maxHeaderBytes']) ??
        DEFAULT_CALLER_LIMITS.maxHeaderBytes,
      maxBodyBytes:
        tryNumber(limits['maxBodyBytes']) ?? DEFAULT_CALLER_LIMITS.maxBodyBytes,
      headerTimeoutMs:
        tryNumber(limits['headerTimeoutMs']) ??
        DEFAULT_CALLER_LIMITS.headerTimeoutMs,
      idleTimeoutMs:
        tryNumber(limits['idleTimeoutMs']) ??
        DEFAULT_CALLER_LIMITS.idleTimeoutMs,
    },
  };
}

function tryParseRoute(item: unknown): Route | undefined {
  const fields = tryFields(item);
  const host = tryText(fields?.['host']);
  const pathPrefix = tryText(fields?.['pathPrefix']);
  const kind = KINDS[tryText(fields?.['routeType']) ?? ''];
  if (fields === undefined || host === undefined) return undefined;
  if (pathPrefix === undefined || kind === undefined) return undefined;
  return {
    name: tryText(fields['name']) ?? pathPrefix,
    host: host.toLowerCase(),
    pathPrefix,
    kind,
    timeoutMs: tryNumber(fields['timeoutMs']) ?? DEFAULT_TIMEOUT_MS,
    objectiveMs: tryNumber(fields['sloMs']) ?? DEFAULT_OBJECTIVE_MS,
    pauseObjectiveMs: tryNumber(fields['gapAimMs']) ?? 0,
    rank: tryNumber(fields['priority']) ?? 0,
    maxServers: tryNumber(fields['attempts']) ?? 1,
    isResumable: fields['resumable'] === true,
    services: listServices(fields),
  };
}

/** A route names one service, or several with weights under a field named for backend servers. */
function listServices(fields: Fields): WeightedService[] {
  const single = tryText(fields['service']);
  if (single !== undefined) return [{service: single, weight: 1}];
  return listOf(fields['backends']).flatMap(item => {
    const part = tryFields(item);
    const service = tryText(part?.['service']);
    if (service === undefined) return [];
    return [{service, weight: tryNumber(part?.['weight']) ?? 1}];
  });
}

function tryParseService(item: unknown): BackendService | undefined {
  const fields = tryFields(item);
  const name = tryText(fields?.['name']);
  if (fields === undefined || name === undefined) return undefined;
  const engine = tryFields(fields['engine']);
  return {
    name,
    healthPath: tryText(fields['healthPath']) ?? '/',
    maxConnections: tryNumber(fields['maxConns']) ?? Number.POSITIVE_INFINITY,
    ...(engine === undefined ? {} : {engine: parseEngine(engine)}),
  };
}

function parseEngine(fields: Fields): EngineLimits {
  return {
    // Here the field counts requests that run at once; an engine runs them as one batch.
    maxRunning: tryNumber(fields['maxBatch']) ?? 1,
    kvTokens: tryNumber(fields['kvTokens']) ?? 0,
    kvBytesPerToken: tryNumber(fields['kvTokenBytes']) ?? 0,
    linkMbps: tryNumber(fields['linkMbps']) ?? 0,
    stageChangeMs: (tryNumber(fields['switchS']) ?? 0) * 1_000,
    handleLifetimeMs: (tryNumber(fields['kvTtlS']) ?? 0) * 1_000,
  };
}
