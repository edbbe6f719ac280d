/** Explains where a request would go, by the decision functions that requests use and without an effect on any state. */
import {RefusalReason} from '../accounts';
import {STOPPING_RETRY_AFTER_MS} from '../gateway/exchange_router';
import {getLimitMs, OUTDATED_RETRY_AFTER_MS} from '../gateway/request_task';
import {RequestKind, type Route, type WeightedService} from '../gateway/types';
import {buildServiceTarget} from './explain_service';
import {buildStreamTarget} from './explain_stream';
import {createRefusal} from './outcomes';
import type {CallerView} from './prompt_admission';
import type {
  ExplainOptions,
  Explanation,
  ExplainRequest,
  TargetExplanation,
} from './types';

/** Explains a request by what this node knows now. */
export function buildExplanation(
  options: ExplainOptions,
  request: ExplainRequest,
): Explanation {
  const {context, admission, drain} = options;
  const {state} = context;
  const config = state.getConfig();
  const ageMs = admission.getStateAgeMs();
  const base: Explanation = {
    node: context.nodeName,
    stateAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
    configVersion: config?.version ?? 0,
    method: request.method,
    targets: [],
  };
  if (config === undefined) {
    const reason = 'no configuration yet';
    return {...base, refusal: createRefusal(reason, OUTDATED_RETRY_AFTER_MS)};
  }
  const route = state.getRoutes().tryFind(request.host, request.path);
  if (route === undefined) {
    return {...base, refusal: createMissingRoute(admission.isStateOutdated())};
  }
  return buildForRoute(route);

  function buildForRoute(found: Route): Explanation {
    const {name, kind, timeoutMs, objectiveMs} = found;
    const result = admission.authenticateAs(found, request.account);
    const account = result.kind === 'admitted' ? result.account : undefined;
    const rank = account?.rank ?? found.rank;
    const limitMs = getLimitMs(found, request.deadlineMs);
    const shown = {
      ...base,
      route: {name, kind, timeoutMs, objectiveMs},
      account: {
        kind: result.kind,
        ...(account === undefined ? {} : {name: account.name}),
      },
      rank,
      limitMs,
    };
    if (result.kind === 'refused') {
      const {reason} = result;
      return {
        ...shown,
        refusal: createRefusal(reason, OUTDATED_RETRY_AFTER_MS),
      };
    }
    if (drain.mustRefuse(limitMs)) {
      const reason = 'gateway is stopping';
      return {
        ...shown,
        refusal: createRefusal(reason, STOPPING_RETRY_AFTER_MS),
      };
    }
    const caller: CallerView = {
      hasAccounts: result.kind === 'admitted',
      accountName: account?.name ?? '',
      rank,
      limitMs,
    };
    const targets = listTargets(found.services).map(({service, fraction}) => ({
      ...buildTarget(found, service, caller),
      fraction,
    }));
    return {...shown, targets};
  }

  function buildTarget(
    found: Route,
    service: string,
    caller: CallerView,
  ): Omit<TargetExplanation, 'fraction'> {
    const engine = state.tryGetService(service)?.engine;
    const {model, bodyBytes} = request;
    if (found.kind !== RequestKind.Stream || !engine || !model) {
      return buildServiceTarget(context, found, service, caller);
    }
    const prompt = {route: found, service, engine, model, caller};
    return buildStreamTarget(context, prompt, bodyBytes);
  }
}

function createMissingRoute(isOutdated: boolean) {
  return isOutdated
    ? createRefusal(RefusalReason.StateOutdated, OUTDATED_RETRY_AFTER_MS)
    : ({kind: 'refuse', status: 404, reason: 'no route'} as const);
}

/** Lists the services that may get the request, with their fractions of the requests. */
function listTargets(
  services: readonly WeightedService[],
): ReadonlyArray<{service: string; fraction: number}> {
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  // The last service is chosen where no weight decides.
  if (total <= 0)
    return [{service: services.at(-1)?.service ?? '', fraction: 1}];
  return services
    .filter(({weight}) => weight > 0)
    .map(({service, weight}) => ({service, fraction: weight / total}));
}
