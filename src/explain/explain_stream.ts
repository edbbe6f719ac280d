/** Explains the choice of engines for a model request. */
import {listNearBest} from '../capacity';
import {isPromptId} from '../gateway/prompt_identity';
import {
  chooseStage,
  listScored,
  listScoredDecode,
  type PrefillPlacement,
  type ScoredPlacement,
  tryChooseDecode,
} from '../gateway/placement';
import {createStreamEngines} from '../gateway/stream_engines';
import {type BackendEntry, EngineStage} from '../gateway/types';
import {type CandidateDetail, listCandidates} from './candidates';
import {collectDistinct, createRefusal} from './outcomes';
import {
  canReserveDecode,
  predictPrompt,
  type PromptDecision,
  type PromptView,
} from './prompt_admission';
import type {
  DecodeExplanation,
  ExplainContext,
  Outcome,
  TargetExplanation,
} from './types';
import {createView, type DecisionView, listPassingSets} from './view';

/** Explains a model request to a service. */
export function buildStreamTarget(
  context: ExplainContext,
  prompt: PromptView,
  bodyBytes: number,
): Omit<TargetExplanation, 'fraction'> {
  const {service} = prompt;
  const {sets, isComplete} = listPassingSets(context, service);
  const blocked = tryFindBlock(context, prompt);
  const decisions = sets.map(passing => predict(passing));
  const [first] = decisions;
  const chosen = blocked === undefined ? first.possible.at(0) : undefined;
  const outcomes = collectDistinct(
    blocked === undefined
      ? decisions.flatMap(({results}) => results.map(item => item.outcome))
      : [blocked],
  );
  const [result] = first.results;
  const {exceededShare, workMs} = result;
  return {
    service,
    outcomes,
    isComplete,
    ...(exceededShare === undefined ? {} : {exceededShare}),
    workMs,
    candidates: listCandidates({
      context,
      view: first.view,
      service,
      chosenId: chosen?.placement.server.id,
      possibleIds: new Set(
        blocked === undefined
          ? decisions.flatMap(({possible}) =>
              possible.map(({placement}) => placement.server.id),
            )
          : [],
      ),
      passedIds: new Set(first.passed.map(({id}) => id)),
      getDetail: server =>
        buildDetail(
          server,
          first.scored,
          chosen,
          first.view.prefillQueues.isFull(server.id, first.nowMs),
        ),
    }),
    ...(chosen?.placement.server.stage === EngineStage.Prefill
      ? {decode: first.listDecode(chosen.placement)}
      : {}),
  };

  function predict(passing: ReadonlySet<string>) {
    const view = createView(context, service, passing);
    const engines = createEngines(view);
    const input = engines.createInput();
    const prefill = listScored(input, EngineStage.Prefill);
    const direct = listScored(input, EngineStage.Decode);
    const possible = listPossible(prefill, direct, input.handoffMs);
    return {
      view,
      nowMs: input.nowMs,
      passed: input.engines,
      scored: [...prefill, ...direct],
      possible,
      results: predictAll(),
      listDecode: ({server}: PrefillPlacement) => {
        const decodeInput = engines.createDecodeInput(server.failureDomain);
        const best = tryChooseDecode(decodeInput);
        return listScoredDecode(decodeInput).map((item): DecodeExplanation => ({
          id: item.server.id,
          score: item.score,
          isChosen: item.server.id === best?.id,
        }));
      },
    };

    function predictAll(): PromptDecision[] {
      const placements: Array<PrefillPlacement | undefined> = possible.map(
        ({placement}) => placement,
      );
      if (placements.length === 0) placements.push(undefined);
      return placements.flatMap(placement =>
        predictPlacement(view, placement, input.engines.length > 0),
      );
    }
  }

  /** Returns the possible decisions: the health filter is applied anew when a decode engine is reserved. */
  function predictPlacement(
    view: DecisionView,
    placement: PrefillPlacement | undefined,
    hasEngines: boolean,
  ): PromptDecision[] {
    const engines = createEngines(view);
    const predictWith = (canReserve: boolean) =>
      predictPrompt(context, prompt, placement, {
        canReserve: () => canReserve,
        tryGetRetryAfterMs: () =>
          engines.tryGetRetryAfterMs(EngineStage.Decode),
      });
    if (!hasEngines) {
      const outcome = createRefusal(
        'no engine is available',
        engines.tryGetRetryAfterMs(),
      );
      return [{...predictWith(true), outcome}];
    }
    if (placement === undefined) return [predictWith(true)];
    const {failureDomain} = placement.server;
    return [...new Set(listReservations(failureDomain))].map(predictWith);
  }

  function listReservations(failureDomain: string): boolean[] {
    return sets.flatMap(listed => {
      const {listDecodeEngines} = createEngines(
        createView(context, service, listed),
      );
      return sets.map(chosenFrom => {
        const view = createView(context, service, chosenFrom);
        const {tryChooseDecode: tryChoose} = createEngines(view);
        const {limits} = view;
        return canReserveDecode(
          {limits, listDecodeEngines, tryChooseDecode: tryChoose},
          failureDomain,
        );
      });
    });
  }

  function createEngines(view: DecisionView) {
    return createStreamEngines(view, prompt.engine, prompt.model, {
      service,
      exchange: {body: {length: bodyBytes}},
    });
  }
}

/** Lists the placements that may be chosen, the best one first. */
function listPossible(
  prefill: readonly ScoredPlacement[],
  direct: readonly ScoredPlacement[],
  handoffMs: number,
): readonly ScoredPlacement[] {
  const possible = listSorted(prefill).flatMap(left =>
    listSorted(direct).flatMap(
      right => chooseStage(left, right, handoffMs) ?? [],
    ),
  );
  return [...new Set(possible)];
}

/** Lists the near equals of a stage, the best one first; undefined stands for a stage without engines. */
function listSorted(
  scored: readonly ScoredPlacement[],
): ReadonlyArray<ScoredPlacement | undefined> {
  if (scored.length === 0) return [undefined];
  return [...listNearBest(scored)].sort(
    (left, right) => left.score - right.score,
  );
}

function tryFindBlock(
  context: ExplainContext,
  {model}: PromptView,
): Outcome | undefined {
  const block = context.crashGuard.tryFindBlock(model);
  if (block === undefined) return undefined;
  const {partId, retryAfterMs} = block;
  if (retryAfterMs === 0) return {kind: 'trial', partId};
  const reason = isPromptId(partId)
    ? 'the prompt crashes engines'
    : 'a part of the prompt crashes engines';
  return createRefusal(reason, retryAfterMs);
}

function buildDetail(
  server: BackendEntry,
  scored: readonly ScoredPlacement[],
  chosen: ScoredPlacement | undefined,
  isFull: boolean,
): CandidateDetail {
  const found = scored.find(item => item.placement.server.id === server.id);
  if (found === undefined) {
    return {cause: isFull ? 'its queue is full' : 'left to other nodes'};
  }
  const {waitMs, prefillMs, cachedTokens, timeFactor} = found.placement;
  return {
    waitMs,
    prefillMs,
    cachedTokens,
    timeFactor,
    score: found.score,
    cause: formatLoss(found, chosen),
  };
}

function formatLoss(
  found: ScoredPlacement,
  chosen: ScoredPlacement | undefined,
): string {
  if (chosen === undefined) return 'the prompt is kept away from engines';
  if (found.placement.server.stage !== chosen.placement.server.stage) {
    return `the ${chosen.placement.server.stage} engine costs less in total`;
  }
  const excessMs = Math.round(found.score - chosen.score);
  return found.pathMs > chosen.pathMs
    ? `score ${excessMs} ms above the best, on a longer path`
    : `score ${excessMs} ms above the best`;
}
