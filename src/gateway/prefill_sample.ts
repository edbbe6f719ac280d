/** Compares the observed time of a prefill with its nominal time. */
import type {PrefillSample} from './peer_messages';
import type {PrefillPlacement} from './placement';

/** An ended prefill. */
export interface EndedPrefill {
  readonly service: string;
  readonly placement: PrefillPlacement;
  /** Ratio of predicted to nominal time of the engine's service; that of the engine is this times the placement's. */
  readonly serviceFactor: number;
  /** Duration of the call, in milliseconds. */
  readonly observedMs: number;
  /** Time since the engine is known to have begun with the prompt, in milliseconds; undefined when unknown. */
  readonly sinceStartMs: number | undefined;
}

/** Round trip to an engine, in milliseconds. */
const ROUND_TRIP_MS = 5;
/** Shortest wait and prefill by nominal speeds that is used to measure a service's speed, in milliseconds. */
const MIN_SAMPLE_MS = 40;
/** Shortest prefill by nominal speeds of which the time without its wait is measured, in milliseconds: the end of the one before is known to some milliseconds. */
const MIN_RATIO_MS = 60;
/** Uncertainty of a prefill's time without its wait, in milliseconds: the beginning is known by the end of the one before as another node announced it, and engines read prompts in pieces. */
const START_ERROR_MS = 10;
/** Smallest uncertainty that is stated in a sample. */
const MIN_STATED_ERROR = 0.05;
/** Smallest load that is stated in a sample, as a fraction of the engine's slots; most engines prefill few prompts at once. */
const MIN_STATED_LOAD = 0.1;

/** Returns undefined for short prefills, which say little about the engine's speed. */
export function tryCreatePrefillSample(
  ended: EndedPrefill,
): PrefillSample | undefined {
  const {service, placement, serviceFactor, observedMs} = ended;
  const sheetMs = (placement.waitMs + placement.prefillMs) / serviceFactor;
  if (sheetMs < MIN_SAMPLE_MS) return undefined;
  return {
    service,
    sheetMs,
    observedMs: Math.max(0, observedMs - ROUND_TRIP_MS),
    ...createRatio(ended),
  };
}

/** Compares the time that the engine took for this prompt alone. Wait times depend on other nodes' prompts, of which this node knows only those announced. */
function createRatio({
  placement,
  serviceFactor,
  observedMs,
  sinceStartMs = observedMs,
}: EndedPrefill): Pick<PrefillSample, 'ratio' | 'ratioError' | 'load'> {
  const nominalMs =
    placement.prefillMs / (placement.timeFactor * serviceFactor);
  const ownMs = Math.min(observedMs - ROUND_TRIP_MS, sinceStartMs);
  if (nominalMs < MIN_RATIO_MS || ownMs <= 0) return {};
  const {load} = placement;
  const error = START_ERROR_MS / nominalMs;
  return {
    ratio: computeRounded(ownMs / nominalMs),
    ...(error < MIN_STATED_ERROR ? {} : {ratioError: computeRounded(error)}),
    ...(load < MIN_STATED_LOAD ? {} : {load: computeRounded(load)}),
  };
}

function computeRounded(value: number): number {
  return Math.round(value * 100) / 100;
}
