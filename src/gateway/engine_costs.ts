/** Predicts how long an engine takes for prefills and KV transfers. */

/** Nominal speeds of an engine. */
export interface NominalSpeeds {
  /** Prompt tokens that a prefill engine processes per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Prompt tokens that are processed in one step. */
  readonly chunkTokens: number;
  /** Fixed overhead of a step, in milliseconds. */
  readonly stepMs: number;
  /** Time for attention over a million token pairs, in milliseconds. */
  readonly attentionMsPerMillionPairs: number;
  /** Set-up time of a KV transfer, in milliseconds. */
  readonly transferSetupMs: number;
}

/** Speeds stated in the data sheets of the deployments. Measured answers correct the predictions for each service and server. */
export const DEFAULT_NOMINAL_SPEEDS: NominalSpeeds = {
  prefillTokensPerMs: 64.2,
  chunkTokens: 2_048,
  stepMs: 4.23,
  attentionMsPerMillionPairs: 0.647,
  transferSetupMs: 2.7,
};
/** Prefill time on a decode engine relative to that on a prefill engine. */
export const DECODE_PREFILL_FACTOR = 2;
/** Time of a KV transfer between failure domains relative to one within a domain. */
export const CROSS_DOMAIN_TRANSFER_FACTOR = 2;
const MILLION = 1_000_000;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT_MS = 1_000;

/** Returns the time to prefill a prompt of which the first `cachedTokens` tokens are cached, in milliseconds. */
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

/** Returns the time to transfer a prompt's KV cache to another engine, in milliseconds. */
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
