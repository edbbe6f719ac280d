/** Predicted times of an engine's work. */

/** Speeds of an engine. */
export interface NominalSpeeds {
  /** Prompt tokens that a prefill engine reads in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Tokens that are read in one step, and the time of a step beside reading, in milliseconds. */
  readonly chunkTokens: number;
  readonly stepMs: number;
  /** Time for attention over a million pairs of tokens, in milliseconds. */
  readonly attentionMsPerMillionPairs: number;
  /** Time before a KV transfer begins, in milliseconds. */
  readonly transferSetupMs: number;
}

/** Speeds stated on the deployments' sheets; measured answers correct them for each server. */
export const DEFAULT_NOMINAL_SPEEDS: NominalSpeeds = {
  prefillTokensPerMs: 64.2,
  chunkTokens: 2_048,
  stepMs: 4.23,
  attentionMsPerMillionPairs: 0.647,
  transferSetupMs: 2.7,
};
/** A decode engine reads prompts at this multiple of a prefill engine's time. */
export const DECODE_PREFILL_FACTOR = 2;
/** A KV transfer between failure domains takes this multiple of the time. */
export const CROSS_DOMAIN_TRANSFER_FACTOR = 2;
const MILLION = 1_000_000;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT_MS = 1_000;

/** Returns the time to read a prompt of which `cachedTokens` are kept, in milliseconds. */
export function computePrefillMs(
  promptTokens: number,
  cachedTokens: number,
  speeds: NominalSpeeds = DEFAULT_NOMINAL_SPEEDS,
): number {
  const newTokens = Math.max(0, promptTokens - cachedTokens);
  const pairs = newTokens * (cachedTokens + newTokens / 2);
  const steps = Math.ceil(newTokens / speeds.chunkTokens);
  return (
    steps * speeds.stepMs +
    newTokens / speeds.prefillTokensPerMs +
    (pairs / MILLION) * speeds.attentionMsPerMillionPairs
  );
}

/** Returns the time to move a prompt's KV cache to another engine, in milliseconds. */
export function computeTransferMs(
  tokens: number,
  engine: {readonly kvBytesPerToken: number; readonly linkMbps: number},
  isCrossDomain: boolean,
  speeds: NominalSpeeds = DEFAULT_NOMINAL_SPEEDS,
): number {
  if (engine.linkMbps <= 0) return speeds.transferSetupMs;
  const bits = tokens * engine.kvBytesPerToken * BITS_PER_BYTE;
  const sameDomainMs = bits / (engine.linkMbps * BITS_PER_MEGABIT_MS);
  const factor = isCrossDomain ? CROSS_DOMAIN_TRANSFER_FACTOR : 1;
  return speeds.transferSetupMs + sameDomainMs * factor;
}
