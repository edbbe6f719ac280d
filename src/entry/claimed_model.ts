/** Runs a non-idempotent model request: claims its key, routes it, then records its outcome. */
import type {ClaimsLedger, ClaimTicket} from '../claims';
import type {AnswerEnd, AnswerSink, RequestHandle} from '../routing';
import type {Clock} from '../runtime';
import {Verdict} from '../verdict';
import type {AdmittedRequest} from './admitted_request';
import {claimRequest, settleFailure} from './claim_request';
import type {SummarySink} from './summary';
import type {ModelInput, ServiceResult} from './types';

/** Options of `createClaimedModelRun`. */
export interface ClaimedModelOptions {
  readonly clock: Clock;
  readonly claims: ClaimsLedger;
  readonly request: AdmittedRequest<ModelInput>;
  readonly sink: SummarySink;
  /** Sends the claimed request to an engine. */
  readonly submit: (sink: AnswerSink) => RequestHandle;
}

/** Answer to a model request, as stored in the claim's outcome. */
interface StoredAnswer {
  readonly text: string;
  readonly end: AnswerEnd;
}

/** Starts the request; a request with a repeated key gets the stored answer. */
export function createClaimedModelRun(
  options: ClaimedModelOptions,
): RequestHandle {
  const {clock, claims, request, sink} = options;
  let handle: RequestHandle | undefined;
  let isCancelled = false;
  let isPaused = false;
  void runClaimed();
  return {cancel, setPaused, tryGetEngine: () => handle?.tryGetEngine()};

  /**
   * Does not cancel a request that has been sent: it runs to its end, so that its outcome is
   * recorded.
   */
  function cancel(): void {
    isCancelled = true;
    handle?.setPaused(false);
    sink.cancel();
  }

  function setPaused(value: boolean): void {
    isPaused = value && !isCancelled;
    handle?.setPaused(isPaused);
  }

  async function runClaimed(): Promise<void> {
    const claimed = await claimRequest(request, {clock, claims});
    if (claimed.err) {
      sink.onFailure(claimed.val);
      return;
    }
    const claim = claimed.val;
    if (claim.kind === 'answered') {
      replayAnswer(claim.result, sink, clock.getMonotonicMs());
      return;
    }
    if (isCancelled) {
      claims.release(claim.ticket);
      return;
    }
    handle = options.submit(createSettlingSink(claims, claim.ticket, sink));
    if (isPaused) handle.setPaused(true);
  }
}

function createSettlingSink(
  claims: ClaimsLedger,
  ticket: ClaimTicket,
  sink: AnswerSink,
): AnswerSink {
  let text = '';
  return {
    onTokens: batch => {
      text += batch.text;
      sink.onTokens(batch);
    },
    onEnd: end => {
      const stored: StoredAnswer = {text, end};
      claims.settle(ticket, {
        verdict: Verdict.Ran,
        status: 200,
        contentType: 'application/json',
        body: JSON.stringify(stored),
      });
      sink.onEnd(end);
    },
    onFailure: failure => {
      settleFailure(claims, ticket, failure);
      sink.onFailure(failure);
    },
  };
}

function replayAnswer(
  result: ServiceResult,
  sink: AnswerSink,
  nowMs: number,
): void {
  const {text, end} = JSON.parse(result.body) as StoredAnswer;
  sink.onTokens({
    firstIndex: 0,
    count: end.generatedTokens,
    text,
    firstAtMs: nowMs,
    lastAtMs: nowMs,
  });
  sink.onEnd(end);
}
