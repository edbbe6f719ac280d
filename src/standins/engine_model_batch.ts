/** Pure part of the engine model: what one run of equal steps does and how long a step takes. */
import {type EngineRole, TOKENS_PER_PIECE} from '../backends';
import {
  CHUNK_TOKENS_BY_ROLE,
  PREFILL_ONLY_CHUNK_TOKENS,
} from './engine_model_types';

/** The fields of a request in the batch that planning a run of steps needs. */
export interface BatchItem {
  /** Prompt tokens not yet prefilled; 0 when it decodes. */
  prefillLeft: number;
  /** Tokens generated so far. */
  generated: number;
  /** Number of generated tokens at which the answer ends. */
  readonly lastToken: number;
  /** Tokens in KV memory when the prompt is prefilled, without generated ones. */
  readonly promptTokens: number;
  /** Pieces of KV memory it holds. */
  pieces: number;
}

/** Cost parameters of a step. */
export interface StepCosts {
  readonly prefillTokensPerS: number;
  readonly decodeStepMs: number;
  readonly decodeStepMsPerRequest: number;
}

/** Prompt tokens that one step prefills for one request. */
export interface Chunk<Item> {
  readonly item: Item;
  readonly tokens: number;
}

/** A run of equal steps: the batch does not change before its end. */
export interface StepRun<Item> {
  readonly stepMs: number;
  readonly steps: number;
  readonly chunks: ReadonlyArray<Chunk<Item>>;
  readonly decoding: readonly Item[];
}

/** Plans the longest run of equal steps, of at most `maxSteps`. Items are in order of priority. */
export function planStepRun<Item extends BatchItem>(
  items: readonly Item[],
  role: EngineRole,
  costs: StepCosts,
  maxSteps: number,
): StepRun<Item> {
  const decoding = items.filter(item => item.prefillLeft === 0);
  const budget =
    decoding.length === 0
      ? PREFILL_ONLY_CHUNK_TOKENS
      : CHUNK_TOKENS_BY_ROLE[role];
  const chunks = selectChunks(items, budget);
  const prefilled = chunks.reduce((sum, chunk) => sum + chunk.tokens, 0);
  return {
    stepMs: computeStepMs(costs, decoding.length, prefilled),
    steps: countSteps(chunks, decoding, maxSteps),
    chunks,
    decoding,
  };
}

/** Returns the time of one step, in milliseconds. */
export function computeStepMs(
  costs: StepCosts,
  decoding: number,
  prefilled: number,
): number {
  const prefillMs = (prefilled / costs.prefillTokensPerS) * 1_000;
  if (decoding === 0) return prefillMs;
  return (
    costs.decodeStepMs + costs.decodeStepMsPerRequest * decoding + prefillMs
  );
}

/** Returns the number of pieces that hold `tokens` tokens. */
export function countPieces(tokens: number): number {
  return Math.ceil(tokens / TOKENS_PER_PIECE);
}

/** Returns the tokens that an item has in KV memory once prefilled. */
export function getContextTokens(item: BatchItem): number {
  return item.promptTokens + item.generated;
}

function selectChunks<Item extends BatchItem>(
  items: readonly Item[],
  budget: number,
): Array<Chunk<Item>> {
  const chunks: Array<Chunk<Item>> = [];
  let left = budget;
  for (const item of items) {
    if (left === 0) break;
    if (item.prefillLeft === 0) continue;
    const tokens = Math.min(left, item.prefillLeft);
    chunks.push({item, tokens});
    left -= tokens;
  }
  return chunks;
}

/** Returns the number of steps until a prompt is prefilled, an answer ends or a request needs another piece. */
function countSteps<Item extends BatchItem>(
  chunks: ReadonlyArray<Chunk<Item>>,
  decoding: readonly Item[],
  maxSteps: number,
): number {
  let steps = maxSteps;
  for (const {item, tokens} of chunks) {
    steps = Math.min(steps, Math.floor(item.prefillLeft / tokens));
  }
  for (const item of decoding) {
    const freeTokens = item.pieces * TOKENS_PER_PIECE - getContextTokens(item);
    steps = Math.min(steps, item.lastToken - item.generated, freeTokens);
  }
  return Math.max(1, steps);
}
