/** Keeps the last part of an answer, so that a caller who comes back can read on from an event id. */
import type {TokenBatch} from '../backends';
import type {AnswerEnd, AnswerSink} from '../routing';
import type {RequestFailure} from '../verdict';

/** How an answer ended. */
export type AnswerClosing =
  | {readonly kind: 'end'; readonly end: AnswerEnd}
  | {readonly kind: 'failure'; readonly failure: RequestFailure};

/** The kept part of an answer. It is itself a sink. */
export interface AnswerBuffer extends AnswerSink {
  /**
   * Sends what follows the first `tokenCount` tokens to a sink, then what comes.
   * False when that part is no longer kept. Replaces an earlier reader.
   */
  tryFollow(tokenCount: number, sink: AnswerSink): boolean;
  /** Stops sending to the reader. */
  stopFollowing(): void;
  /** Returns the characters kept. */
  getSize(): number;
}

/** Options of a buffer. */
export interface AnswerBufferOptions {
  /** Most characters of text kept; the oldest batches go first. */
  readonly maxCharacters?: number;
}

const DEFAULT_MAX_CHARACTERS = 65_536;

/** Creates an empty buffer. */
export function createAnswerBuffer(
  options: AnswerBufferOptions = {},
): AnswerBuffer {
  const maxCharacters = options.maxCharacters ?? DEFAULT_MAX_CHARACTERS;
  const batches: TokenBatch[] = [];
  let size = 0;
  let nextIndex = 0;
  let closing: AnswerClosing | undefined;
  let reader: AnswerSink | undefined;
  return {
    onTokens,
    onEnd: end => handleClosing({kind: 'end', end}),
    onFailure: failure => handleClosing({kind: 'failure', failure}),
    tryFollow,
    stopFollowing: () => {
      reader = undefined;
    },
    getSize: () => size,
  };

  function onTokens(batch: TokenBatch): void {
    batches.push(batch);
    size += batch.text.length;
    nextIndex = batch.firstIndex + batch.count;
    while (size > maxCharacters && batches.length > 1) {
      size -= batches.shift()?.text.length ?? 0;
    }
    reader?.onTokens(batch);
  }

  function handleClosing(value: AnswerClosing): void {
    closing = value;
    if (reader !== undefined) sendClosing(value, reader);
  }

  function tryFollow(tokenCount: number, sink: AnswerSink): boolean {
    const first = batches.findIndex(batch => batch.firstIndex === tokenCount);
    if (first < 0 && tokenCount !== nextIndex) return false;
    reader = sink;
    const missed = first < 0 ? [] : batches.slice(first);
    for (const batch of missed) sink.onTokens(batch);
    if (closing !== undefined) sendClosing(closing, sink);
    return true;
  }
}

function sendClosing(closing: AnswerClosing, sink: AnswerSink): void {
  if (closing.kind === 'end') sink.onEnd(closing.end);
  else sink.onFailure(closing.failure);
}
