/** Explains whether a prompt is sent, waits or is refused, given the engine that would prefill it. */
import {
  type DecodeReservationOptions,
  isReservationNeeded,
} from '../gateway/decode_reservation';
import type {PrefillPlacement} from '../gateway/placement';
import {BUSY_REASON, SHARE_REASON} from '../gateway/prompt_share';
import {
  Admission,
  chooseAdmission,
  computeRetryAfterMs,
  getSendBudgetMs,
  MIN_RETRY_AFTER_MS,
} from '../gateway/stream_admission';
import {predictEngineMs, predictFirstEventMs} from '../gateway/stream_work';
import {
  type EngineLimits,
  EngineStage,
  type ModelRequest,
  type Route,
} from '../gateway/types';
import {computeSpreadRetryMs} from '../shares';
import {createRefusal} from './outcomes';
import type {ExplainContext, MsRange, Outcome, ShareExplanation} from './types';

/** The caller's side of a request. */
export interface CallerView {
  readonly hasAccounts: boolean;
  /** Empty without an account. */
  readonly accountName: string;
  readonly rank: number;
  readonly limitMs: number;
}

/** A prompt to decide on. */
export interface PromptView {
  readonly route: Route;
  readonly service: string;
  readonly engine: EngineLimits;
  readonly model: ModelRequest;
  readonly caller: CallerView;
}

/** The decision on a prompt. */
export interface PromptDecision {
  readonly outcome: Outcome;
  readonly workMs: number;
  readonly exceededShare: ShareExplanation | undefined;
}

/** Decides on a prompt as `stream_flow` does; `placement` is undefined when all engines are full. */
export function predictPrompt(
  context: ExplainContext,
  prompt: PromptView,
  placement: PrefillPlacement | undefined,
  reservation: DecodeReservationView,
): PromptDecision {
  const {route, caller} = prompt;
  const workMs = predictFirstEventMs(placement);
  const exceededShare = caller.hasAccounts
    ? context.shares.predictExceeded({
        account: caller.accountName,
        rank: caller.rank,
        workMs: predictEngineMs(context, {...prompt, placement}),
      })
    : undefined;
  const isOverShare = exceededShare !== undefined;
  const claim = {
    rank: caller.rank,
    account: caller.accountName,
    isOverShare,
    service: prompt.service,
  };
  const times = {route, elapsedMs: 0, remainingMs: caller.limitMs, workMs};
  const admission = chooseAdmission({
    ...times,
    isOverShare,
    ...(placement === undefined ? {} : {waitMs: placement.waitMs}),
  });
  return {outcome: predict(), workMs, exceededShare};

  function predict(): Outcome {
    if (admission === Admission.Wait) return predictWait();
    const mustYield =
      caller.hasAccounts && context.waitingPrompts.mustYield(claim);
    if (admission === Admission.Send && mustYield) return predictWait();
    if (admission === Admission.Refuse || placement === undefined) {
      return refuse((placement?.waitMs ?? 0) + (placement?.prefillMs ?? 0));
    }
    const {id, stage, failureDomain} = placement.server;
    const isDirect = stage === EngineStage.Decode;
    if (!isDirect && !reservation.canReserve(failureDomain)) {
      return createRefusal(
        'no decode engine is available',
        reservation.tryGetRetryAfterMs(),
      );
    }
    return {kind: 'send', serverId: id, ...(stage ? {stage} : {})};
  }

  function predictWait(): Outcome {
    const budgetMs = getSendBudgetMs(times);
    const predictedWaitMs = context.waitingPrompts.predictWaitMs(
      caller.hasAccounts ? claim : undefined,
    );
    if (predictedWaitMs > budgetMs) return refuse(predictedWaitMs);
    return {kind: 'wait', predictedWaitMs, budgetMs};
  }

  function refuse(predictedMs: number): Outcome {
    if (!caller.hasAccounts) {
      return createRefusal(
        BUSY_REASON,
        computeRetryAfterMs(route, predictedMs),
      );
    }
    const reason = isOverShare ? SHARE_REASON : BUSY_REASON;
    return createRefusal(reason, computeSpread(predictedMs, caller.limitMs));
  }
}

/** What a decision asks of the decode engines. */
export interface DecodeReservationView {
  /** False when all decode engines limit their requests and none of them has room. */
  canReserve(sourceDomain: string): boolean;
  tryGetRetryAfterMs(): number | undefined;
}

/** Returns whether a reservation of a decode engine would succeed. */
export function canReserveDecode(
  options: Pick<
    DecodeReservationOptions,
    'listDecodeEngines' | 'tryChooseDecode'
  > &
    Parameters<typeof isReservationNeeded>[0],
  sourceDomain: string,
): boolean {
  return (
    !isReservationNeeded(options) ||
    options.tryChooseDecode(sourceDomain) !== undefined
  );
}

/** Returns the range of the time after which a refused caller may retry, in milliseconds. */
export function computeSpread(
  predictedMs: number,
  remainingMs: number,
): MsRange {
  const spread = {predictedMs, remainingMs, minMs: MIN_RETRY_AFTER_MS};
  return {
    min: computeSpreadRetryMs({...spread, random: 0}),
    max: computeSpreadRetryMs({...spread, random: 1}),
  };
}
