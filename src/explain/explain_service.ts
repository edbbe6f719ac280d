/** Explains the choice of a server of a plain service. */
import {tryGetRetryAfterMs} from '../gateway/server_waits';
import {
  listPossibleServers,
  listScoredServers,
  type ScoredServer,
} from '../gateway/service_choice';
import {SHARE_REASON} from '../gateway/prompt_share';
import {hasRoomOverShare, RETRY_SPREAD_MS} from '../gateway/service_share';
import {createServiceServers} from '../gateway/service_servers';
import type {BackendEntry, Route} from '../gateway/types';
import {type CandidateDetail, listCandidates} from './candidates';
import {collectDistinct, createRefusal} from './outcomes';
import {type CallerView, computeSpread} from './prompt_admission';
import type {ExplainContext, Outcome, TargetExplanation} from './types';
import {createView, listPassingSets} from './view';

const NONE_TRIED: ReadonlySet<string> = new Set();

/** Explains a request of a route to a plain service. */
export function buildServiceTarget(
  context: ExplainContext,
  route: Route,
  service: string,
  caller: CallerView,
): Omit<TargetExplanation, 'fraction'> {
  const workMs = context.serviceTimes.getAnswerMs(service, route.name);
  const isOverShare =
    caller.hasAccounts &&
    context.shares.tryGetService(service)?.predictExceeded({
      account: caller.accountName,
      rank: caller.rank,
      workMs,
    }) !== undefined;
  const {sets, isComplete} = listPassingSets(context, service);
  const decisions = sets.map(passing => predict(passing));
  const [first] = decisions;
  const possibleIds = new Set(
    decisions.flatMap(({possible}) => possible.map(({server}) => server.id)),
  );
  const chosen = first.possible.at(0);
  return {
    service,
    outcomes: collectDistinct(decisions.flatMap(({outcomes}) => outcomes)),
    isComplete,
    candidates: listCandidates({
      context,
      view: first.view,
      service,
      chosenId: chosen?.server.id,
      possibleIds,
      passedIds: new Set(first.scored.map(({server}) => server.id)),
      getDetail: server => buildDetail(server, first.scored, chosen),
    }),
  };

  function predict(passing: ReadonlySet<string>) {
    const view = createView(context, service, passing);
    const servers = createServiceServers(view, service, route.name);
    const candidates = servers.list(NONE_TRIED);
    const room = {
      computeLoad: servers.computeLoad,
      isLimited: context.limits.isLimited,
    };
    if (
      candidates.length > 0 &&
      isOverShare &&
      !hasRoomOverShare(candidates, room)
    ) {
      const retryAfterMs = computeSpread(RETRY_SPREAD_MS, caller.limitMs);
      const refusal = createRefusal(SHARE_REASON, retryAfterMs);
      return {view, scored: [], possible: [], outcomes: [refusal]};
    }
    const scored = listScoredServers(candidates, servers.getLoad, context.path);
    const possible = [...listPossibleServers(scored)].sort(
      (left, right) => left.minScore - right.minScore,
    );
    const outcomes = possible.map(({server}): Outcome => ({
      kind: 'send',
      serverId: server.id,
    }));
    if (outcomes.length > 0) return {view, scored, possible, outcomes};
    const retryAfterMs = tryGetRetryAfterMs(
      view,
      context.state.listUsable(service),
    );
    const refusal = createRefusal(
      'no server of the service is available',
      retryAfterMs,
    );
    return {view, scored, possible, outcomes: [refusal]};
  }
}

function buildDetail(
  server: BackendEntry,
  scored: readonly ScoredServer[],
  chosen: ScoredServer | undefined,
): CandidateDetail {
  const found = scored.find(item => item.server.id === server.id);
  if (found === undefined || chosen === undefined) return {};
  const excessMs = Math.round(found.minScore - chosen.minScore);
  return {
    answerMs: found.load.answerMs,
    openCount: found.load.openCount,
    score: found.minScore,
    cause: `predicted ${excessMs} ms later`,
  };
}
