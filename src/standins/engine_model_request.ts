/** A request at the engine model: its progress and what is sent to its sink. */
import type {EngineEnd, EngineRequest, EngineSink, KvHandle} from '../backends';
import type {BatchItem} from './engine_model_batch';

/** A request that waits, runs or has ended. */
export interface QueuedRequest extends BatchItem {
  readonly request: EngineRequest;
  /** Order of arrival at the engine. */
  readonly order: number;
  sink: EngineSink | undefined;
  cachedTokens: number;
  isImporting: boolean;
  isCancelled: boolean;
  /** True once it has been in the batch. */
  hasRun: boolean;
  end: EngineEnd | undefined;
}

/** Creates a request that waits. */
export function createQueuedRequest(
  request: EngineRequest,
  sink: EngineSink,
  order: number,
): QueuedRequest {
  const isPrefill = request.phase === 'prefill';
  return {
    request,
    order,
    sink,
    prefillLeft: request.promptTokens + request.firstTokenIndex,
    generated: request.firstTokenIndex,
    lastToken: isPrefill ? request.firstTokenIndex + 1 : request.maxTokens,
    promptTokens: request.promptTokens,
    pieces: 0,
    cachedTokens: 0,
    isImporting: false,
    isCancelled: false,
    hasRun: false,
    end: undefined,
  };
}

/** Orders requests: the higher priority first, then the earlier arrival. */
export function compareByPriority(
  left: QueuedRequest,
  right: QueuedRequest,
): number {
  return (
    right.request.priority - left.request.priority || left.order - right.order
  );
}

/** Marks prompt and answer so far for a new prefill: the KV cache is lost, the generated tokens are kept. */
export function removePrefillProgress(queued: QueuedRequest): void {
  queued.prefillLeft = queued.promptTokens + queued.generated;
}

/** Sends tokens to the sink. */
export function emitTokens(
  queued: QueuedRequest,
  firstIndex: number,
  count: number,
  firstAtMs: number,
  lastAtMs: number,
): void {
  const text = createAnswerText(queued.request.prompt, firstIndex, count);
  queued.sink?.onTokens({firstIndex, count, text, firstAtMs, lastAtMs});
}

/** Sends the end of an answer to the sink. */
export function emitEnd(queued: QueuedRequest, kv: KvHandle | undefined): void {
  const {phase, promptTokens} = queued.request;
  queued.end = {
    finishReason: phase === 'prefill' ? 'prefilled' : 'stop',
    promptTokens,
    cachedTokens: queued.cachedTokens,
    generatedTokens: queued.generated,
    kv,
  };
  queued.sink?.onEnd(queued.end);
}

/** Matches the word of a prompt that its answer repeats, so that a test can tell whose answer it is. */
const WORD_PATTERN = /\[word:([a-z0-9-]+)\]/;

/** Returns the text of answer tokens; empty without a prompt, as replays send none and need no text. */
function createAnswerText(
  prompt: string | undefined,
  firstIndex: number,
  count: number,
): string {
  if (prompt === undefined) return '';
  const word = WORD_PATTERN.exec(prompt)?.[1] ?? 'w';
  let text = '';
  for (let index = firstIndex; index < firstIndex + count; index++) {
    text += `${index === 0 ? '' : ' '}${word}${index}`;
  }
  return text;
}
