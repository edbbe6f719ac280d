/** Decodes the operator's configuration. */
import {
  type BackendService,
  type ClientAccount,
  DEFAULT_CALLER_LIMITS,
  type EngineLimits,
  type GatewayConfig,
  getKeyDigest,
  RequestKind,
  type Route,
  type ScalingLimits,
  type WeightedService,
} from '../gateway';
import {
  type Fields,
  getList,
  tryGetFields,
  tryGetNumber,
  tryParseJson,
  tryGetString,
  tryGetWhole,
} from './wire_decode';

const REQUEST_KINDS: Readonly<Record<string, RequestKind>> = {
  idempotent: RequestKind.Idempotent,
  non_idempotent: RequestKind.NonIdempotent,
  stream: RequestKind.Stream,
};

/** Defaults of a route's `timeoutMs` and `sloMs`. */
const DEFAULT_TIMEOUT_MS = 5_000;
const DEFAULT_OBJECTIVE_MS = 1_000;

/**
 * Decodes a configuration; returns undefined when it is malformed or has no
 * version. Routes and services that cannot be decoded are left out.
 */
export function tryParseConfig(text: string): GatewayConfig | undefined {
  const fields = tryGetFields(tryParseJson(text));
  const version = tryGetNumber(fields?.['version']);
  if (fields === undefined || version === undefined) return undefined;
  const limits = tryGetFields(fields['limits']) ?? {};
  const accounts = fields['tenants'];
  return {
    version,
    routes: getList(fields['routes']).flatMap(
      item => tryParseRoute(item) ?? [],
    ),
    services: getList(fields['services']).flatMap(
      item => tryParseService(item) ?? [],
    ),
    limits: {
      maxHeaderBytes:
        tryGetNumber(limits['maxHeaderBytes']) ??
        DEFAULT_CALLER_LIMITS.maxHeaderBytes,
      maxBodyBytes:
        tryGetNumber(limits['maxBodyBytes']) ??
        DEFAULT_CALLER_LIMITS.maxBodyBytes,
      headerTimeoutMs:
        tryGetNumber(limits['headerTimeoutMs']) ??
        DEFAULT_CALLER_LIMITS.headerTimeoutMs,
      idleTimeoutMs:
        tryGetNumber(limits['idleTimeoutMs']) ??
        DEFAULT_CALLER_LIMITS.idleTimeoutMs,
    },
    ...(accounts === undefined
      ? {}
      : {
          // A value that is no list counts as a list without accounts: callers then need keys, and none is known.
          accounts: getList(accounts).map(parseAccount),
        }),
  };
}

/** Decodes a client account; one that cannot be used is kept, with an empty name if it has none, so that its fault is logged. */
function parseAccount(item: unknown): ClientAccount {
  const fields = tryGetFields(item);
  const rank = tryGetWhole(fields?.['priority'], 0);
  return {
    name: tryGetString(fields?.['name']) ?? '',
    keyDigests: getList(fields?.['apiKeys']).flatMap(key => {
      const text = tryGetString(key);
      return text === undefined ? [] : [getKeyDigest(text)];
    }),
    ...(rank === undefined ? {} : {rank}),
  };
}

function tryParseRoute(item: unknown): Route | undefined {
  const fields = tryGetFields(item);
  const host = tryGetString(fields?.['host']);
  const pathPrefix = tryGetString(fields?.['pathPrefix']);
  const kind = REQUEST_KINDS[tryGetString(fields?.['routeType']) ?? ''];
  if (fields === undefined || host === undefined) return undefined;
  if (pathPrefix === undefined || kind === undefined) return undefined;
  return {
    name: tryGetString(fields['name']) ?? pathPrefix,
    host: host.toLowerCase(),
    pathPrefix,
    kind,
    timeoutMs: tryGetNumber(fields['timeoutMs']) ?? DEFAULT_TIMEOUT_MS,
    objectiveMs: tryGetNumber(fields['sloMs']) ?? DEFAULT_OBJECTIVE_MS,
    pauseObjectiveMs: tryGetNumber(fields['gapAimMs']) ?? 0,
    // Rank 0 is served first.
    rank: tryGetNumber(fields['priority']) ?? 0,
    // `attempts` counts the backend servers on which a request may run, the first one included.
    maxServers: tryGetNumber(fields['attempts']) ?? 1,
    isResumable: fields['resumable'] === true,
    ...(fields['public'] === true ? {isPublic: true} : {}),
    services: listServices(fields),
  };
}

/**
 * Lists the services of a route: the one in `service`, or those in `backends`
 * with their weights. Despite its name, `backends` holds services, not backend
 * servers.
 */
function listServices(fields: Fields): WeightedService[] {
  const single = tryGetString(fields['service']);
  if (single !== undefined) return [{service: single, weight: 1}];
  return getList(fields['backends']).flatMap(item => {
    const backend = tryGetFields(item);
    const service = tryGetString(backend?.['service']);
    if (service === undefined) return [];
    return [{service, weight: tryGetNumber(backend?.['weight']) ?? 1}];
  });
}

function tryParseService(item: unknown): BackendService | undefined {
  const fields = tryGetFields(item);
  const name = tryGetString(fields?.['name']);
  if (fields === undefined || name === undefined) return undefined;
  const engine = tryGetFields(fields['engine']);
  const scaling = tryParseScaling(fields['autoscale']);
  return {
    name,
    healthPath: tryGetString(fields['healthPath']) ?? '/',
    maxConnections:
      tryGetNumber(fields['maxConns']) ?? Number.POSITIVE_INFINITY,
    ...(engine === undefined ? {} : {engine: parseEngineLimits(engine)}),
    ...(scaling === undefined ? {} : {scaling}),
  };
}

function tryParseScaling(item: unknown): ScalingLimits | undefined {
  const fields = tryGetFields(item);
  const maxServers = tryGetNumber(fields?.['max']);
  if (fields === undefined || maxServers === undefined) return undefined;
  const reclaimablePrice = tryGetNumber(fields['spotPrice']);
  const prices = Object.entries(tryGetFields(fields['zonePrices']) ?? {});
  return {
    minServers: tryGetNumber(fields['min']) ?? 0,
    maxServers,
    startupMs: (tryGetNumber(fields['startupS']) ?? 0) * 1_000,
    ...(reclaimablePrice === undefined ? {} : {reclaimablePrice}),
    domainPrices: Object.fromEntries(
      prices.flatMap(([domain, price]) => {
        const value = tryGetNumber(price);
        return value === undefined ? [] : [[domain, value]];
      }),
    ),
  };
}

function parseEngineLimits(fields: Fields): EngineLimits {
  return {
    // An engine runs its concurrent requests as one batch.
    maxRunning: tryGetNumber(fields['maxBatch']) ?? 1,
    kvTokens: tryGetNumber(fields['kvTokens']) ?? 0,
    kvBytesPerToken: tryGetNumber(fields['kvTokenBytes']) ?? 0,
    linkMbps: tryGetNumber(fields['linkMbps']) ?? 0,
    stageChangeMs: (tryGetNumber(fields['switchS']) ?? 0) * 1_000,
    handleLifetimeMs: (tryGetNumber(fields['kvTtlS']) ?? 0) * 1_000,
  };
}
