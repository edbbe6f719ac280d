/** Keeps one model request away from engines while its prompt or a part of it is known to crash them. */
import type {FlowContext} from './flow_context';
import {isPromptId} from './prompt_identity';
import type {RequestTask} from './request_task';
import type {Verdict} from '../verdict';
import type {ModelRequest} from './types';

/** The gate of one request. */
export interface PromptGate {
  /** Returns true when the request may be sent. Otherwise it is refused, or resumed once a trial has been granted or denied. */
  tryEnter(): boolean;
}

/** Options of a gate. */
export interface PromptGateOptions {
  readonly context: Pick<FlowContext, 'crashGuard' | 'metrics'>;
  readonly task: RequestTask;
  readonly model: ModelRequest;
  readonly getVerdict: () => Verdict;
  /** Starts the request again. */
  readonly resume: () => void;
}

/** Creates a gate. */
export function createPromptGate(options: PromptGateOptions): PromptGate {
  const {context, task, model} = options;
  const {crashGuard, metrics} = context;
  let hasClaimed = false;
  let trialPartId: string | undefined;
  return {tryEnter};

  function tryEnter(): boolean {
    const block = crashGuard.tryFindBlock(model, trialPartId);
    if (block === undefined) return true;
    const {partId, retryAfterMs} = block;
    if (retryAfterMs === 0 && !hasClaimed) {
      hasClaimed = true;
      void claimTrial(partId);
      return false;
    }
    metrics.recordQuarantined();
    const reason = isPromptId(partId)
      ? 'the prompt crashes engines'
      : 'a part of the prompt crashes engines';
    task.log(`refused: ${reason}`, {partId, retryAfterMs});
    task.fail(options.getVerdict(), reason, retryAfterMs);
    return false;
  }

  async function claimTrial(partId: string): Promise<void> {
    const isGranted = await crashGuard.claimTrial(partId);
    if (task.isOver()) return;
    if (isGranted) trialPartId = partId;
    options.resume();
  }
}
